/**
 * Guards against prompt parts that crash one target after the other, also while an entry is cut off from the hub, and
 * against sound parts that stay under suspicion.
 */
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { PromptQuarantine, type PromptStanding } from './PromptQuarantine.js';
import type { ICall } from './Types.js';

const CRASHING = 'd0';

function buildCall(...parts: string[]): ICall {
  return {
    id: parts.join(),
    method: 'POST',
    host: 'desk.example',
    path: '/assist/7',
    key: undefined,
    deadlineMs: undefined,
    model: 'm',
    promptTokens: undefined,
    outputTokens: undefined,
    lengthHint: undefined,
    parts: parts.map((id) => ({ id, tokens: 10 })),
    resumeAfter: undefined,
    arrivedAt: 0,
    signal: new AbortController().signal,
    hashContent: () => 1,
  };
}

/** An entry on which a number of targets have crashed, each with another prompt that has the part that crashes targets. */
function createWithCrashes(count: number): PromptQuarantine {
  const quarantine = new PromptQuarantine();
  for (let crash = 1; crash <= count; crash += 1) {
    const call = buildCall('f', CRASHING, `own${crash}`);
    quarantine.recordCrash(call, 1, buildTarget({ id: `i-${crash}` }), 0);
  }
  return quarantine;
}

function getKind(
  quarantine: PromptQuarantine,
  now: number,
  ...parts: string[]
): PromptStanding['kind'] {
  return quarantine.getStanding(buildCall(...parts), now).kind;
}

describe('PromptQuarantine', () => {
  it('goes by its own reports while no hub is reachable, and names the part', () => {
    const quarantine = createWithCrashes(2);
    quarantine.recordSettled(buildCall('f', 'b', 'own9'), 1);
    expect(quarantine.getStanding(buildCall('f', CRASHING, 'own3'), 2)).toEqual({
      kind: 'quarantined',
      partIds: [CRASHING],
    });
    expect(getKind(quarantine, 2, 'f', 'b', 'own4')).toBe('clear');
  });

  it('leaves the decision to the hub while that is reachable', () => {
    const quarantine = createWithCrashes(2);
    quarantine.setHubReachable(true);
    expect(getKind(quarantine, 1_000, 'f', CRASHING, 'own3')).toBe('suspect');
    quarantine.setHubReachable(false);
    expect(getKind(quarantine, 1_000, 'f', CRASHING, 'own3')).toBe('quarantined');
  });

  it('reports a crash until a hub has received it, and again to a new hub', () => {
    const quarantine = createWithCrashes(1);
    const report = quarantine.listUnreported();
    expect(report.crashes).toHaveLength(1);
    quarantine.removeReported(report);
    expect(quarantine.listUnreported().crashes).toEqual([]);
    quarantine.repeatReports();
    expect(quarantine.listUnreported().crashes).toHaveLength(1);
  });

  it('does not report parts with which responses have settled lately', () => {
    const quarantine = new PromptQuarantine();
    quarantine.recordSettled(buildCall('f', 'b', 'own1'), 0);
    expect(quarantine.hasUnprovenPart(buildCall('f', 'b', 'own2'), 1_000)).toBe(false);
    expect(quarantine.hasUnprovenPart(buildCall('f', CRASHING, 'own2'), 1_000)).toBe(true);
    expect(quarantine.hasUnprovenPart(buildCall('f', 'b', 'own2'), 10_000)).toBe(true);
    quarantine.recordCrash(buildCall('f', CRASHING, 'own3'), 1, buildTarget({}), 1_000);
    expect(quarantine.listUnreported().crashes[0]?.parts).toHaveLength(1);
  });

  it('clears a suspect of the hub when a response with it settles, or settled shortly before', () => {
    const source = createWithCrashes(1);
    const parts = source.listUnreported().crashes[0]?.parts ?? [];
    const other = new PromptQuarantine();
    other.recordSettled(buildCall('f', 'b', 'own7'), 0);
    other.applySuspects([{ parts, quarantined: false }], 100);
    expect(other.listUnreported().clearedParts).toHaveLength(1);
    expect(getKind(other, 100, 'f', 'b', 'own8')).toBe('clear');
    expect(getKind(other, 100, 'f', CRASHING, 'own8')).toBe('suspect');
    other.recordSettled(buildCall('f', CRASHING, 'own8'), 200);
    expect(getKind(other, 200, 'f', CRASHING, 'own9')).toBe('clear');
    expect(other.listUnreported().clearedParts).toHaveLength(2);
  });

  it('forgets its own suspicion, also for a new hub, once the hub has cleared the part', () => {
    const quarantine = createWithCrashes(1);
    quarantine.removeReported(quarantine.listUnreported());
    quarantine.applySuspects([], 10);
    expect(getKind(quarantine, 10, 'f', CRASHING, 'own2')).toBe('clear');
    quarantine.repeatReports();
    expect(quarantine.listUnreported().crashes).toEqual([]);
  });
});
