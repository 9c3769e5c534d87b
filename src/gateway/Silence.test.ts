/**
 * Load pattern: engine hosts lose power or network while connections to them stay open. Guards against
 * requests that wait for such a host until their deadline, and against failover from a busy one.
 */
import { describe, expect, it } from 'vitest';
import { isSilent } from './Silence.js';

const VIEW = { sentAt: 1_000, expectedMs: 100, lastByteAt: undefined, lastActivityAt: 900 };

describe('isSilent', () => {
  it('detects a target that sends nothing for any request', () => {
    expect(isSilent(VIEW, 1_900)).toBe(false);
    expect(isSilent(VIEW, 2_100)).toBe(true);
  });

  it('waits for a busy target that still sends bytes for other requests', () => {
    expect(isSilent({ ...VIEW, lastActivityAt: 2_400 }, 2_500)).toBe(false);
  });

  it('waits longer when a later first byte is expected, as for a long prompt', () => {
    expect(isSilent({ ...VIEW, expectedMs: 800 }, 4_000)).toBe(false);
    expect(isSilent({ ...VIEW, expectedMs: 800 }, 4_200)).toBe(true);
  });

  it('detects a stalled stream, but not a short pause', () => {
    const streaming = { ...VIEW, lastByteAt: 2_000, lastActivityAt: 2_000 };
    expect(isSilent(streaming, 2_900)).toBe(false);
    expect(isSilent(streaming, 3_100)).toBe(true);
  });
});
