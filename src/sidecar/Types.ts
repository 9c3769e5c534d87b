/** Interfaces that the modules of the sidecar share. */
import type { TargetLoad } from '../gen/redwingwharf/v1/control_pb.js';

/** Last known state of the target. */
export interface ITargetState {
  readonly isHealthy: boolean;
  /** Identifies one process start of the target: a restart begins a new incarnation. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly load: TargetLoad;
}

/** Polls the target beside this sidecar and holds its last state. */
export interface ITargetWatcher {
  readonly state: ITargetState;
  /** True when the engine's KV cache holds the chunk, according to the cache events received so far. */
  hasChunk(hash: string): boolean;
  /**
   * Removes and returns at most `limit` prefix hashes that the engine evicted and no call returned yet.
   */
  takeEvicted(limit: number): Uint8Array[];
}
