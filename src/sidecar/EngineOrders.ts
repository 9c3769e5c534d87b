/** Control commands to the engine beside this sidecar, over its HTTP protocol. */
import { buildConnector, Client, type Dispatcher } from 'undici';
import { describeError } from '../common/Log.js';
import { limitSignal } from '../common/Tasks.js';

const CONNECT_TIMEOUT_MS = 1_000;
const READ_TIMEOUT_MS = 1_000;

const ORDERS_PATH = '/admin/orders';

/** What an engine reports about itself. */
export interface IEngineState {
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Highest fencing token of this life of the engine; undefined when the engine keeps none. */
  readonly highestFence: bigint | undefined;
}

/** One command to load weights. */
export interface ILoadOrder {
  /** The state in which the engine was found; the command is sent only while it is still in it. */
  readonly expected: IEngineState;
  readonly version: string;
  readonly fence: bigint;
}

/** What became of a command. */
export type OrderOutcome =
  | { readonly kind: 'done' }
  /** Nothing was sent. */
  | { readonly kind: 'not_sent'; readonly reason: string }
  /** The engine has seen a higher fencing token. */
  | { readonly kind: 'refused'; readonly highestFence: bigint | undefined }
  /** The engine answered that it did not load the weights. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The command was sent; it may be carried out now, later or never. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Reads the engine's state and sends it commands. */
export interface IEngineOrders {
  /** Returns undefined when the engine does not answer. */
  readState(signal: AbortSignal): Promise<IEngineState | undefined>;
  /**
   * Sends one command. `maySend` is asked once more after the last wait before the command is written.
   */
  load(order: ILoadOrder, maySend: () => boolean, signal: AbortSignal): Promise<OrderOutcome>;
}

interface IStateReply {
  readonly incarnation?: string;
  readonly weights_version?: string;
  readonly highest_fence?: number;
}

function decodeFence(fence: number | undefined): bigint | undefined {
  return fence === undefined ? undefined : BigInt(fence);
}

function decodeState(reply: IStateReply): IEngineState {
  return {
    incarnation: reply.incarnation ?? '',
    weightsVersion: reply.weights_version ?? '',
    highestFence: decodeFence(reply.highest_fence),
  };
}

/** Explains why the engine's state forbids the command, or returns undefined. */
export function explainMismatch(state: IEngineState, order: ILoadOrder): string | undefined {
  if (state.incarnation !== order.expected.incarnation) {
    return 'the engine has restarted';
  }
  if (state.weightsVersion !== order.expected.weightsVersion) {
    return `the engine has weights ${state.weightsVersion} by now`;
  }
  if (state.highestFence !== order.expected.highestFence) {
    return 'the engine has got another command by now';
  }
  return undefined;
}

/**
 * A connector that connects once. The state is read over the connection that carries the command, so
 * that a command never reaches a later life of the engine that the client connected to on its own.
 */
function createSingleConnector(): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(new Error('the connection to the engine was lost'), null);
      return;
    }
    isUsed = true;
    connect(options, callback);
  };
}

/**
 * Commands over one connection each.
 *
 * @example
 * const orders = new EngineOrders('10.0.0.20:9000', '/health');
 * const state = await orders.readState(signal);
 */
export class EngineOrders implements IEngineOrders {
  constructor(
    private readonly _address: string,
    private readonly _healthPath: string,
  ) {}

  public async readState(signal: AbortSignal): Promise<IEngineState | undefined> {
    const client = this._connect();
    try {
      return await this._read(client, signal);
    } catch {
      return undefined;
    } finally {
      await client.destroy();
    }
  }

  public async load(
    order: ILoadOrder,
    maySend: () => boolean,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    const client = this._connect();
    try {
      const state = await this._read(client, signal);
      const mismatch = explainMismatch(state, order);
      if (mismatch !== undefined) {
        return { kind: 'not_sent', reason: mismatch };
      }
      // No wait between this check and the write of the command.
      if (!maySend()) {
        return { kind: 'not_sent', reason: 'the right to send it has ended' };
      }
      return await this._send(client, order, signal);
    } catch (error) {
      return { kind: 'not_sent', reason: describeError(error) };
    } finally {
      await client.destroy();
    }
  }

  private _connect(): Client {
    return new Client(`http://${this._address}`, {
      connect: createSingleConnector(),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async _read(client: Client, signal: AbortSignal): Promise<IEngineState> {
    const response = await client.request({
      path: this._healthPath,
      method: 'GET',
      signal: limitSignal(signal, READ_TIMEOUT_MS),
    });
    const reply = (await response.body.json()) as IStateReply;
    if (response.statusCode !== 200) {
      throw new Error(`the engine answered ${response.statusCode} to GET ${this._healthPath}`);
    }
    return decodeState(reply);
  }

  /** Any failure after the request was handed over leaves the outcome unknown. */
  private async _send(
    client: Client,
    order: ILoadOrder,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    try {
      const response = await client.request({
        path: ORDERS_PATH,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ fence: Number(order.fence), version: order.version }),
        signal,
      });
      return await readOutcome(response);
    } catch (error) {
      return { kind: 'unknown', reason: describeError(error) };
    }
  }
}

async function readOutcome(response: Dispatcher.ResponseData): Promise<OrderOutcome> {
  if (response.statusCode === 200) {
    await response.body.dump();
    return { kind: 'done' };
  }
  if (response.statusCode === 409) {
    const reply = (await response.body.json()) as IStateReply;
    return { kind: 'refused', highestFence: decodeFence(reply.highest_fence) };
  }
  await response.body.dump();
  return { kind: 'failed', reason: `the engine answered ${response.statusCode}` };
}
