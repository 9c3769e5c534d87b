/** State of a call that the steps of its path share. */
import type { ByteBudget } from '../common/ByteBudget.js';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { ILoopDelay } from '../common/LoopDelay.js';
import type { Metrics } from '../common/Metrics.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { FleetNode } from '../fleet/FleetNode.js';
import type { QuotaWallet } from '../fleet/QuotaWallet.js';
import type { RouteTable } from '../fleet/RouteTable.js';
import type { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';
import type { IClientAccount, IRoute, IService } from '../fleet/Types.js';
import type { CrashQuarantine, QuarantineStanding } from './CrashQuarantine.js';
import type { Hedging } from './Hedging.js';
import type { IKeptAnswer } from './KeptAnswer.js';
import type { IPlacement } from './Placement.js';
import type { IPlacementRequest } from './PlacementRequest.js';
import type { AdmissionQueue, IAdmissionTicket } from './queue/AdmissionQueue.js';
import type { IStreamBindingContext, StreamBinding } from './StreamBinding.js';
import type { ITargetSelectorContext } from './TargetSelector.js';
import type { ICall, ITargetClient } from './Types.js';

/** Priority of the least urgent requests; 0 is the most urgent. */
const LOWEST_PRIORITY = 9;

/** Dependencies of the calls, shared by all of them. */
export interface ICallContext<T extends ICall>
  extends ITargetSelectorContext, IStreamBindingContext {
  readonly node: Pick<FleetNode, 'requestLeases' | 'requestExchange'>;
  readonly wallet: QuotaWallet;
  readonly budget: SharedRetryBudget;
  readonly quarantine: CrashQuarantine;
  readonly admission: AdmissionQueue;
  readonly hedging: Hedging;
  readonly client: ITargetClient<T>;
  /** Bounds what is held of all responses before it is relayed. */
  readonly memory: ByteBudget;
  readonly clock: IClock;
  readonly loopDelay: ILoopDelay;
  readonly metrics: Metrics;
  readonly log: ILog;
}

/** Routing and quota of a call that passed admission. */
export interface IAdmittedCall {
  readonly table: RouteTable;
  readonly route: IRoute;
  readonly service: IService;
  /** Client account that is charged for the call; undefined if none is. */
  readonly account: IClientAccount | undefined;
  /** Quota tokens charged for the call. */
  readonly tokens: number;
  /** When the tokens were charged. */
  readonly chargedAt: number;
  readonly deadlineAt: number;
}

/** Mutable state over all attempts of one call. */
export interface ICallProgress {
  readonly tried: Set<string>;
  attempts: number;
  unreachable: number;
  /** True once no connection to a target became free in time. */
  isCrowded: boolean;
  /** Status of the response that the client receives; undefined before its start. */
  status: number | undefined;
  /** Id of the last event relayed to the client. */
  lastEventId: number | undefined;
  /** True if the last event relayed has no id, so that the stream cannot go on after it. */
  isUnnumbered: boolean;
  /** True once a target may have run the request. */
  mayHaveRun: boolean;
  /** False once the request has probably crashed a target. */
  mayRepeat: boolean;
  /** Undefined unless the response is a stream that may be resumed. */
  readonly binding: StreamBinding | undefined;
  /** Software version of the target of the last attempt. */
  attemptVersion: string | undefined;
  /** Time until which the request may wait for a target; undefined until it has to. */
  waitUntil: number | undefined;
  /** Error of an earlier attempt, for the case that no later one brings a response. */
  kept: IKeptAnswer | undefined;
  /** Defined once the request has been admitted to an engine. */
  ticket: IAdmissionTicket | undefined;
}

/** What was decided before an attempt. */
export interface IPlannedAttempt {
  readonly request: IPlacementRequest;
  readonly standing: QuarantineStanding;
  readonly placement: IPlacement;
  /** Expected duration of the response. */
  readonly runMs: number;
  /** Whether another target could begin with the request now. */
  readonly hasFreeTarget: (now: number) => boolean;
  /** True if another attempt runs that only takes unusually long. */
  readonly isHedge?: boolean;
}

/** Urgency of a call: from 0 (most urgent) to 9. */
export function getPriority(route: IRoute, account: IClientAccount | undefined): number {
  return Math.min(LOWEST_PRIORITY, Math.max(0, account?.priority ?? route.priority));
}

/** Most tokens that the response to the call may have; 0 if it states none. */
export function getOutputTokens({ outputTokens, lengthHint }: ICall): number {
  return outputTokens ?? lengthHint ?? 0;
}

/** True if requests of the route may run more than once. */
export function isRepeatable(route: IRoute): boolean {
  TEST_ONLY: if (isMechanismDisabled('repeat-unsafe')) return true;
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
}
