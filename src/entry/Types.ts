/** Types that the stages of the request pipeline share. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import type { Shutdown } from '../common/Shutdown.js';
import type { Result } from '../common/Result.js';
import type { ControlFailure, ICommandBody, IExecuteOptions } from '../control/ControlClient.js';
import type { IFeed } from '../feed/Types.js';
import type { ClientAccount, CommandResult, Service } from '../gen/redwingwharf/v1/state_pb.js';
import type { ICaller } from './Authenticate.js';
import type { DecisionLog } from './DecisionLog.js';
import type { IHttpFailure } from './Failures.js';
import type { OpenRequest } from './OpenRequests.js';

/** A reservation of tokens for one request. */
export interface IAdmission {
  /** Reports how many tokens were used and refunds the others. */
  settle(usedTokens: number): void;
}

/** Admits requests within the rate and burst of their client account. */
export interface IAdmitter {
  admit(
    account: ClientAccount,
    tokens: number,
    signal: AbortSignal,
  ): Promise<Result<IAdmission, IHttpFailure>>;
}

/** Executes commands at the control leader. */
export interface IControl {
  execute(
    command: ICommandBody,
    signal: AbortSignal,
    options?: IExecuteOptions,
  ): Promise<Result<CommandResult, ControlFailure>>;
}

/** Synchronises the configuration at once instead of at the next interval. */
export interface IFeedSync {
  syncOnce(signal: AbortSignal): Promise<void>;
}

/** State of one request in the pipeline. */
export interface IRequestContext {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query without the caller's key. */
  readonly path: string;
  readonly service: Service;
  /** Absent on open routes. */
  readonly caller: ICaller | undefined;
  readonly open: OpenRequest;
  /** Arrival of the request by the entry's clock. */
  readonly startedAt: number;
}

/** Dependencies that all flows share. */
export interface IFlowServices {
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly feed: IFeed;
  readonly feedSync: IFeedSync;
  readonly shutdown: Shutdown;
}
