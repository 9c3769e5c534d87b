/** Queries a sidecar for the outcome of a claimed call. */
import { hasSameBytes } from '../common/Hashes.js';
import { describeError } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { addJitter, sleep } from '../common/Tasks.js';
import {
  ClaimProgress,
  SidecarService,
  type QueryClaimResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { Roster } from '../roster/Roster.js';
import type { ClaimOutcome, IClaimAttempt } from './ClaimTypes.js';
import type { IFlowServices, IRequestContext } from './Types.js';

const QUERY_TIMEOUT_MS = 1_000;
const QUERY_INTERVAL_MS = 200;

/** Failed queries after which a sidecar counts as unreachable. */
const MAX_FAILED_QUERIES = 3;

/** Queries the sidecar that a claim is bound to until the outcome of the call is known. */
export class OutcomeQuery {
  constructor(
    private readonly _roster: Roster,
    private readonly _rpc: RpcClients,
    private readonly _services: IFlowServices,
  ) {}

  /**
   * Repeats the query until the outcome is known, `MAX_FAILED_QUERIES` failed, or the request's deadline has
   * passed. When the request was ended early, a running call is not waited for.
   */
  public async query(context: IRequestContext, attempt: IClaimAttempt): Promise<ClaimOutcome> {
    const { clock } = this._services;
    let failures = 0;
    while (failures < MAX_FAILED_QUERIES && clock.now() < context.open.deadlineAt) {
      const outcome = await this._queryOnce(attempt);
      if (outcome.kind === 'unreachable') {
        failures += 1;
      } else if (outcome.kind !== 'running' || context.open.signal.aborted) {
        return outcome;
      }
      await sleep(addJitter(QUERY_INTERVAL_MS), context.open.signal);
    }
    return failures < MAX_FAILED_QUERIES ? { kind: 'running' } : { kind: 'unreachable' };
  }

  private async _queryOnce(attempt: IClaimAttempt): Promise<ClaimOutcome> {
    if (this._isSidecarReplaced(attempt)) {
      return { kind: 'lost' };
    }
    try {
      const client = this._rpc.get(SidecarService, attempt.binding.sidecarAddress);
      const response = await client.queryClaim(
        {
          claimId: attempt.claimId,
          attempt: attempt.attempt,
          sidecarIncarnation: attempt.binding.sidecarIncarnation,
        },
        { timeoutMs: QUERY_TIMEOUT_MS },
      );
      return describeProgress(response);
    } catch (error) {
      this._services.log.debug('claim query failed', { error: describeError(error) });
      return { kind: 'unreachable' };
    }
  }

  /** True if another incarnation of the sidecar has announced the target. */
  private _isSidecarReplaced(attempt: IClaimAttempt): boolean {
    TEST_ONLY: if (isMechanismDisabled('sidecar-incarnation')) return false;
    const target = this._roster.getTarget(attempt.binding.target, this._services.clock.now());
    return (
      target !== undefined &&
      !hasSameBytes(target.announcement.sidecarIncarnation, attempt.binding.sidecarIncarnation)
    );
  }
}

function describeProgress(response: QueryClaimResponse): ClaimOutcome {
  switch (response.progress) {
    case ClaimProgress.NOT_RUN:
      return { kind: 'not_run', isOldRevision: false };
    case ClaimProgress.RUNNING:
      return { kind: 'running' };
    case ClaimProgress.FINISHED:
      return response.answer === undefined
        ? { kind: 'lost' }
        : { kind: 'answered', answer: response.answer };
    case ClaimProgress.UNKNOWN:
    case ClaimProgress.OTHER_INCARNATION:
    case ClaimProgress.UNSPECIFIED:
      return { kind: 'lost' };
  }
}
