/**
 * Guards against a prompt part that crashes one target after the other, and against sound parts that are refused because
 * they were at the same targets.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CrashEvidence } from './CrashEvidence.js';

const CRASHING = 666;
const SUBJECT = 5;

/** Adds one crash of a target of its own with the parts of each request that broke, and the request itself last. */
function addCrash(evidence: CrashEvidence, number: number, requests: readonly number[][]): void {
  requests.forEach((parts, i) => {
    evidence.add(
      {
        attempt: number * 100 + i,
        target: `i-${number}`,
        born: number,
        parts: parts.slice(0, -1),
        request: parts.at(-1) ?? 0,
        prompt: 0,
        content: 0,
      },
      number * 1_000,
    );
  });
}

function listQuarantined(evidence: CrashEvidence, now = 10_000): (readonly number[])[] {
  return evidence
    .list(now)
    .filter(({ quarantined }) => quarantined)
    .map(({ parts }) => parts);
}

describe('CrashEvidence', () => {
  it('refuses nothing but a repetition of the same prompt after two crashes by one request', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[SUBJECT, CRASHING, 1]]);
    expect(listQuarantined(evidence)).toEqual([]);
    addCrash(evidence, 2, [[SUBJECT, CRASHING, 1]]);
    expect(listQuarantined(evidence)).toEqual([[SUBJECT, CRASHING, 1]]);
  });

  it('finds the part that different requests have in common', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[SUBJECT, CRASHING, 1]]);
    addCrash(evidence, 2, [[SUBJECT, CRASHING, 1]]);
    addCrash(evidence, 3, [[7, CRASHING, 2]]);
    expect(listQuarantined(evidence)).toEqual([[CRASHING]]);
  });

  it('refuses a request without shared parts that crashed two targets alone, or three with others', () => {
    const alone = new CrashEvidence();
    addCrash(alone, 1, [[1]]);
    expect(listQuarantined(alone)).toEqual([]);
    addCrash(alone, 2, [[1]]);
    expect(listQuarantined(alone)).toEqual([[1]]);
    const crowded = new CrashEvidence();
    for (const crash of [1, 2, 3]) {
      addCrash(crowded, crash, [[1], [crash + 10], [crash + 20], [crash + 30]]);
      expect(listQuarantined(crowded)).toEqual(crash < 3 ? [] : [[1]]);
    }
  });

  // Both repetitions may reach the same target through two processes.
  it('divides no blame among repetitions of one request that broke with the same target', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[1], [1]]);
    addCrash(evidence, 2, [[1], [22]]);
    expect(listQuarantined(evidence)).toEqual([[1]]);
  });

  // Lookups of one client account may all be alike; the more of them break, the less each says.
  it('does not take a sound request for the cause because many like it broke with the one that is', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[1], [7], [7], [7]]);
    addCrash(evidence, 2, [[1], [7], [7], [7]]);
    expect(listQuarantined(evidence)).toEqual([]);
    addCrash(evidence, 3, [[1], [33]]);
    expect(listQuarantined(evidence)).toEqual([[1]]);
  });

  // Alone with its own reports, a process takes a sound request that many send for the only one that broke.
  it('refuses a request after three crashes if the reports of other processes are missing', () => {
    const evidence = new CrashEvidence(false);
    for (const crash of [1, 2, 3]) {
      addCrash(evidence, crash, [[1]]);
      expect(listQuarantined(evidence)).toEqual(crash < 3 ? [] : [[1]]);
    }
  });

  it('refuses only repetitions of a request with unproven parts, also without the other reports', () => {
    const evidence = new CrashEvidence(false);
    addCrash(evidence, 1, [[SUBJECT, CRASHING, 1]]);
    addCrash(evidence, 2, [[SUBJECT, CRASHING, 1]]);
    expect(listQuarantined(evidence)).toEqual([[SUBJECT, CRASHING, 1]]);
  });

  // Without a body, the chats of a client account differ in their prompts only.
  it('does not refuse another prompt of the same content after two crashes under one request', () => {
    const evidence = new CrashEvidence(false);
    const broken = { born: 1, parts: [SUBJECT], request: 1, prompt: 11, content: 0 };
    evidence.add({ ...broken, attempt: 1, target: 'i-1' }, 0);
    evidence.add({ ...broken, attempt: 2, target: 'i-2' }, 0);
    expect(listQuarantined(evidence)).toEqual([[SUBJECT, 1, 11]]);
  });

  // Chats of a client account may have one content and differ in their prompts only.
  it('blames a content that different prompts have with the third crash only', () => {
    for (const hasAllReports of [true, false]) {
      const evidence = new CrashEvidence(hasAllReports);
      for (const crash of [1, 2, 3]) {
        expect(listQuarantined(evidence)).toEqual([]);
        const broken = { target: `i-${crash}`, born: 1, request: 20 + crash, prompt: 30 + crash };
        evidence.add({ ...broken, attempt: crash, parts: [], content: SUBJECT }, 0);
      }
      expect(listQuarantined(evidence)).toEqual([[SUBJECT]]);
      evidence.clear([SUBJECT]);
      expect(listQuarantined(evidence)).toEqual([]);
    }
  });

  it('does not refuse a sound request that came again at a target that crashes by another one', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[1], [11]]);
    addCrash(evidence, 2, [[1], [2]]);
    addCrash(evidence, 3, [[1], [2]]);
    addCrash(evidence, 4, [[1], [2]]);
    expect(listQuarantined(evidence)).toEqual([[1]]);
  });

  it('tells all processes of requests only if they broke more than once', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[1], [11], [12]]);
    expect(evidence.list(10_000)).toEqual([]);
    addCrash(evidence, 2, [[1], [21], [22]]);
    expect(evidence.list(10_000)).toEqual([{ parts: [1], quarantined: false }]);
    evidence.clear([1]);
    expect(evidence.list(10_000)).toEqual([]);
  });

  it('does not blame a part of which a response has settled since', () => {
    const evidence = new CrashEvidence();
    for (let crash = 1; crash <= 3; crash += 1) {
      addCrash(evidence, crash, [[SUBJECT, crash]]);
      evidence.clear([SUBJECT]);
    }
    expect(listQuarantined(evidence)).toEqual([]);
    expect(evidence.list(10_000).flatMap(({ parts }) => parts)).not.toContain(SUBJECT);
  });

  it('divides the blame for a crash only among requests of which no part is cleared', () => {
    const evidence = new CrashEvidence();
    for (const crash of [1, 2]) {
      addCrash(evidence, crash, [
        [CRASHING, crash],
        [20, 30 + crash],
        [21, 40 + crash],
      ]);
    }
    expect(listQuarantined(evidence)).toEqual([]);
    evidence.clear([20, 21]);
    expect(listQuarantined(evidence)).toEqual([[CRASHING]]);
  });

  it('counts several requests that break with one target as one crash', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [
      [SUBJECT, 1],
      [SUBJECT, 2],
      [SUBJECT, 3],
    ]);
    expect(listQuarantined(evidence)).toEqual([]);
  });

  it('counts a report that is sent twice once', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[SUBJECT, 1]]);
    const { revision } = evidence;
    addCrash(evidence, 1, [[SUBJECT, 1]]);
    expect(evidence.revision).toBe(revision);
  });

  it('keeps a quarantine when unrelated targets crash in large numbers', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[CRASHING, 1]]);
    addCrash(evidence, 2, [[CRASHING, 2]]);
    for (let crash = 3; crash < 300; crash += 1) {
      addCrash(evidence, crash, [[crash, 1_000 + crash]]);
    }
    expect(listQuarantined(evidence, 300_000)).toEqual([[CRASHING]]);
    expect(evidence.crashCount).toBeLessThanOrEqual(64);
  });

  it('ends a quarantine ten minutes after the last crash', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[CRASHING, 1]]);
    addCrash(evidence, 2, [[CRASHING, 2]]);
    expect(listQuarantined(evidence, 599_000)).toEqual([[CRASHING]]);
    expect(listQuarantined(evidence, 603_000)).toEqual([]);
  });

  // On a long day two crashes after each ten minutes would add up.
  it('renews a quarantine for four times as long with the first crash after its end', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[1]]);
    addCrash(evidence, 2, [[1]]);
    expect(listQuarantined(evidence, 700_000)).toEqual([]);
    addCrash(evidence, 800, [[1], [8]]);
    expect(listQuarantined(evidence, 800_000)).toEqual([[1]]);
    expect(listQuarantined(evidence, 3_100_000)).toEqual([[1]]);
    expect(listQuarantined(evidence, 3_300_000)).toEqual([]);
    evidence.clear([1]);
    addCrash(evidence, 4_000, [[1], [9]]);
    expect(listQuarantined(evidence, 4_000_000)).toEqual([]);
  });

  it('renews a quarantine also if its crashes ended one after the other', () => {
    const evidence = new CrashEvidence();
    addCrash(evidence, 1, [[1]]);
    addCrash(evidence, 400, [[1]]);
    expect(listQuarantined(evidence, 700_000)).toEqual([]);
    addCrash(evidence, 1_100, [[1], [8]]);
    expect(listQuarantined(evidence, 1_100_000)).toEqual([[1]]);
  });

  it('lists a quarantine once that it restored and then found again', () => {
    const evidence = new CrashEvidence();
    const suspects = [{ parts: [1], quarantined: true }];
    evidence.restore([...suspects, ...suspects], 0);
    addCrash(evidence, 1, [[1]]);
    addCrash(evidence, 2, [[1]]);
    expect(listQuarantined(evidence)).toEqual([[1]]);
  });

  it('restores a quarantine at a new hub until one of its parts is cleared', () => {
    const evidence = new CrashEvidence();
    evidence.restore([{ parts: [CRASHING], quarantined: true }], 0);
    expect(listQuarantined(evidence)).toEqual([[CRASHING]]);
    evidence.clear([CRASHING]);
    expect(listQuarantined(evidence)).toEqual([]);
  });

  // The users' bound is five crashes; sound requests that break with it share all its other parts.
  it('finds the part within five crashes and never refuses sound requests', () => {
    const neighbours = fc.array(fc.integer({ min: 10, max: 40 }), { maxLength: 4 });
    fc.assert(
      fc.property(fc.array(neighbours, { minLength: 5, maxLength: 5 }), (crashes) => {
        const evidence = new CrashEvidence();
        crashes.forEach((subjects, i) => {
          // Without neighbours nothing clears the other parts, so no two crashes may share one.
          const crashingSubject = subjects[0] ?? 50 + i;
          addCrash(evidence, i + 1, [
            [crashingSubject, CRASHING, 1_000 + i],
            ...subjects.map((subject, j) => [subject, 2_000 + i * 10 + j]),
          ]);
          // The neighbours come back and settle.
          evidence.clear(subjects);
        });
        const quarantined = listQuarantined(evidence);
        expect(quarantined).toContainEqual([CRASHING]);
        for (const parts of quarantined) {
          expect(parts.every((part) => part === CRASHING || part >= 1_000)).toBe(true);
        }
      }),
      { examples: [[[[], [], [], [], []]]] },
    );
  });
});
