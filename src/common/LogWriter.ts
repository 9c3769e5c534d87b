/**
 * Writes log lines without ever holding up the process. Writing to a pipe blocks in Node, so lines are
 * collected and handed to a thread; what exceeds the limits is dropped and counted.
 */

/** Lines are collected for this long. */
const FLUSH_MS = 50;

/** Lines a second, and lines in a burst. Ten entries of a busy site write about 20 a second each. */
const LINES_PER_SECOND = 300;
const BURST_LINES = 600;

/** Bytes that wait while the reader of the log does not take them. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Writes text and calls back when it is written. */
export type LogOutput = (text: string, done: (error: Error | null) => void) => void;

/**
 * Bounded buffer in front of the log output.
 *
 * @example
 * const writer = new LogWriter((text, done) => { write(1, text, done); }, () => performance.now());
 * const log = createLog('entry-1', 'info', (line) => { writer.push(line); });
 */
export class LogWriter {
  private _lines: string[] = [];
  private _bytes = 0;
  private _allowed = BURST_LINES;
  private _refilledAt: number;
  private _dropped = 0;
  private _isWriting = false;
  private _timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _output: LogOutput,
    private readonly _now: () => number,
  ) {
    this._refilledAt = _now();
  }

  /** Lines that were dropped since the last note about them. */
  public get dropped(): number {
    return this._dropped;
  }

  public push(line: string): void {
    this._refill();
    if (this._allowed < 1 || this._bytes + line.length > MAX_WAITING_BYTES) {
      this._dropped += 1;
      return;
    }
    this._allowed -= 1;
    this._lines.push(line);
    this._bytes += line.length + 1;
    this._timer ??= setTimeout(() => {
      this._timer = undefined;
      this.flush();
    }, FLUSH_MS);
  }

  /** Writes what is collected; while a write is under way, the rest waits for its end. */
  public flush(): void {
    if (this._isWriting || this._lines.length === 0) {
      return;
    }
    if (this._dropped > 0) {
      this._lines.push(
        JSON.stringify({ level: 'warn', message: 'log lines dropped', lines: this._dropped }),
      );
      this._dropped = 0;
    }
    const text = `${this._lines.join('\n')}\n`;
    this._lines = [];
    this._isWriting = true;
    this._output(text, () => {
      // An output that fails has nobody to tell; the next lines are tried again.
      this._isWriting = false;
      this._bytes = this._lines.reduce((sum, line) => sum + line.length + 1, 0);
      this.flush();
    });
  }

  private _refill(): void {
    const now = this._now();
    const refilled = this._allowed + ((now - this._refilledAt) / 1_000) * LINES_PER_SECOND;
    this._allowed = Math.min(BURST_LINES, refilled);
    this._refilledAt = now;
  }
}
