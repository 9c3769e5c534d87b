/** Interfaces of subsystems that share state across the fleet through the exchanges with the hub. */
import type { ExchangeRequest, ExchangeResponse } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { FleetHub } from './FleetHub.js';
import type { FleetState } from './FleetState.js';

/** Circumstances in which a process receives the answer to an exchange; times on its monotonic clock. */
export interface IExchangeContext {
  readonly request: ExchangeRequest;
  /** True: the hub is another one than that of the last answer, and has none of the earlier reports. */
  readonly isNewEpoch: boolean;
  readonly sentAt: number;
  readonly now: number;
}

/** The hub for which a part acts; both exist for one term of the leader. */
export interface IHubContext {
  readonly hub: FleetHub;
  readonly state: FleetState;
  readonly startedAt: number;
}

/** The part of a subsystem that acts on the leader. */
export interface IHubPart {
  /** Takes the report of one process and fills the fields of the answer that belong to the subsystem. */
  exchange(request: ExchangeRequest, response: ExchangeResponse, now: number): void;
}

/**
 * The part of a subsystem that acts in each process. It uses only fields of the messages that belong to the subsystem, and
 * bears with their absence, as other processes may be of an older build.
 *
 * @example
 * const node = new FleetNode({ address, takesRequests, hub, parts: [rollouts, serviceModels] }, ...dependencies);
 */
export interface IExchangePart {
  addReport(request: ExchangeRequest, now: number): void;
  applyResponse(response: ExchangeResponse, context: IExchangeContext): void;
  /** Called after each exchange, and after each one that failed. */
  setHubReachable?(isReachable: boolean, now: number): void;
  /** Called when this process starts to act as the hub of a new term. */
  createHubPart?(context: IHubContext): IHubPart;
}
