/**
 * Guards against prompt parts that crash one target after the other, also while an entry is cut off from the hub, and
 * against sound parts that stay under suspicion.
 */
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { hashText } from '../policy/TargetTable.js';
import {
  CrashQuarantine,
  type IJudgedRequest,
  type QuarantineStanding,
} from './CrashQuarantine.js';
import type { ICall } from './Types.js';

const CRASHING = 'd0';

/** A request of which the last part is its own. */
function buildRequest(...parts: string[]): IJudgedRequest {
  return buildRequestWithContent(parts.join(), ...parts);
}

function buildRequestWithContent(content: string, ...parts: string[]): IJudgedRequest {
  const call: ICall = {
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
    resumes: undefined,
    arrivedAt: 0,
    signal: new AbortController().signal,
    hashContent: () => hashText(content),
  };
  return { call, account: 'pag', route: 'assist' };
}

/** An entry on which a number of targets have crashed, each with another prompt that has the part that crashes targets. */
function createWithCrashes(count: number): CrashQuarantine {
  const quarantine = new CrashQuarantine();
  for (let crash = 1; crash <= count; crash += 1) {
    const call = buildRequest('f', CRASHING, `own${crash}`);
    quarantine.recordCrash(call, 1, buildTarget({ id: `i-${crash}` }), 0);
  }
  return quarantine;
}

function getKind(
  quarantine: CrashQuarantine,
  now: number,
  ...parts: string[]
): QuarantineStanding['kind'] {
  return quarantine.getStanding(buildRequest(...parts), now).kind;
}

