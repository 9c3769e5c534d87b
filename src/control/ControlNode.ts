/** Control role: carries commands out on the leader and serves the items. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import { limitSignal } from '../common/Tasks.js';
import type { IConsensusStatus, IReplicatedLog } from '../consensus/Types.js';
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

/** Longest wait for a commit; after it the outcome is unknown to the caller. */
const COMMIT_TIMEOUT_MS = 1_500;

/** Read access to the replicated state. */
export interface IControlState {
  readonly revision: number;
  readonly version: number;
  readonly timeMs: number;
  listChangedSince(revision: number): { readonly full: boolean; readonly items: readonly Item[] };
}

/** Serves commands, status and the items of the leader. */
export class ControlNode implements IFeedSource {
  /** Logical time at the moment when this member became leader, and that moment. */
  private _timeBase:
    { readonly term: number; readonly logicalMs: number; readonly at: number } | undefined;

  constructor(
    private readonly _log: IReplicatedLog,
    private readonly _state: IControlState,
    private readonly _clock: IClock,
    private readonly _address: string,
  ) {}

  /** True while this member's state is the origin of the items. */
  public get isOrigin(): boolean {
    return this._log.getConfirmedAt() !== undefined;
  }

  public registerRpc(router: ConnectRouter): void {
    router.service(ControlService, {
      execute: (request, context) => this.execute(request, context.signal),
      getControlStatus: () => this.describeStatus(),
    });
  }

  /** Commits a command and returns its result. */
  public async execute(request: ExecuteRequest, signal: AbortSignal): Promise<ExecuteResponse> {
    const { status } = this._log;
    const timeMs = this._deriveTime(status);
    if (request.command === undefined || timeMs === undefined) {
      return buildNotLeader(status.leaderAddress);
    }
    const command = create(CommandSchema, { ...request.command, timeMs: BigInt(timeMs) });
    const committed = await this._log.propose(
      toBinary(CommandSchema, command),
      limitSignal(signal, COMMIT_TIMEOUT_MS),
    );
    if (committed.ok) {
      const result = fromBinary(CommandResultSchema, committed.val.result);
      return create(ExecuteResponseSchema, { outcome: { case: 'result', value: result } });
    }
    const failure = committed.val;
    switch (failure.kind) {
      case 'not_leader':
        return buildNotLeader(failure.leaderAddress);
      case 'stopped':
        return buildNotLeader(undefined);
      case 'indeterminate':
        return create(ExecuteResponseSchema, {
          outcome: { case: 'indeterminate', value: { reason: failure.message } },
        });
    }
  }

  public sync(request: SyncRequest, arrivedAt: number): SyncResponse {
    const { status } = this._log;
    const changes = this._state.listChangedSince(Number(request.haveRevision));
    const response = create(SyncResponseSchema, {
      clusterId: status.clusterId,
      revision: BigInt(this._state.revision),
      version: BigInt(this._state.version),
      items: [...changes.items],
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
   * Logical time of a new command. It goes on from the last committed time at the speed of this
   * member's clock, so that neither a failover nor a clock step makes budgets refill faster.
   */
  private _deriveTime(status: IConsensusStatus): number | undefined {
    if (status.role !== 'leader' || this._log.getConfirmedAt() === undefined) {
      return undefined;
    }
    const now = this._clock.now();
    if (this._timeBase?.term !== status.term) {
      this._timeBase = { term: status.term, logicalMs: this._state.timeMs, at: now };
    }
    return Math.floor(this._timeBase.logicalMs + (now - this._timeBase.at));
  }
}

function buildNotLeader(leaderAddress: string | undefined): ExecuteResponse {
  return create(ExecuteResponseSchema, {
    outcome: { case: 'notLeader', value: { leaderAddress: leaderAddress ?? '' } },
  });
}
