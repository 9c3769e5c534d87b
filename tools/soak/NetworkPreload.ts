/**
 * Module that is loaded into the processes of the program before their own code (`--require`). It disturbs
 * their outgoing connections as a file specifies: data sent to an address can be held back (requests are
 * lost), data received from it can be held back (answers are lost), and both can be delayed. Held data is
 * delivered when the disturbance ends, as TCP does by retransmission, unless one side has closed the
 * connection. The file can also shift the wall clock of the process, delay its disk syncs, and have its disk refuse
 * writes as a full one does.
 */
import { readFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

const POLL_INTERVAL_MS = 50;

/** Disturbance of the connections to one destination. */
interface IDisturbance {
  readonly holdSent?: boolean;
  readonly holdReceived?: boolean;
  readonly delayMs?: number;
}

/** Internal method of Node's sockets through which all writes pass. */
type WriteGeneric = (
  this: IPatchedSocket,
  isVector: boolean,
  data: unknown,
  encoding: unknown,
  callback: (error?: Error | null) => void,
) => void;

/** Disturbance of the process itself. */
interface IProcessDisturbance {
  /** Added to `Date.now()`. */
  readonly clockOffsetMs?: number;
  /** Delay before each sync of a file. */
  readonly syncDelayMs?: number;
  /** True while no write to a file succeeds. Some of them write a part of their data. */
  readonly isDiskFull?: boolean;
}

interface IPatchedSocket extends Socket {
  _writeGeneric: WriteGeneric;
  /** Received data that is not yet delivered, with the earliest time of its delivery. */
  heldReads?: { readonly chunk: unknown; readonly dueAt: number }[];
  /** Names of the destination in the file: the port, and the host with the port. */
  destinationKeys?: readonly string[];
}

const disturbanceFile = process.env.REDWINGWHARF_NETWORK_FILE ?? '';
let disturbances: Readonly<Record<string, IDisturbance>> & {
  readonly process?: IProcessDisturbance;
} = {};
const socketsWithHeldReads = new Set<IPatchedSocket>();

function readDisturbances(): void {
  try {
    disturbances = JSON.parse(readFileSync(disturbanceFile, 'utf8')) as typeof disturbances;
  } catch {
    // Without a file there are no disturbances.
    disturbances = {};
  }
}

function findDisturbance(socket: IPatchedSocket): IDisturbance | undefined {
  const key = socket.destinationKeys?.find((name) => disturbances[name] !== undefined);
  return key === undefined ? undefined : disturbances[key];
}

const socketPrototype = Socket.prototype as IPatchedSocket;
const originalConnect = Reflect.get(socketPrototype, 'connect') as (...args: unknown[]) => Socket;
const originalPush = Reflect.get(socketPrototype, 'push') as (
  chunk: unknown,
  encoding?: string,
) => boolean;
const { _writeGeneric: originalWriteGeneric } = socketPrototype;

socketPrototype.connect = function (this: IPatchedSocket, ...args: unknown[]) {
  const [first, second] = args.flat() as [
    { port?: number | string; host?: string } | number | undefined,
    unknown,
  ];
  const { port, host } =
    typeof first === 'object'
      ? first
      : { port: first, host: typeof second === 'string' ? second : '' };
  this.destinationKeys = [String(port), `${host ?? ''}:${String(port)}`];
  return originalConnect.apply(this, args);
} as typeof socketPrototype.connect;

socketPrototype._writeGeneric = function (isVector, data, encoding, callback) {
  const send = (): void => {
    originalWriteGeneric.call(this, isVector, data, encoding, callback);
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

/** Delivers held data of a socket whose delay has passed, unless the data is still held back. */
function releaseReads(socket: IPatchedSocket): void {
  const held = socket.heldReads ?? [];
  const isHeld = findDisturbance(socket)?.holdReceived === true;
  const now = performance.now();
  while (held.length > 0 && !isHeld && (held[0]?.dueAt ?? 0) <= now) {
    const next = held.shift();
    if (!socket.destroyed) {
      originalPush.call(socket, next?.chunk);
    }
  }
  if (held.length === 0 || socket.destroyed) {
    socketsWithHeldReads.delete(socket);
    delete socket.heldReads;
  }
}

socketPrototype.push = function (this: IPatchedSocket, chunk: unknown, encoding?: BufferEncoding) {
  const disturbance = findDisturbance(this);
  if (disturbance === undefined && this.heldReads === undefined) {
    return originalPush.call(this, chunk, encoding);
  }
  this.heldReads ??= [];
  this.heldReads.push({ chunk, dueAt: performance.now() + (disturbance?.delayMs ?? 0) });
  socketsWithHeldReads.add(this);
  return true;
};

const getSystemTime = Date.now.bind(Date);
Date.now = (): number => getSystemTime() + (disturbances.process?.clockOffsetMs ?? 0);

/** Methods of file handles, with the arguments that the program passes. */
interface IPatchedHandle {
  sync: (this: unknown) => Promise<void>;
  datasync: (this: unknown) => Promise<void>;
  write: (
    this: unknown,
    data: Uint8Array,
    offset: number,
    length: number,
    position: number | null,
  ) => Promise<{ readonly bytesWritten: number }>;
  writeFile: (this: unknown, data: Uint8Array) => Promise<void>;
}

/** Share of the writes to a full disk that end in their middle. */
const TORN_WRITE_SHARE = 0.5;

function createFullDiskError(): Error {
  return Object.assign(new Error('ENOSPC: no space left on device, write'), {
    code: 'ENOSPC',
    syscall: 'write',
  });
}

/** Number of bytes that a write to a full disk still writes. */
function pickTornLength(length: number): number {
  return Math.random() < TORN_WRITE_SHARE ? Math.floor(Math.random() * length) : 0;
}

/**
 * Delays syncs of files, and refuses writes while the disk is full. Node does not export the prototype of its file
 * handles, so one is opened to get it.
 */
async function applyDiskDisturbances(): Promise<void> {
  const handle = await open('/dev/null');
  const handlePrototype = Object.getPrototypeOf(handle) as IPatchedHandle;
  await handle.close();
  delaySyncs(handlePrototype);
  refuseWrites(handlePrototype);
}

/** As the system call, `write` returns a smaller count when it ends in its middle, and the next one fails. */
function refuseWrites(handlePrototype: IPatchedHandle): void {
  const { write, writeFile } = handlePrototype;
  handlePrototype.write = async function (data, offset, length, position) {
    const isFull = disturbances.process?.isDiskFull === true;
    const written = isFull ? pickTornLength(length) : length;
    if (isFull && written === 0) {
      throw createFullDiskError();
    }
    return write.call(this, data, offset, written, position);
  };
  handlePrototype.writeFile = async function (data) {
    if (disturbances.process?.isDiskFull !== true) {
      return writeFile.call(this, data);
    }
    await writeFile.call(this, data.subarray(0, pickTornLength(data.length)));
    throw createFullDiskError();
  };
}

function delaySyncs(handlePrototype: IPatchedHandle): void {
  for (const name of ['sync', 'datasync'] as const) {
    const original = handlePrototype[name];
    handlePrototype[name] = async function () {
      await delay(disturbances.process?.syncDelayMs ?? 0);
      return original.call(this);
    };
  }
}

void applyDiskDisturbances();
readDisturbances();
setInterval(() => {
  readDisturbances();
  for (const socket of socketsWithHeldReads) {
    releaseReads(socket);
  }
}, POLL_INTERVAL_MS).unref();
