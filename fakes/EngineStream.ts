/** Event stream of one generation of the fake engine. */
import { EventEmitter, once } from 'node:events';

/** Stores the numbered events of one answer. Readers can start after any event, also repeatedly. */
export class EngineStream {
  private readonly _events: string[] = [];
  private readonly _changes = new EventEmitter();
  private _isFinished = false;
  private _isCancelled = false;
  private _readerCount = 0;

  constructor(
    public readonly id: string,
    public readonly requestId: string,
  ) {
    this._changes.setMaxListeners(0);
  }

  public get isFinished(): boolean {
    return this._isFinished;
  }

  public get isCancelled(): boolean {
    return this._isCancelled;
  }

  public get readerCount(): number {
    return this._readerCount;
  }

  public push(data: string): void {
    this._events.push(`id: ${this._events.length + 1}\ndata: ${data}\n\n`);
    this._changes.emit('change');
  }

  public finish(): void {
    this._isFinished = true;
    this._changes.emit('change');
  }

  public cancel(): void {
    this._isCancelled = true;
    this.finish();
  }

  /** Yields the events after the given id, waiting for further ones until the stream ends. */
  public async *readAfter(id: number): AsyncGenerator<string> {
    this._readerCount += 1;
    try {
      let next = id;
      for (;;) {
        while (next < this._events.length) {
          yield this._events[next++] ?? '';
        }
        if (this._isFinished) {
          return;
        }
        await once(this._changes, 'change');
      }
    } finally {
      this._readerCount -= 1;
    }
  }
}
