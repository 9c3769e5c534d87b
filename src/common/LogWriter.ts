/**
 * Writes log lines without blocking the event loop. Writes to a pipe are synchronous in Node, so lines
 * are buffered and written by a thread; lines beyond the limits are dropped and counted.
 */

/** Time for which lines are buffered before they are written together. */
const FLUSH_INTERVAL_MS = 50;

/** Token bucket for log lines. An entry of a busy site with ten entries writes about 20 lines a second. */
const MAX_LINES_PER_SECOND = 300;
const MAX_BURST_LINES = 600;

/** Largest buffer while the reader of the log does not keep up. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Writes text and calls `done` when it is written, or with the error. */
export type LogOutput = (text: string, done: (error: Error | null) => void) => void;

/**
 * Buffers log lines and writes them in batches, one write at a time. Drops lines beyond a rate limit and
 * beyond a limit of buffered bytes, and reports their number in the log.
 *
 * @example
 * const writer = new LogWriter((text, done) => { write(1, text, done); }, () => performance.now());
 * const log = createLog('entry-1', 'info', (line) => { writer.push(line); });
 */
export class LogWriter {
  private _lines: string[] = [];
  private _bufferedBytes = 0;
  private _lineTokens = MAX_BURST_LINES;
  private _refilledAtMs: number;
  private _droppedLines = 0;
  private _isWriting = false;
  private _timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _output: LogOutput,
    private readonly _now: () => number,
  ) {
    this._refilledAtMs = _now();
  }

  /** Number of lines dropped since the last log line that reported them. */
  public get dropped(): number {
    return this._droppedLines;
  }

  public push(line: string): void {
    this._refill();
    if (this._lineTokens < 1 || this._bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this._droppedLines += 1;
      return;
    }
    this._lineTokens -= 1;
    this._lines.push(line);
    this._bufferedBytes += line.length + 1;
    this._timer ??= setTimeout(() => {
      this._timer = undefined;
      this.flush();
    }, FLUSH_INTERVAL_MS);
  }

  /** Writes the buffered lines. During a write it does nothing; they are written when it ends. */
  public flush(): void {
    if (this._isWriting || this._lines.length === 0) {
      return;
    }
    if (this._droppedLines > 0) {
      this._lines.push(
        JSON.stringify({ level: 'warn', message: 'log lines dropped', lines: this._droppedLines }),
      );
      this._droppedLines = 0;
    }
    const text = `${this._lines.join('\n')}\n`;
    this._lines = [];
    this._isWriting = true;
    this._output(text, () => {
      // A failed write can't be reported anywhere and is ignored; later lines are still written.
      this._isWriting = false;
      this._bufferedBytes = this._lines.reduce((sum, line) => sum + line.length + 1, 0);
      this.flush();
    });
  }

  private _refill(): void {
    const now = this._now();
    const refilled = this._lineTokens + ((now - this._refilledAtMs) / 1_000) * MAX_LINES_PER_SECOND;
    this._lineTokens = Math.min(MAX_BURST_LINES, refilled);
    this._refilledAtMs = now;
  }
}
