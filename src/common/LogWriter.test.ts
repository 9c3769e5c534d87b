/** Guards against logs that hold the process up, and against volume without bound. */
import { describe, expect, it } from 'vitest';
import { LogWriter } from './LogWriter.js';

class Output {
  public readonly texts: string[] = [];
  public done: ((error: Error | null) => void) | undefined;

  public write(text: string, done: (error: Error | null) => void): void {
    this.texts.push(text);
    this.done = done;
  }
}

function createWriter(output: Output, now: () => number = () => 0): LogWriter {
  return new LogWriter((text, done) => {
    output.write(text, done);
  }, now);
}

describe('LogWriter', () => {
  it('writes collected lines in order, one write at a time', () => {
    const output = new Output();
    const writer = createWriter(output);
    writer.push('a');
    writer.push('b');
    writer.flush();
    writer.push('c');
    writer.flush();
    expect(output.texts).toEqual(['a\nb\n']);
    output.done?.(null);
    expect(output.texts).toEqual(['a\nb\n', 'c\n']);
  });

  it('keeps a bounded number of lines while the reader takes none, and tells how many were dropped', () => {
    const output = new Output();
    let now = 0;
    const writer = createWriter(output, () => now);
    writer.push('first');
    writer.flush();
    for (let i = 0; i < 10_000; i += 1) {
      now += 1;
      writer.push('x'.repeat(500));
    }
    expect(writer.dropped).toBeGreaterThan(9_000);
    output.done?.(null);
    expect(output.texts.join('').length).toBeLessThan(300 * 1024);
    expect(output.texts.at(-1)).toContain('log lines dropped');
  });

  it('bounds the lines a second', () => {
    const output = new Output();
    const writer = createWriter(output);
    for (let i = 0; i < 5_000; i += 1) {
      writer.push('x');
    }
    writer.flush();
    expect(output.texts[0]?.split('\n').length).toBeLessThan(700);
  });

  it('goes on after a write that failed', () => {
    const output = new Output();
    const writer = createWriter(output);
    writer.push('a');
    writer.flush();
    output.done?.(new Error('EPIPE'));
    writer.push('b');
    writer.flush();
    expect(output.texts).toEqual(['a\n', 'b\n']);
  });
});
