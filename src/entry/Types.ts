/** Interfaces between the stages of the request pipeline. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import type { Result } from '../common/Result.js';
import type { ControlFailure, ICommandBody, IExecuteOptions } from '../control/ControlClient.js';
import type { IFeed } from '../feed/Types.js';
import type { ClientAccount, CommandResult, Service } from '../gen/redwingwharf/v1/state_pb.js';
import type { ICaller } from './Authenticate.js';
import type { DecisionLog } from './DecisionLog.js';
import type { IHttpFailure } from './Failures.js';
import type { OpenRequest } from './OpenRequests.js';

/** Tokens that were reserved for one request. */
export interface IAdmission {
  /** Reports the tokens that were used; the rest is refunded. */
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

/** Runs commands on the control leader. */
export interface IControl {
  execute(
    command: ICommandBody,
    signal: AbortSignal,
    options?: IExecuteOptions,
  ): Promise<Result<CommandResult, ControlFailure>>;
}

/** Brings the configuration up to date at once. */
export interface IFeedSync {
  syncOnce(signal: AbortSignal): Promise<void>;
}

/** One request on its way through the pipeline. */
export interface IRequestContext {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query without any key. */
  readonly path: string;
  readonly service: Service;
  /** Absent on open routes. */
  readonly caller: ICaller | undefined;
  readonly open: OpenRequest;
  readonly startedAt: number;
}

/** Services that all flows share. */
export interface IFlowServices {
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly feed: IFeed;
  readonly feedSync: IFeedSync;
}
