/** Measures for how long new connections wait in the kernel's queue. */

/**
 * Tells since when the queue of a listening socket has not been seen empty. The event loop accepts one connection in each of its
 * turns, so that connections may wait for long although no turn is late. A turn without one shows that none waited.
 *
 * @example
 * const backlog = new AcceptBacklog();
 * server.on('connection', (socket) => {
 *   const waitedMs = backlog.recordAccept(performance.now());
 * });
 */
export class AcceptBacklog {
  private _since: number | undefined;
  private _hasAccepted = false;

  /** Call in the turn in which a connection is accepted. Returns for how long it may have waited, in milliseconds. */
  public recordAccept(now: number): number {
    this._hasAccepted = true;
    if (this._since === undefined) {
      this._since = now;
      setImmediate(() => {
        this._watchNextTurn();
      });
    }
    return now - this._since;
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
