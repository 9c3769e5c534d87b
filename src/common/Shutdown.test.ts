/** Guards against work that begins after the process has ended what was open. */
import { describe, expect, it } from 'vitest';
import { Shutdown } from './Shutdown.js';

describe('Shutdown', () => {
  // What decides by the end alone would begin requests that nobody ends.
  it('ends earlier than planned if it is told to', () => {
    const shutdown = new Shutdown();
    shutdown.begin(9_000, 1_000);
    shutdown.end(2_000);
    expect(shutdown.endsAt).toBe(2_000);
  });
});
