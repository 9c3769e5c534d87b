/** Sends a dispatch to the sidecar of a target and reads its receipt. */
import { create } from '@bufbuild/protobuf';
import { Agent } from 'undici';
import {
  decodeHeader,
  encodeHeader,
  RECEIPT_HEADER,
  STREAM_HEADER,
  TICKET_HEADER,
} from '../common/Headers.js';
import { sendRequest, type IHttpAnswer } from '../common/HttpAnswer.js';
import { isNeverConnected } from '../common/ConnectErrors.js';
import { CLUSTER_SECRET_HEADER } from '../common/Rpc.js';
import {
  ReceiptSchema,
  RefusalReason,
  TicketSchema,
  type Receipt,
  type Ticket,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { IRosterTarget } from '../roster/Roster.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Idle connections to a sidecar are closed before its own limit, so that none is used as it closes. */
const KEEP_ALIVE_MS = 4_000;

/** One dispatch. */
export interface IDispatch {
  readonly ticket: Ticket;
  readonly target: IRosterTarget;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  readonly signal: AbortSignal;
}

/** What became of a dispatch before its answer was read. */
export type DispatchOutcome =
  | {
      readonly kind: 'answered';
      readonly response: IHttpAnswer;
      readonly receipt: Receipt;
      readonly streamId: string | undefined;
    }
  /** The sidecar or the connection proves that nothing ran. */
  | {
      readonly kind: 'not_run';
      readonly reason: RefusalReason;
      /** Absent when the sidecar was not connected. */
      readonly receipt?: Receipt;
    }
  /** The call may have run. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Fields of a ticket that come from the announcement of the target. */
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

/** Client for the data path to sidecars. */
export class DispatchClient {
  private readonly _agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    // The deadline of the request limits the wait for headers and body.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(private readonly _clusterSecret: string) {}

  /** Sends a dispatch and returns once the head of the answer is there. */
  public async dispatch(dispatch: IDispatch): Promise<DispatchOutcome> {
    try {
      const response = await this._send(dispatch, {});
      return await this._readHead(dispatch, response);
    } catch (error) {
      return describeError(error);
    }
  }

  /** Asks for the rest of a stream after an event id. */
  public async resume(
    dispatch: IDispatch,
    streamId: string,
    lastEventId: number,
  ): Promise<DispatchOutcome> {
    try {
      const response = await this._send(
        { ...dispatch, method: 'GET', body: undefined },
        { [STREAM_HEADER]: streamId, 'last-event-id': String(lastEventId) },
      );
      return await this._readHead(dispatch, response);
    } catch (error) {
      return describeError(error);
    }
  }

  public async close(): Promise<void> {
    await this._agent.destroy();
  }

  private _send(
    dispatch: IDispatch,
    extraHeaders: Readonly<Record<string, string>>,
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
    return sendRequest(this._agent, options, dispatch.signal);
  }

  private async _readHead(dispatch: IDispatch, response: IHttpAnswer): Promise<DispatchOutcome> {
    const receipt = decodeHeader(ReceiptSchema, response.headers[RECEIPT_HEADER]);
    if (receipt?.requestId !== dispatch.ticket.requestId) {
      // An answer that belongs to another request must never reach this caller.
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
      return { kind: 'unknown', message: 'the target broke off' };
    }
    return { kind: 'not_run', reason: receipt.refusal, receipt };
  }
}

function describeError(error: unknown): DispatchOutcome {
  if (isNeverConnected(error)) {
    return { kind: 'not_run', reason: RefusalReason.TARGET_DOWN };
  }
  return { kind: 'unknown', message: error instanceof Error ? error.message : String(error) };
}
