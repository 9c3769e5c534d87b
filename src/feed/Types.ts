/** Interfaces of the configuration feed. */
import type { Item } from '../gen/redwingwharf/v1/state_pb.js';
import type { SyncRequest, SyncResponse } from '../gen/redwingwharf/v1/control_pb.js';
import type { IEvent } from '../common/Lifecycle.js';

/** Read access to the configuration that this process holds. */
export interface IFeed {
  /** Applied log index; 0 before the first copy arrived. */
  readonly revision: number;
  /** Number of the last accepted configuration change. */
  readonly version: number;
  /** Last time at which the items were known to be current; undefined before the first confirmation. */
  getConfirmedAt(): number | undefined;
  getItem(key: string): Item | undefined;
  listItems(prefix: string): Item[];
  /** Fires with the items changed, added or deleted by one update. */
  readonly onChange: IEvent<readonly Item[]>;
}

/** Answers sync requests from the leader's state or from a copy of it. */
export interface IFeedSource {
  /** `arrivedAt` is the arrival time of the request by the monotonic clock of this process. */
  sync(request: SyncRequest, arrivedAt: number): SyncResponse;
}
