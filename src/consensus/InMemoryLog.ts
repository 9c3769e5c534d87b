/** An in-memory log of a single member, for tests and benchmarks. */
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { generateIdentifier } from '../common/Hashes.js';
import { Emitter } from '../common/Lifecycle.js';
import { Ok, type Result } from '../common/Result.js';
import { MembershipSchema } from '../gen/redwingwharf/v1/consensus_pb.js';
import type {
  ConsensusFailure,
  ICommitted,
  IConsensusStatus,
  IReplicatedLog,
  IStateMachine,
} from './Types.js';

/** Applies each command immediately. Nothing is stored on disk. */
export class InMemoryLog implements IReplicatedLog {
  private readonly _roleEmitter = new Emitter<IConsensusStatus>();
  private readonly _diskId = generateIdentifier();
  private readonly _clusterId = generateIdentifier();
  private _index = 0;

  public readonly onRoleChange = this._roleEmitter.onFire;

  constructor(
    private readonly _state: IStateMachine,
    private readonly _clock: IClock,
    private readonly _address: string,
  ) {}

  public get status(): IConsensusStatus {
    return {
      role: 'leader',
      term: 1,
      commitIndex: this._index,
      appliedIndex: this._index,
      memberId: 'solo',
      diskId: this._diskId,
      clusterId: this._clusterId,
      leaderAddress: this._address,
      membership: create(MembershipSchema, {
        members: [{ id: 'solo', diskId: this._diskId, address: this._address, voter: true }],
      }),
    };
  }

  public propose(command: Uint8Array): Promise<Result<ICommitted, ConsensusFailure>> {
    this._index += 1;
    const result = this._state.apply(command, this._index);
    return Promise.resolve(Ok({ index: this._index, result }));
  }

  public getConfirmedAt(): number {
    return this._clock.now();
  }
}
