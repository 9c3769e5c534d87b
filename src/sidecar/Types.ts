/** Interfaces inside the sidecar. */
import type { TargetLoad } from '../gen/redwingwharf/v1/control_pb.js';

/** What the sidecar knows of its target. */
export interface ITargetState {
  readonly isHealthy: boolean;
  /** Changes with each life of the target. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly load: TargetLoad;
}

/** Watches the target beside this sidecar. */
export interface ITargetWatcher {
  readonly state: ITargetState;
  /** True when the engine holds the chunk, as far as its events told. */
  hasChunk(hash: string): boolean;
  /** Prefix hashes that the engine dropped since the last call, at most `limit`. */
  takeEvicted(limit: number): Uint8Array[];
}
