/** One generation of the fake engine. Its events can be read again from any id. */
import { EventEmitter, once } from 'node:events';

/** Generates the numbered events of one answer. */
export class EngineStream {
  private readonly _events: string[] = [];
  private readonly _changes = new EventEmitter();
  private _isDone = false;
  private _isCancelled = false;
  private _readers = 0;

  constructor(
    public readonly id: string,
    public readonly requestId: string,
  ) {
    this._changes.setMaxListeners(0);
  }

  public get isDone(): boolean {
    return this._isDone;
  }

  public get isCancelled(): boolean {
    return this._isCancelled;
  }

  public get readers(): number {
    return this._readers;
  }

  public push(data: string): void {
    this._events.push(`id: ${this._events.length + 1}\ndata: ${data}\n\n`);
    this._changes.emit('change');
  }

  public finish(): void {
    this._isDone = true;
    this._changes.emit('change');
  }

  public cancel(): void {
    this._isCancelled = true;
    this.finish();
  }

  /** Reads the events after the given id until the end of the stream. */
  public async *readAfter(id: number): AsyncGenerator<string> {
    this._readers += 1;
    try {
      let next = id;
      for (;;) {
        while (next < this._events.length) {
          yield this._events[next++] ?? '';
        }
        if (this._isDone) {
          return;
        }
        await once(this._changes, 'change');
      }
    } finally {
      this._readers -= 1;
    }
  }
}
