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
import { sendRequest, type IHttpAnswer } from '../common/HttpAnswer.js';
import { ResetDetector } from '../common/ResetDetector.js';
import { isConnectFailure } from '../common/ConnectErrors.js';
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

/** Sends dispatches to sidecars and checks the receipts in their answers. */
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

  constructor(private readonly _clusterSecret: string) {}

  /** Sends a dispatch and resolves when the head of the answer has arrived. Never rejects. */
  public async dispatch(dispatch: IDispatch): Promise<DispatchOutcome> {
    try {
      const response = await this._send(dispatch, {});
      return await this._readHead(dispatch, response);
    } catch (error) {
      return convertError(error);
    }
  }

  /** Requests the events of a stream after `lastEventId`. Never rejects. */
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
      return convertError(error);
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
    return sendRequest(this._agent, this._resets, options, dispatch.signal);
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
