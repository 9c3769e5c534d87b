/** Calls between consensus members. */
import type { RpcClients } from '../common/Rpc.js';
import {
  ConsensusService,
  type AppendRequest,
  type AppendResponse,
  type JoinRequest,
  type JoinResponse,
  type SnapshotRequest,
  type SnapshotResponse,
  type VoteRequest,
  type VoteResponse,
  type WithdrawRequest,
  type WithdrawResponse,
} from '../gen/redwingwharf/v1/consensus_pb.js';

/** Calls the member at an address. The promise rejects if the call fails or is aborted. */
export interface IConsensusTransport {
  requestVote(address: string, request: VoteRequest, signal: AbortSignal): Promise<VoteResponse>;
  appendEntries(
    address: string,
    request: AppendRequest,
    signal: AbortSignal,
  ): Promise<AppendResponse>;
  installSnapshot(
    address: string,
    request: SnapshotRequest,
    signal: AbortSignal,
  ): Promise<SnapshotResponse>;
  join(address: string, request: JoinRequest, signal: AbortSignal): Promise<JoinResponse>;
  withdraw(
    address: string,
    request: WithdrawRequest,
    signal: AbortSignal,
  ): Promise<WithdrawResponse>;
}

/** Sends the calls over the Connect protocol. */
export class RpcConsensusTransport implements IConsensusTransport {
  constructor(private readonly _clients: RpcClients) {}

  public requestVote(
    address: string,
    request: VoteRequest,
    signal: AbortSignal,
  ): Promise<VoteResponse> {
    return this._clients.get(ConsensusService, address).requestVote(request, { signal });
  }

  public appendEntries(
    address: string,
    request: AppendRequest,
    signal: AbortSignal,
  ): Promise<AppendResponse> {
    return this._clients.get(ConsensusService, address).appendEntries(request, { signal });
  }

  public installSnapshot(
    address: string,
    request: SnapshotRequest,
    signal: AbortSignal,
  ): Promise<SnapshotResponse> {
    return this._clients.get(ConsensusService, address).installSnapshot(request, { signal });
  }

  public join(address: string, request: JoinRequest, signal: AbortSignal): Promise<JoinResponse> {
    return this._clients.get(ConsensusService, address).join(request, { signal });
  }

  public withdraw(
    address: string,
    request: WithdrawRequest,
    signal: AbortSignal,
  ): Promise<WithdrawResponse> {
    return this._clients.get(ConsensusService, address).withdraw(request, { signal });
  }
}
