/** Input of the placement: properties of a request and of the candidate targets. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { ITargetState } from './TargetStates.js';
import type { IPromptPart } from './Types.js';

/** Properties of a request that affect its placement. */
export interface IPlacementRequest {
  /** Parts of the prompt in order, of which all but the last are shared; empty for plain services. */
  readonly parts: readonly IPromptPart[];
  readonly promptTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
  /** Latency objective for the first byte. */
  readonly latencyObjectiveMs: number;
  /** Requests with different isolation keys never share cached prompt parts. */
  readonly isolationKey: string | undefined;
  readonly isEngine: boolean;
  readonly model: string | undefined;
  /** Newest weights version named for the model; undefined if there is none. */
  readonly wantedVersion: number | undefined;
}

/** A candidate target with the load known to this entry. */
export interface IPlacementTarget {
  readonly record: TargetRecord;
  readonly state: ITargetState;
  /** Open requests of other entries, as of the last exchange with the hub. */
  readonly othersOpen: number;
  /** Prompt tokens of other entries' requests that have not received a first byte, as of that exchange. */
  readonly othersPendingTokens: number;
  /** Time for which requests may still begin on the weights of the target; infinite if they are current. */
  readonly weightsUsableMs: number;
}
