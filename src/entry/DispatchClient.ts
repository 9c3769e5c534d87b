/** HTTP client for dispatches to the sidecars of targets. */
import { create } from '@bufbuild/protobuf';
import { Agent } from 'undici';
import {
  decodeHeader,
  encodeHeader,
  RECEIPT_HEADER,
  STREAM_HEADER,
  TICKET_HEADER,
} from '../common/Headers.js';
import type { IClock } from '../common/Clock.js';
import {
  NotSentError,
  sendRequest,
  type IHttpAnswer,
  type ISendObserver,
} from '../common/HttpAnswer.js';
import { ResetDetector } from '../common/ResetDetector.js';
import { isConnectFailure } from '../common/ConnectErrors.js';
import { CLUSTER_SECRET_HEADER } from '../common/Rpc.js';
import type { ILog } from '../common/Log.js';
import type { Shutdown } from '../common/Shutdown.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { ResponseTimes } from '../gateway/ResponseTimes.js';
import { computeLatestStart, estimateRunMs, type IPlannedRun } from '../gateway/StopPolicy.js';
import {
  ReceiptSchema,
  RefusalReason,
  TicketSchema,
  type Receipt,
  type Ticket,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { IRosterTarget } from '../roster/Roster.js';
import type { OpenRequest } from './OpenRequests.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Answers with an error say nothing of how long the others take. */
const MIN_ERROR_STATUS = 400;

/**
 * Below the keep-alive limit of the sidecars: the entry closes idle connections first, so that it sends no
 * request on a connection that the sidecar is closing.
 */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** A request to the sidecar of a target, with the ticket that authorises it. */
export interface IDispatch {
  readonly ticket: Ticket;
  readonly target: IRosterTarget;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  readonly signal: AbortSignal;
  /** The request of the caller that is dispatched. */
  readonly open: OpenRequest;
  readonly run: IPlannedRun;
}

/** Modules by which the client decides whether a dispatch may still begin. */
export interface IDispatchServices {
  readonly clock: IClock;
  readonly log: ILog;
  readonly shutdown: Shutdown;
  readonly responseTimes: ResponseTimes;
}

/** Outcome of a dispatch when the head of the answer has arrived; the body is not read yet. */
export type DispatchOutcome =
  | {
      readonly kind: 'answered';
      readonly response: IHttpAnswer;
      readonly receipt: Receipt;
      readonly streamId: string | undefined;
    }
  /** The sidecar's receipt or a failure to connect proves that the call did not run. */
  | {
      readonly kind: 'not_run';
      readonly reason: RefusalReason;
      /** Absent if no connection to the sidecar was made. */
      readonly receipt?: Receipt;
    }
  /** The process stops before the answer would end, so nothing was sent; the request has ended. */
  | { readonly kind: 'stopping' }
  /** The call may have run. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Creates a ticket from the given fields and those of the target's announcement. */
export function createTicket(
  target: IRosterTarget,
  fields: Omit<Parameters<typeof create<typeof TicketSchema>>[1] & object, '$typeName'>,
): Ticket {
  const { announcement } = target;
  return create(TicketSchema, {
    ...fields,
    target: announcement.target,
    sidecarIncarnation: announcement.sidecarIncarnation,
    targetIncarnation: announcement.targetIncarnation,
    weightsVersion: announcement.weightsVersion,
  });
}

/**
 * Sends dispatches to sidecars and checks the receipts in their answers. Everything that begins at a target passes
 * here, so it also decides, right before a dispatch is sent, whether its answer will end before the process does.
 */
export class DispatchClient {
  private readonly _resets = new ResetDetector(CONNECT_TIMEOUT_MS);
  private readonly _agent = new Agent({
    connect: this._resets.connect,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    // The deadline of the request, through its signal, limits the wait for headers and body.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(
    private readonly _clusterSecret: string,
    private readonly _services: IDispatchServices,
  ) {}

  /** Sends a dispatch and resolves when the head of the answer has arrived. Never rejects. */
  public async dispatch(dispatch: IDispatch): Promise<DispatchOutcome> {
    const { responseTimes, clock } = this._services;
    const runMs = estimateRunMs(dispatch.run, responseTimes, clock.now());
    return this._exchange(dispatch, {}, runMs, (sentAt) => {
      responseTimes.record(dispatch.run, clock.now() - sentAt);
    });
  }

  /** Requests the events of a stream after `lastEventId`. Never rejects. */
  public async resume(
    dispatch: IDispatch,
    streamId: string,
    lastEventId: number,
  ): Promise<DispatchOutcome> {
    const { responseTimes, clock } = this._services;
    const now = clock.now();
    // The target has been generating the stream since the first dispatch.
    const elapsedMs = now - (dispatch.open.sentAt ?? now);
    const runMs = Math.max(0, estimateRunMs(dispatch.run, responseTimes, now) - elapsedMs);
    return this._exchange(
      { ...dispatch, method: 'GET', body: undefined },
      { [STREAM_HEADER]: streamId, 'last-event-id': String(lastEventId) },
      runMs,
      () => undefined,
    );
  }

  public async close(): Promise<void> {
    await this._agent.destroy();
  }

  private async _exchange(
    dispatch: IDispatch,
    extraHeaders: Readonly<Record<string, string>>,
    runMs: number,
    recordTime: (sentAt: number) => void,
  ): Promise<DispatchOutcome> {
    const { clock } = this._services;
    const { open } = dispatch;
    const { mayHaveRun } = open;
    const waitsSince = clock.now();
    let sentAt: number | undefined;
    const observer: ISendObserver = {
      onSend: () => {
        const now = clock.now();
        if (!this._mayBegin(open, runMs, waitsSince, now)) {
          return false;
        }
        open.recordSend(now);
        sentAt = now;
        return true;
      },
      onComplete: (status) => {
        if (sentAt !== undefined && status < MIN_ERROR_STATUS) {
          recordTime(sentAt);
        }
      },
    };
    let outcome: DispatchOutcome;
    try {
      if (!this._mayBegin(open, runMs, waitsSince, waitsSince)) {
        return { kind: 'stopping' };
      }
      const response = await this._send(dispatch, extraHeaders, observer);
      outcome = await this._readHead(dispatch, response);
    } catch (error) {
      const hasStopped = error instanceof NotSentError || open.endReason === 'stopping';
      outcome = sentAt === undefined && hasStopped ? { kind: 'stopping' } : convertError(error);
    }
    // A claim that was seen before may be running.
    if (outcome.kind === 'not_run' && outcome.reason !== RefusalReason.CLAIM_SEEN) {
      // A stream goes on at its target when the resumption is refused.
      open.recordNotRun(mayHaveRun, extraHeaders[STREAM_HEADER] !== undefined);
    }
    return outcome;
  }

  /**
   * Ends a request that may not begin any more, so that all that wait with it learn of it. A claimed call goes on when
   * its request has ended for another reason, so that alone does not tell.
   */
  private _mayBegin(open: OpenRequest, runMs: number, waitsSince: number, now: number): boolean {
    TEST_ONLY: if (isMechanismDisabled('stop-gate')) return true;
    const { shutdown, log } = this._services;
    const isTooLate = now > computeLatestStart(shutdown, runMs, waitsSince);
    if (isTooLate && open.endReason !== 'stopping') {
      log.info('dispatch not begun, as the process stops', {
        requestId: open.requestId,
        runMs: Math.round(runMs),
        remainingMs: Math.round(shutdown.endsAt - now),
        waitedMs: Math.round(now - waitsSince),
      });
      open.end('stopping');
    }
    return !isTooLate && open.endReason !== 'stopping';
  }

  private _send(
    dispatch: IDispatch,
    extraHeaders: Readonly<Record<string, string>>,
    observer: ISendObserver,
  ): Promise<IHttpAnswer> {
    const options = {
      origin: `http://${dispatch.target.announcement.address}`,
      path: dispatch.path,
      method: dispatch.method,
      headers: {
        ...dispatch.headers,
        ...extraHeaders,
        [CLUSTER_SECRET_HEADER]: this._clusterSecret,
        [TICKET_HEADER]: encodeHeader(TicketSchema, dispatch.ticket),
      },
      body: dispatch.body ?? null,
    };
    return sendRequest(this._agent, this._resets, options, dispatch.signal, observer);
  }

  private async _readHead(dispatch: IDispatch, response: IHttpAnswer): Promise<DispatchOutcome> {
    const receipt = decodeHeader(ReceiptSchema, response.headers[RECEIPT_HEADER]);
    if (receipt?.requestId !== dispatch.ticket.requestId) {
      // The answer may belong to another request, so it must not reach this caller.
      response.body.destroy();
      return { kind: 'unknown', message: 'the sidecar answered without a matching receipt' };
    }
    if (receipt.refusal === RefusalReason.UNSPECIFIED) {
      const streamId = response.headers[STREAM_HEADER];
      return {
        kind: 'answered',
        response,
        receipt,
        streamId: typeof streamId === 'string' ? streamId : undefined,
      };
    }
    await response.body.read(() => undefined);
    if (receipt.ran) {
      return { kind: 'unknown', message: 'the connection to the target broke' };
    }
    return { kind: 'not_run', reason: receipt.refusal, receipt };
  }
}

function convertError(error: unknown): DispatchOutcome {
  if (isConnectFailure(error)) {
    return { kind: 'not_run', reason: RefusalReason.TARGET_DOWN };
  }
  return { kind: 'unknown', message: error instanceof Error ? error.message : String(error) };
}
