import { describe, expect, it } from 'vitest';
import type { ILoadedSettings } from '../settings/Types.js';
import { computeStopTimeout } from './Process.js';

const ENTRY = { listen: '127.0.0.1:1', control: ['127.0.0.1:2'], policy: 'default' };
const SIDECAR = {};

describe('computeStopTimeout', () => {
  // Guards against the exit of a process while its entry still answers, after an uncaught exception.
  it.each([
    { entry: { ...ENTRY, drainTimeoutMs: 3_600_000 }, drainMs: 3_600_000 },
    { entry: { ...ENTRY, drainTimeoutMs: 600_000 }, drainMs: 600_000 },
    { entry: { ...ENTRY, drainTimeoutMs: 1_000 }, sidecar: SIDECAR, drainMs: 600_000 },
  ])('is longer than the drain of each role', ({ drainMs, ...roles }) => {
    expect(computeStopTimeout(roles as unknown as ILoadedSettings)).toBeGreaterThan(drainMs);
  });

  // Guards against an entry that goes on for minutes after an error because sidecars may.
  it('is near the end of the drain for an entry without a sidecar', () => {
    const settings = { entry: { ...ENTRY, drainTimeoutMs: 1_000 } } as unknown as ILoadedSettings;
    expect(computeStopTimeout(settings)).toBeLessThan(10_000);
  });
});
