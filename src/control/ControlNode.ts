/** Server side of the control service. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import { runWithTimeout } from '../common/Tasks.js';
import type { IConsensusStatus, IReplicatedLog } from '../consensus/Types.js';
import { filterItems } from '../feed/FeedCopy.js';
import type { IFeedSource } from '../feed/Types.js';
import {
  ControlService,
  ExecuteResponseSchema,
  GetControlStatusResponseSchema,
  SyncResponseSchema,
  type ExecuteRequest,
  type ExecuteResponse,
  type GetControlStatusResponse,
  type SyncRequest,
  type SyncResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import { CommandResultSchema, CommandSchema, type Item } from '../gen/redwingwharf/v1/state_pb.js';

/** Timeout of a commit; after it the caller gets an unknown outcome. */
const COMMIT_TIMEOUT_MS = 1_500;

/**
 * Maximum number of commands that wait for their commit; further ones are refused. A commit takes
 * milliseconds, so with more of them waiting the later ones would only time out.
 */
const MAX_PENDING_COMMANDS = 2_000;

/** Read access to the replicated state. */
export interface IControlState {
  readonly revision: number;
  readonly version: number;
  readonly timeMs: number;
  listChangedSince(revision: number): { readonly full: boolean; readonly items: readonly Item[] };
}

/**
 * Serves one control member: commits commands while it is the leader, answers sync requests with the
 * items, and reports the member's status.
 */
export class ControlNode implements IFeedSource {
  private _pendingCommands = 0;
  /** Logical time at the first command of this member's term as leader, and the local time then. */
  private _timeBase:
    { readonly term: number; readonly logicalMs: number; readonly localMs: number } | undefined;

  constructor(
    private readonly _log: IReplicatedLog,
    private readonly _state: IControlState,
    private readonly _clock: IClock,
    private readonly _address: string,
  ) {}

  /** True while this member is an established leader, so that its state is the source of the items. */
  public get isEstablishedLeader(): boolean {
    return this._log.getConfirmedAt() !== undefined;
  }

  public registerRpc(router: ConnectRouter): void {
    router.service(ControlService, {
      execute: (request, context) => this.execute(request, context.signal),
      getControlStatus: () => this.describeStatus(),
    });
  }

  /** Commits a command and returns its result; answers `notLeader` on other members. */
  public async execute(request: ExecuteRequest, signal: AbortSignal): Promise<ExecuteResponse> {
    const { status } = this._log;
    const logicalMs = this._deriveLogicalTimeMs(status);
    if (request.command === undefined || logicalMs === undefined) {
      return buildNotLeaderResponse(status.leaderAddress);
    }
    if (this._pendingCommands >= MAX_PENDING_COMMANDS) {
      return create(ExecuteResponseSchema, {
        outcome: { case: 'notRun', value: { reason: 'too many commands wait for their commit' } },
      });
    }
    const command = create(CommandSchema, { ...request.command, timeMs: BigInt(logicalMs) });
    this._pendingCommands += 1;
    try {
      return await this._commit(toBinary(CommandSchema, command), signal);
    } finally {
      this._pendingCommands -= 1;
    }
  }

  private async _commit(command: Uint8Array, signal: AbortSignal): Promise<ExecuteResponse> {
    const committed = await runWithTimeout(signal, COMMIT_TIMEOUT_MS, (limited) =>
      this._log.propose(command, limited),
    );
    if (committed.ok) {
      const result = fromBinary(CommandResultSchema, committed.val.result);
      return create(ExecuteResponseSchema, { outcome: { case: 'result', value: result } });
    }
    const failure = committed.val;
    switch (failure.kind) {
      case 'not_leader':
        return buildNotLeaderResponse(failure.leaderAddress);
      case 'stopped':
        return buildNotLeaderResponse(undefined);
      case 'indeterminate':
        return create(ExecuteResponseSchema, {
          outcome: { case: 'indeterminate', value: { reason: failure.message } },
        });
    }
  }

  /**
   * Answers with the items changed since the requested revision. `arrivedAt` is the arrival time of the
   * request by this process's clock; the age of the state is measured up to it.
   */
  public sync(request: SyncRequest, arrivedAt: number): SyncResponse {
    const { status } = this._log;
    const changes = this._state.listChangedSince(Number(request.haveRevision));
    const response = create(SyncResponseSchema, {
      clusterId: status.clusterId,
      revision: BigInt(this._state.revision),
      version: BigInt(this._state.version),
      items: filterItems(changes.items, request.prefixes),
      full: changes.full,
      leaderAddress: this._address,
    });
    const confirmedAt = this._log.getConfirmedAt();
    if (confirmedAt !== undefined) {
      response.ageMs = Math.max(0, Math.ceil(arrivedAt - confirmedAt));
    }
    return response;
  }

  public describeStatus(): GetControlStatusResponse {
    const { status } = this._log;
    return create(GetControlStatusResponseSchema, {
      memberId: status.memberId,
      role: status.role,
      term: BigInt(status.term),
      commitIndex: BigInt(status.commitIndex),
      appliedIndex: BigInt(status.appliedIndex),
      leaderAddress: status.leaderAddress ?? '',
      membership: status.membership,
      version: BigInt(this._state.version),
      diskId: status.diskId,
      clusterId: status.clusterId,
    });
  }

  /**
   * Logical time of a new command; undefined unless this member is an established leader. It continues
   * from the last committed time at the rate of this member's clock, so that neither a failover
   * nor a clock step makes budgets refill faster.
   */
  private _deriveLogicalTimeMs(status: IConsensusStatus): number | undefined {
    if (status.role !== 'leader' || this._log.getConfirmedAt() === undefined) {
      return undefined;
    }
    const now = this._clock.now();
    if (this._timeBase?.term !== status.term) {
      this._timeBase = { term: status.term, logicalMs: this._state.timeMs, localMs: now };
    }
    return Math.floor(this._timeBase.logicalMs + (now - this._timeBase.localMs));
  }
}

function buildNotLeaderResponse(leaderAddress: string | undefined): ExecuteResponse {
  return create(ExecuteResponseSchema, {
    outcome: { case: 'notLeader', value: { leaderAddress: leaderAddress ?? '' } },
  });
}
