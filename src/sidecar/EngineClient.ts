/**
 * Reads the state of the engine beside this sidecar and sends it load commands, over its HTTP protocol.
 */
import { Client, type buildConnector, type Dispatcher } from 'undici';
import { readJson } from '../common/JsonAnswer.js';
import { describeError } from '../common/Log.js';
import { createConnector } from '../common/OrderedSocket.js';
import { deriveTimeoutSignal } from '../common/Tasks.js';

const CONNECT_TIMEOUT_MS = 1_000;
const READ_TIMEOUT_MS = 1_000;

const ORDERS_PATH = '/admin/orders';

const MAX_REPLY_BYTES = 64 * 1024;

/** State that an engine reports about itself. */
export interface IEngineState {
  readonly incarnation: string;
  readonly weightsVersion: string;
  /**
   * Highest fencing token that this incarnation has received; undefined if the engine does not report it.
   */
  readonly highestFence: bigint | undefined;
}

/** A command to load weights. */
export interface ILoadCommand {
  /**
   * The engine's state when the load was decided; the command is sent only if it has not changed since.
   */
  readonly expected: IEngineState;
  readonly version: string;
  readonly fence: bigint;
}

/** Outcome of a load command. */
export type LoadOutcome =
  | { readonly kind: 'done' }
  /** The command was not sent. */
  | { readonly kind: 'not_sent'; readonly reason: string }
  /** The engine has received a higher fencing token. */
  | { readonly kind: 'refused'; readonly highestFence: bigint | undefined }
  /** The engine answered that it did not load the weights. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The command was sent; the engine may execute it now, later or never. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Reads the engine's state and sends it load commands. */
export interface IEngineClient {
  /** Returns undefined when the engine does not answer. */
  readState(signal: AbortSignal): Promise<IEngineState | undefined>;
  /**
   * Sends one command. `maySend` is called after the last asynchronous step before the command is sent.
   */
  loadWeights(
    command: ILoadCommand,
    maySend: () => boolean,
    signal: AbortSignal,
  ): Promise<LoadOutcome>;
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

/** Explains why the engine's state is not the one that the command expects; undefined when it is. */
export function explainMismatch(state: IEngineState, command: ILoadCommand): string | undefined {
  if (state.incarnation !== command.expected.incarnation) {
    return 'the engine has restarted';
  }
  if (state.weightsVersion !== command.expected.weightsVersion) {
    return `the engine has other weights now: ${state.weightsVersion}`;
  }
  if (state.highestFence !== command.expected.highestFence) {
    return 'the engine has received another command';
  }
  return undefined;
}

/**
 * Creates a connector that connects only once. The engine's state is read over the same connection that
 * carries the command: an automatic reconnect could send the command to a later incarnation of the engine.
 */
function createSingleUseConnector(): buildConnector.connector {
  const connect = createConnector(CONNECT_TIMEOUT_MS);
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(
        new Error('the connection to the engine was lost; it is not reopened for the same command'),
        null,
      );
      return;
    }
    isUsed = true;
    connect(options, callback);
  };
}

/**
 * Client of one engine. Each call opens its own connection and closes it at the end.
 *
 * @example
 * const client = new EngineClient('10.0.0.20:9000', '/health');
 * const state = await client.readState(signal);
 */
export class EngineClient implements IEngineClient {
  constructor(
    private readonly _address: string,
    private readonly _healthPath: string,
  ) {}

  public async readState(signal: AbortSignal): Promise<IEngineState | undefined> {
    const client = this._connect();
    try {
      return await this._requestState(client, signal);
    } catch {
      return undefined;
    } finally {
      await client.destroy();
    }
  }

  public async loadWeights(
    command: ILoadCommand,
    maySend: () => boolean,
    signal: AbortSignal,
  ): Promise<LoadOutcome> {
    const client = this._connect();
    try {
      const state = await this._requestState(client, signal);
      const mismatch = explainMismatch(state, command);
      if (mismatch !== undefined) {
        return { kind: 'not_sent', reason: mismatch };
      }
      // There must be no await between this check and the sending of the command.
      if (!maySend()) {
        return { kind: 'not_sent', reason: 'the command may no longer be sent' };
      }
      return await this._sendCommand(client, command, signal);
    } catch (error) {
      return { kind: 'not_sent', reason: describeError(error) };
    } finally {
      await client.destroy();
    }
  }

  private _connect(): Client {
    return new Client(`http://${this._address}`, {
      connect: createSingleUseConnector(),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async _requestState(client: Client, signal: AbortSignal): Promise<IEngineState> {
    const response = await client.request({
      path: this._healthPath,
      method: 'GET',
      signal: deriveTimeoutSignal(signal, READ_TIMEOUT_MS),
    });
    const reply = (await readJson(response.body, MAX_REPLY_BYTES)) as IStateReply;
    if (response.statusCode !== 200) {
      throw new Error(`the engine answered ${response.statusCode} to GET ${this._healthPath}`);
    }
    return decodeState(reply);
  }

  /** A failure after the request was passed to the HTTP client leaves the outcome unknown. */
  private async _sendCommand(
    client: Client,
    command: ILoadCommand,
    signal: AbortSignal,
  ): Promise<LoadOutcome> {
    try {
      const response = await client.request({
        path: ORDERS_PATH,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ fence: Number(command.fence), version: command.version }),
        signal,
      });
      return await readOutcome(response, command);
    } catch (error) {
      return { kind: 'unknown', reason: describeError(error) };
    }
  }
}

async function readOutcome(
  response: Dispatcher.ResponseData,
  { expected, version }: ILoadCommand,
): Promise<LoadOutcome> {
  if (response.statusCode === 200) {
    // An answer that a faulty engine has written once more states what was before.
    const state = decodeState((await readJson(response.body, MAX_REPLY_BYTES)) as IStateReply);
    return state.incarnation === expected.incarnation && state.weightsVersion === version
      ? { kind: 'done' }
      : { kind: 'unknown', reason: 'the answer does not state the commanded version' };
  }
  if (response.statusCode === 409) {
    const reply = (await readJson(response.body, MAX_REPLY_BYTES)) as IStateReply;
    return { kind: 'refused', highestFence: decodeFence(reply.highest_fence) };
  }
  await response.body.dump();
  return { kind: 'failed', reason: `the engine answered ${response.statusCode}` };
}
