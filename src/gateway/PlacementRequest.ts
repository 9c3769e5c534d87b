/** What a request needs, and the targets among which it is placed. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { ITargetState } from './TargetStates.js';
import type { IPromptPart } from './Types.js';

/** What the choice depends on. */
export interface IPlacementRequest {
  /** Shared and own parts of the prompt, in order; empty for plain services. */
  readonly parts: readonly IPromptPart[];
  readonly promptTokens: number;
  /** Tokens that are expected to be generated. */
  readonly outputTokens: number;
  readonly objectiveMs: number;
  /** Requests with different walls share no part. */
  readonly cacheWall: string | undefined;
  readonly isEngine: boolean;
  readonly model: string | undefined;
  /** Version that answers should be made on; undefined if any will do. */
  readonly wantedVersion: number | undefined;
}

/** One target as the entry sees it. */
export interface IPlacementTarget {
  readonly record: TargetRecord;
  readonly state: ITargetState;
  /** Requests of other entries, as of the last exchange. */
  readonly othersOpen: number;
  readonly othersTokens: number;
}
