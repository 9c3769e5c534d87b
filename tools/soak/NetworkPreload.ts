/**
 * Loaded into the program's processes before their own code. Disturbs their outgoing connections as a
 * file tells: data to an address may be held back (requests lost in a cut), data from it may be held
 * back (answers lost), and both may be delayed. Held data flows on when the disturbance ends, as it does
 * on TCP after retransmission, unless one side has given up before. The file may also move the time of
 * day and slow the disk of the process.
 */
import { readFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

const POLL_INTERVAL_MS = 50;

/** What happens to the connections to one port. */
interface IDisturbance {
  readonly holdSent?: boolean;
  readonly holdReceived?: boolean;
  readonly delayMs?: number;
}

type WriteGeneric = (
  this: IPatchedSocket,
  isVector: boolean,
  data: unknown,
  encoding: unknown,
  callback: (error?: Error | null) => void,
) => void;

/** What happens to the process itself. */
interface IProcessDisturbance {
  readonly clockOffsetMs?: number;
  readonly syncDelayMs?: number;
}

interface IPatchedSocket extends Socket {
  _writeGeneric: WriteGeneric;
  heldReads?: { readonly chunk: unknown; readonly dueAt: number }[];
  /** Port, and host with port. */
  targetKeys?: readonly string[];
}

const file = process.env.REDWINGWHARF_NETWORK_FILE ?? '';
let disturbances: Readonly<Record<string, IDisturbance>> & {
  readonly process?: IProcessDisturbance;
} = {};
const readers = new Set<IPatchedSocket>();

function readFile(): void {
  try {
    disturbances = JSON.parse(readFileSync(file, 'utf8')) as typeof disturbances;
  } catch {
    // No file means no disturbance.
    disturbances = {};
  }
}

function findDisturbance(socket: IPatchedSocket): IDisturbance | undefined {
  const key = socket.targetKeys?.find((name) => disturbances[name] !== undefined);
  return key === undefined ? undefined : disturbances[key];
}

const prototype = Socket.prototype as IPatchedSocket;
const connect = Reflect.get(prototype, 'connect') as (...args: unknown[]) => Socket;
const push = Reflect.get(prototype, 'push') as (chunk: unknown, encoding?: string) => boolean;
const { _writeGeneric: writeGeneric } = prototype;

prototype.connect = function (this: IPatchedSocket, ...args: unknown[]) {
  const [first, second] = args.flat() as [
    { port?: number | string; host?: string } | number | undefined,
    unknown,
  ];
  const { port, host } =
    typeof first === 'object'
      ? first
      : { port: first, host: typeof second === 'string' ? second : '' };
  this.targetKeys = [String(port), `${host ?? ''}:${String(port)}`];
  return connect.apply(this, args);
} as typeof prototype.connect;

prototype._writeGeneric = function (isVector, data, encoding, callback) {
  const send = (): void => {
    writeGeneric.call(this, isVector, data, encoding, callback);
  };
  const waitUntil = (dueAt: number): void => {
    if (this.destroyed) {
      callback(new Error('the connection was closed'));
    } else if (findDisturbance(this)?.holdSent === true || performance.now() < dueAt) {
      setTimeout(waitUntil, POLL_INTERVAL_MS, dueAt);
    } else {
      send();
    }
  };
  const disturbance = findDisturbance(this);
  if (disturbance === undefined) {
    send();
  } else {
    waitUntil(performance.now() + (disturbance.delayMs ?? 0));
  }
};

function releaseReads(socket: IPatchedSocket): void {
  const held = socket.heldReads ?? [];
  const isHeld = findDisturbance(socket)?.holdReceived === true;
  const now = performance.now();
  while (held.length > 0 && !isHeld && (held[0]?.dueAt ?? 0) <= now) {
    const next = held.shift();
    if (!socket.destroyed) {
      push.call(socket, next?.chunk);
    }
  }
  if (held.length === 0 || socket.destroyed) {
    readers.delete(socket);
    delete socket.heldReads;
  }
}

prototype.push = function (this: IPatchedSocket, chunk: unknown, encoding?: BufferEncoding) {
  const disturbance = findDisturbance(this);
  if (disturbance === undefined && this.heldReads === undefined) {
    return push.call(this, chunk, encoding);
  }
  this.heldReads ??= [];
  this.heldReads.push({ chunk, dueAt: performance.now() + (disturbance?.delayMs ?? 0) });
  readers.add(this);
  return true;
};

const tellTime = Date.now.bind(Date);
Date.now = (): number => tellTime() + (disturbances.process?.clockOffsetMs ?? 0);

type Sync = (this: unknown) => Promise<void>;

/** File handles share a prototype that Node does not export. */
async function delaySyncs(): Promise<void> {
  const handle = await open('/dev/null');
  const handles = Object.getPrototypeOf(handle) as Record<'sync' | 'datasync', Sync>;
  await handle.close();
  for (const name of ['sync', 'datasync'] as const) {
    const original = handles[name];
    handles[name] = async function (this: unknown): Promise<void> {
      await delay(disturbances.process?.syncDelayMs ?? 0);
      return original.call(this);
    };
  }
}

void delaySyncs();
readFile();
setInterval(() => {
  readFile();
  for (const socket of readers) {
    releaseReads(socket);
  }
}, POLL_INTERVAL_MS).unref();
