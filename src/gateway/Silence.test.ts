/** Load pattern: machines of engines go dark while connections to them stay open. */
import { describe, expect, it } from 'vitest';
import { isSilent } from './Silence.js';

const VIEW = { sentAt: 1_000, expectedMs: 100, lastByteAt: undefined, aliveAt: 900 };

describe('isSilent', () => {
  it('suspects a target that answers nobody', () => {
    expect(isSilent(VIEW, 1_900)).toBe(false);
    expect(isSilent(VIEW, 2_100)).toBe(true);
  });

  it('waits for a busy target that answers others', () => {
    expect(isSilent({ ...VIEW, aliveAt: 2_400 }, 2_500)).toBe(false);
  });

  it('gives a long prompt its time', () => {
    expect(isSilent({ ...VIEW, expectedMs: 800 }, 4_000)).toBe(false);
    expect(isSilent({ ...VIEW, expectedMs: 800 }, 4_200)).toBe(true);
  });

  it('suspects a stream that stops midway, but not one that pauses', () => {
    const streaming = { ...VIEW, lastByteAt: 2_000, aliveAt: 2_000 };
    expect(isSilent(streaming, 2_900)).toBe(false);
    expect(isSilent(streaming, 3_100)).toBe(true);
  });
});
