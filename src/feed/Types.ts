/** Interfaces of the configuration feed. */
import type { Item } from '../gen/redwingwharf/v1/state_pb.js';
import type { SyncRequest, SyncResponse } from '../gen/redwingwharf/v1/control_pb.js';
import type { IEvent } from '../common/Lifecycle.js';

/** Read access to the configuration that this process holds. */
export interface IFeed {
  /** Applied log index; zero before the first copy arrived. */
  readonly revision: number;
  /** Number of the last accepted configuration change. */
  readonly version: number;
  /** Time at which the held items were known to be current; undefined before the first confirmation. */
  getConfirmedAt(): number | undefined;
  getItem(key: string): Item | undefined;
  listItems(prefix: string): Item[];
  /** Fires with the items changed, added or deleted by one update. */
  readonly onChange: IEvent<readonly Item[]>;
}

/** Something that answers sync requests: the leader's state or a copy of it. */
export interface IFeedSource {
  /** `arrivedAt` is the arrival time of the request by this process's clock. */
  sync(request: SyncRequest, arrivedAt: number): SyncResponse;
}