describe('CrashQuarantine', () => {
  it('goes by its own reports while no hub is reachable, and names the part', () => {
    const quarantine = createWithCrashes(2);
    quarantine.recordSettled(buildRequest('f', 'b', 'own9'), 1);
    expect(quarantine.getStanding(buildRequest('f', CRASHING, 'own3'), 2)).toEqual({
      kind: 'quarantined',
      partIds: [CRASHING],
      isRepetition: false,
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
    const quarantine = new CrashQuarantine();
    const sound = buildRequest('f', 'b', 'own1');
    quarantine.recordSettled(sound, 0);
    quarantine.recordAnswered(sound, 0);
    expect(quarantine.isUnproven(sound, 1_000)).toBe(false);
    expect(quarantine.isUnproven(buildRequest('f', 'b', 'own2'), 1_000)).toBe(true);
    expect(quarantine.isUnproven(sound, 10_000)).toBe(true);
    quarantine.recordCrash(sound, 1, buildTarget({}), 1_000);
    quarantine.recordCrash(buildRequest('f', 'b', 'own2'), 1, buildTarget({}), 1_000);
    quarantine.recordCrash(buildRequest('f', CRASHING, 'own3'), 1, buildTarget({}), 1_000);
    const { crashes } = quarantine.listUnreported();
    expect(crashes.map(({ parts }) => parts.length)).toEqual([0, 0, 1]);
    expect(crashes.map(({ request }) => request !== 0)).toEqual([false, true, true]);
  });

  it('clears a suspect of the hub when a response with it settles, or settled shortly before', () => {
    const source = createWithCrashes(1);
    const parts = source.listUnreported().crashes[0]?.parts ?? [];
    const other = new CrashQuarantine();
    other.recordSettled(buildRequest('f', 'b', 'own7'), 0);
    other.applySuspects([{ parts, quarantined: false }], 100);
    expect(other.listUnreported().clearedParts).toHaveLength(1);
    expect(getKind(other, 100, 'f', 'b', 'own8')).toBe('clear');
    expect(getKind(other, 100, 'f', CRASHING, 'own8')).toBe('suspect');
    other.recordSettled(buildRequest('f', CRASHING, 'own8'), 200);
    expect(getKind(other, 200, 'f', CRASHING, 'own9')).toBe('clear');
    expect(other.listUnreported().clearedParts).toHaveLength(2);
  });

  it('goes by its own reports of a request that comes again, of the same client account only', () => {
    const quarantine = new CrashQuarantine();
    const request = buildRequest();
    for (const id of ['i-1', 'i-2', 'i-3']) {
      expect(quarantine.getStanding(request, 0).kind).not.toBe('quarantined');
      quarantine.recordCrash(request, Number(id.at(-1)), buildTarget({ id }), 0);
    }
    expect(quarantine.getStanding(request, 1)).toMatchObject({
      kind: 'quarantined',
      isRepetition: true,
    });
    expect(quarantine.getStanding({ ...request, account: 'hvar' }, 1).kind).toBe('clear');
    expect(quarantine.getStanding(buildRequest('other'), 1).kind).toBe('clear');
  });

  /** Hashes that all crashes of targets under different prompts with one content have in common. */
  function findCommonContent(content: string): readonly number[] {
    const source = new CrashQuarantine();
    source.recordCrash(buildRequestWithContent(content, 'own1'), 1, buildTarget({}), 0);
    return [source.listUnreported().crashes[0]?.content ?? 0];
  }

  // With its request cleared, a quarantine that a new hub restored would hold back the whole session of the prompt.
  it('clears the last part of the prompt of a request that was answered', () => {
    const source = new CrashQuarantine();
    const request = buildRequest('f', 'session1');
    source.recordCrash(request, 1, buildTarget({}), 0);
    const { request: hash, prompt } = source.listUnreported().crashes[0] ?? {};
    const quarantine = new CrashQuarantine();
    quarantine.setHubReachable(true);
    quarantine.applySuspects([{ parts: [hash ?? 0, prompt ?? 0], quarantined: true }], 0);
    quarantine.recordAnswered(request, 10);
    const next = buildRequestWithContent('next', 'f', 'session1');
    expect(quarantine.getStanding(next, 20).kind).toBe('clear');
  });

  // Three crashes of targets that had chats of an account in progress made all its chats be refused.
  it('does not refuse other prompts of a content that was answered within the last minutes', () => {
    const quarantine = new CrashQuarantine();
    quarantine.recordAnswered(buildRequestWithContent('/chat', 'sound'), 0);
    const again = buildRequestWithContent('/chat', 'own');
    for (const id of ['i-1', 'i-2', 'i-3']) {
      quarantine.recordCrash(again, Number(id.at(-1)), buildTarget({ id }), 300_000);
    }
    expect(quarantine.getStanding(again, 300_001).kind).toBe('quarantined');
    const other = buildRequestWithContent('/chat', 'own2');
    expect(quarantine.getStanding(other, 300_001).kind).toBe('clear');
  });

  it('refuses a content that broke three times with different prompts and was never answered', () => {
    const quarantine = new CrashQuarantine();
    for (const id of ['i-1', 'i-2', 'i-3']) {
      const request = buildRequestWithContent('/deadly', `own-${id}`);
      expect(quarantine.getStanding(request, 0).kind).not.toBe('quarantined');
      quarantine.recordCrash(request, 1, buildTarget({ id }), 0);
    }
    const next = buildRequestWithContent('/deadly', 'own9');
    expect(quarantine.getStanding(next, 1).kind).toBe('quarantined');
    expect(quarantine.getStanding({ ...next, account: 'hvar' }, 1).kind).toBe('clear');
  });

  // A process that has just started has answered nothing; the hub must hear of it from the others.
  it('clears a content at the hub that was answered here within the last minutes', () => {
    const quarantine = new CrashQuarantine();
    const content = findCommonContent('/chat');
    quarantine.recordAnswered(buildRequestWithContent('/chat', 'sound'), 0);
    quarantine.applySuspects([{ parts: content, quarantined: true }], 300_000);
    expect(quarantine.listUnreported().clearedParts).toEqual(content);
    quarantine.applySuspects([{ parts: content, quarantined: true }], 700_000);
    const next = buildRequestWithContent('/chat', 'own9');
    expect(quarantine.getStanding(next, 700_000).kind).toBe('quarantined');
  });

  it('clears a request of the hub that was answered here, also shortly before', () => {
    const source = new CrashQuarantine();
    const request = buildRequest();
    source.recordCrash(request, 1, buildTarget({}), 0);
    const parts = [source.listUnreported().crashes[0]?.request ?? 0];
    const other = new CrashQuarantine();
    other.recordAnswered(request, 0);
    other.applySuspects([{ parts, quarantined: true }], 100);
    expect(other.getStanding(request, 100).kind).toBe('clear');
    expect(other.listUnreported().clearedParts).toEqual(parts);
  });

  // While all targets are down no response settles, so that a part that all prompts of a route have is blamed for every crash.
  it('holds back nothing that most requests of a route have', () => {
    const quarantine = new CrashQuarantine();
    const common = createWithCrashes(1).listUnreported().crashes[0]?.parts[0] ?? 0;
    quarantine.setHubReachable(true);
    quarantine.applySuspects([{ parts: [common], quarantined: true }], 0);
    const kinds = Array.from({ length: 40 }, (_, i) => getKind(quarantine, i, 'f', 'b', `own${i}`));
    expect(kinds.slice(0, 10)).not.toContain('suspect');
    expect(kinds.slice(-10)).not.toContain('quarantined');
    quarantine.recordSettled(buildRequest('f', 'b', 'own40'), 50);
    expect(getKind(quarantine, 50, 'f', 'b', 'own41')).toBe('clear');
    expect(quarantine.listUnreported().clearedParts).toEqual([common]);
  });

  // The first requests after a quarantine began were refused, as only requests since then counted.
  it('holds back nothing that most requests of a route had before the crash', () => {
    const quarantine = createWithCrashes(0);
    const common = createWithCrashes(1).listUnreported().crashes[0]?.parts[0] ?? 0;
    quarantine.setHubReachable(true);
    for (let i = 0; i < 40; i += 1) {
      expect(getKind(quarantine, i, 'f', 'b', `own${i}`)).toBe('clear');
    }
    quarantine.applySuspects([{ parts: [common], quarantined: true }], 50);
    expect(getKind(quarantine, 51, 'f', 'b', 'own40')).toBe('clear');
    // A process that has just started does not know it: the hub must hear of it.
    expect(quarantine.listUnreported().clearedParts).toEqual([common]);
  });

  it('holds back a request that comes again and again, also if its route has no other', () => {
    const quarantine = new CrashQuarantine();
    const request = buildRequest('f', 'own1');
    quarantine.recordCrash(request, 1, buildTarget({}), 0);
    const parts = [quarantine.listUnreported().crashes[0]?.request ?? 0];
    quarantine.setHubReachable(true);
    quarantine.applySuspects([{ parts, quarantined: true }], 0);
    for (let i = 0; i < 60; i += 1) {
      const again = { ...request, call: { ...request.call, id: `again${i}` } };
      expect(quarantine.getStanding(again, i).kind).toBe('quarantined');
    }
  });

  it('holds back a part that a fifth of the requests of a route have', () => {
    const quarantine = new CrashQuarantine();
    const crashing = createWithCrashes(1).listUnreported().crashes[0]?.parts[1] ?? 0;
    quarantine.setHubReachable(true);
    quarantine.applySuspects([{ parts: [crashing], quarantined: true }], 0);
    for (let i = 0; i < 100; i += 1) {
      const isCrashing = i % 5 === 0;
      const kind = getKind(quarantine, i, 'f', isCrashing ? CRASHING : 'b', `own${i}`);
      expect(kind).toBe(isCrashing ? 'quarantined' : 'clear');
    }
  });

  // Where all requests with a part are refused, no response can show that it is sound.
  it('lets one request with a quarantined part through within a minute', () => {
    const quarantine = new CrashQuarantine();
    const part = createWithCrashes(1).listUnreported().crashes[0]?.parts[1] ?? 0;
    quarantine.setHubReachable(true);
    quarantine.applySuspects([{ parts: [part], quarantined: true }], 0);
    const kinds = Array.from({ length: 60 }, (_, second) => {
      getKind(quarantine, second * 1_000, 'f', 'b', `other${second}`);
      return getKind(quarantine, second * 1_000, 'f', CRASHING, `own${second}`);
    });
    expect(kinds).toContain('suspect');
  });

  it('forgets its own suspicion, also for a new hub, once the hub has cleared the part', () => {
    const quarantine = createWithCrashes(1);
    quarantine.removeReported(quarantine.listUnreported());
    quarantine.applySuspects([], 10);
    expect(getKind(quarantine, 10, 'f', CRASHING, 'own2')).toBe('clear');
    quarantine.repeatReports();
    expect(quarantine.listUnreported().crashes.flatMap(({ parts }) => parts)).toEqual([]);
  });
});
