/** Guards against a slow reader of the log blocking the process, and against unbounded log volume. */
import { describe, expect, it } from 'vitest';
import { LogWriter } from './LogWriter.js';

class FakeOutput {
  public readonly texts: string[] = [];
  public completeWrite: ((error: Error | null) => void) | undefined;

  public write(text: string, done: (error: Error | null) => void): void {
    this.texts.push(text);
    this.completeWrite = done;
  }
}

function createWriter(output: FakeOutput, now: () => number = () => 0): LogWriter {
  return new LogWriter((text, done) => {
    output.write(text, done);
  }, now);
}

describe('LogWriter', () => {
  it('writes buffered lines in order, one write at a time', () => {
    const output = new FakeOutput();
    const writer = createWriter(output);
    writer.push('a');
    writer.push('b');
    writer.flush();
    writer.push('c');
    writer.flush();
    expect(output.texts).toEqual(['a\nb\n']);
    output.completeWrite?.(null);
    expect(output.texts).toEqual(['a\nb\n', 'c\n']);
  });

  it('limits the buffered bytes while a write is in progress, and reports how many lines were dropped', () => {
    const output = new FakeOutput();
    let now = 0;
    const writer = createWriter(output, () => now);
    writer.push('first');
    writer.flush();
    for (let i = 0; i < 10_000; i += 1) {
      now += 1;
      writer.push('x'.repeat(500));
    }
    expect(writer.dropped).toBeGreaterThan(9_000);
    output.completeWrite?.(null);
    expect(output.texts.join('').length).toBeLessThan(300 * 1024);
    expect(output.texts.at(-1)).toContain('log lines dropped');
  });

  it('limits the number of lines in a burst', () => {
    const output = new FakeOutput();
    const writer = createWriter(output);
    for (let i = 0; i < 5_000; i += 1) {
      writer.push('x');
    }
    writer.flush();
    expect(output.texts[0]?.split('\n').length).toBeLessThan(700);
  });

  it('writes further lines after a failed write', () => {
    const output = new FakeOutput();
    const writer = createWriter(output);
    writer.push('a');
    writer.flush();
    output.completeWrite?.(new Error('EPIPE'));
    writer.push('b');
    writer.flush();
    expect(output.texts).toEqual(['a\n', 'b\n']);
  });
});
