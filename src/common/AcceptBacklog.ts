/** Measures for how long new connections wait in the kernel's queue, and finds those whose clients may have left meanwhile. */
import type { Socket } from 'node:net';
import { waitForPoll } from './LoopDelay.js';

/** Shorter waits are those of a busy process that has its processor time. */
const MIN_WAIT_MS = 100;

/**
 * Tells since when the queue of a listening socket has not been seen empty. The event loop accepts one connection in each of its
 * turns, so that connections may wait for long although no turn is late. A turn without one shows that none waited.
 *
 * @example
 * const backlog = new AcceptBacklog();
 * server.on('connection', (socket) => { backlog.recordAccept(socket, performance.now()); });
 * server.on('request', async ({ socket }) => {
 *   const hasLeft = await backlog.waitForEnd(socket);
 * });
 */
export class AcceptBacklog {
  private _since: number | undefined;
  private _hasAccepted = false;
  /** Connections that may have waited for long, and of which no request has been read. */
  private readonly _late = new WeakSet<Socket>();

  /** Call in the turn in which a connection is accepted. */
  public recordAccept(socket: Socket, now: number): void {
    this._hasAccepted = true;
    if (this._since === undefined) {
      this._since = now;
      setImmediate(() => {
        this._watchNextTurn();
      });
    } else if (now - this._since >= MIN_WAIT_MS) {
      this._late.add(socket);
    }
  }

  /**
   * Returns once the end of the connection has been read, if it had arrived before the call; true if the client has ended its side.
   * The end of a connection that waited is read a turn after its first request; later requests are not kept from being read.
   */
  public async waitForEnd(socket: Socket): Promise<boolean> {
    if (this._late.delete(socket)) {
      await waitForPoll();
    }
    return socket.readableEnded || socket.destroyed;
  }

  /** Time for which a connection has been accepted in each turn, in milliseconds; 0 if the queue was empty in the last one. */
  public getAgeMs(now: number): number {
    return this._since === undefined ? 0 : now - this._since;
  }

  private _watchNextTurn(): void {
    this._hasAccepted = false;
    // Runs after the next poll for connections.
    setImmediate(() => {
      if (this._hasAccepted) {
        this._watchNextTurn();
      } else {
        this._since = undefined;
      }
    });
  }
}
