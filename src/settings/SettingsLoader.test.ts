import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { loadSettings } from './SettingsLoader.js';
import type { ILoadedSettings, SettingsFailure } from './Types.js';

let folder = '';

const BASE = {
  instance: 'entry-1',
  region: 'dar-coast',
  dataCentre: 'dc-1',
  internal: '10.0.0.1:7001',
  clusterSecretFile: 'secret',
};
const ENTRY = { listen: '10.0.0.1:8080', control: ['10.0.0.1:7001', '10.0.0.2:7001'] };
const CONTROL = { memberId: 'm1', dataFolder: 'data' };
const TARGET = { id: 't1', service: 'assessor', kind: 'engine', address: '10.0.0.9:9000' };
const SIDECAR = { announceTo: ['10.0.0.1:7001'], target: { ...TARGET, model: 'large' } };

async function loadText(text: string): Promise<ILoadedSettings | SettingsFailure> {
  const file = join(folder, 'settings.json');
  writeFileSync(file, text);
  return (await loadSettings(file)).val;
}

async function loadFailure(settings: unknown): Promise<SettingsFailure> {
  const loaded = await loadText(JSON.stringify(settings, undefined, 2));
  expect(loaded).toHaveProperty('problems');
  return loaded as SettingsFailure;
}

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'rww-settings-'));
  writeFileSync(join(folder, 'secret'), 'sixteen-characters-or-more\n');
  writeFileSync(join(folder, 'short'), 'short\n');
});

afterAll(() => {
  rmSync(folder, { recursive: true });
});

describe('loadSettings', () => {
  it('applies defaults and resolves paths, so that the working folder does not matter', async () => {
    const loaded = await loadText(JSON.stringify({ ...BASE, entry: ENTRY, control: CONTROL }));
    expect(loaded).toMatchObject({
      logLevel: 'info',
      clusterSecret: 'sixteen-characters-or-more',
      clusterSecretFile: join(folder, 'secret'),
      // Without "feed" an entry copies the configuration from the other control members.
      feed: ['10.0.0.2:7001'],
      entry: { policy: 'default', drainTimeoutMs: 600_000 },
      control: { dataFolder: join(folder, 'data'), peers: [] },
    });
  });

  it('reports line and column of the first syntax error', async () => {
    const failure = (await loadText('{\n  "instance": "a",\n  "region" "b"\n}')) as SettingsFailure;
    expect(failure.kind).toBe('not_json');
    expect(failure.problems[0]).toMatchObject({ line: 3, column: 12 });
  });

  it('reports pointer and line of an invalid value', async () => {
    const failure = await loadFailure({ ...BASE, entry: { ...ENTRY, polcy: 'default' } });
    expect(failure.kind).toBe('invalid');
    expect(failure.problems[0]).toMatchObject({ pointer: '/entry/polcy', line: 13 });
    expect(failure.message).toContain('known here: listen, control, policy');
  });

  it.each([
    ['no role', BASE, ''],
    ['wildcard internal', { ...BASE, internal: '0.0.0.0:7001', control: CONTROL }, '/internal'],
    ['number above 255', { ...BASE, internal: '10.0.0.256:7001', control: CONTROL }, '/internal'],
    ['port zero', { ...BASE, internal: '10.0.0.1:0', control: CONTROL }, '/internal'],
    ['sidecar without feed', { ...BASE, sidecar: SIDECAR }, ''],
    [
      'feed from the process itself',
      { ...BASE, feed: [BASE.internal], control: CONTROL },
      '/feed/0',
    ],
    [
      'one port for callers and internal calls',
      { ...BASE, entry: { ...ENTRY, listen: BASE.internal } },
      '/entry/listen',
    ],
    [
      'control list with only this process, which lacks the role',
      { ...BASE, entry: { ...ENTRY, control: [BASE.internal] } },
      '/entry/control',
    ],
    [
      'engine without model',
      { ...BASE, feed: ['10.0.0.2:7001'], sidecar: { ...SIDECAR, target: TARGET } },
      '/sidecar/target',
    ],
    [
      'plain service with model',
      {
        ...BASE,
        feed: ['10.0.0.2:7001'],
        sidecar: { ...SIDECAR, target: { ...TARGET, kind: 'plain', model: 'large' } },
      },
      '/sidecar/target/model',
    ],
  ])('refuses %s, which the schema does not detect', async (_name, settings, pointer) => {
    const failure = await loadFailure(settings);
    expect(failure.kind).toBe('inconsistent');
    expect(failure.problems.map((problem) => problem.pointer)).toContain(pointer);
  });

  it('refuses a short or missing cluster secret, so that no process starts without one', async () => {
    for (const clusterSecretFile of ['short', 'missing', '.']) {
      const failure = await loadFailure({ ...BASE, clusterSecretFile, control: CONTROL });
      expect(failure.kind).toBe('bad_secret');
      expect(failure.message).not.toContain('short\n');
    }
  });

  it('returns "unreadable" for a missing file, a folder or an invalid path', async () => {
    for (const file of [join(folder, 'none.json'), folder, 'a\0b']) {
      expect((await loadSettings(file)).val).toMatchObject({ kind: 'unreadable' });
    }
  });

  it('never throws on arbitrary JSON, so that an invalid file is always explained', async () => {
    await fc.assert(
      fc.asyncProperty(fc.jsonValue({ maxDepth: 5 }), async (value) => {
        const failure = await loadFailure(value);
        expect(failure.problems.length).toBeGreaterThan(0);
      }),
      { numRuns: 200 },
    );
  });

  it('never throws on truncated text, so that a half-written file is always explained', async () => {
    const text = JSON.stringify({ ...BASE, entry: ENTRY, control: CONTROL, logLevel: 'info' });
    await fc.assert(
      fc.asyncProperty(fc.nat(text.length - 1), async (length) => {
        expect(await loadText(text.slice(0, length))).toMatchObject({ kind: 'not_json' });
      }),
      { numRuns: 100 },
    );
  });

  it('never throws when one value has a wrong type or size', async () => {
    const wrongValue = fc.oneof(
      fc.jsonValue(),
      fc.constantFrom(1e308, -1, 2 ** 53, 'x'.repeat(100_000), '999.999.999.999:99999', '\0'),
    );
    const propertyName = fc.constantFrom(
      ...Object.keys(BASE),
      'entry',
      'control',
      'sidecar',
      'feed',
    );
    await fc.assert(
      fc.asyncProperty(propertyName, wrongValue, async (key, value) => {
        const settings = { ...BASE, entry: ENTRY, control: CONTROL, [key]: value };
        const loaded = await loadText(JSON.stringify(settings));
        expect('problems' in loaded || 'clusterSecret' in loaded).toBe(true);
      }),
      { numRuns: 300 },
    );
  });

  it('never throws on text nested 100,000 levels deep', async () => {
    const deep = '['.repeat(100_000);
    expect(await loadText(deep)).toMatchObject({ kind: 'not_json' });
    const closed = `${deep}${']'.repeat(100_000)}`;
    expect(await loadText(closed)).toMatchObject({ kind: 'invalid' });
    const inside = `{"instance": ${closed}}`;
    expect(await loadText(inside)).toMatchObject({ kind: 'invalid' });
  });
});

describe('examples in docs/OPERATIONS.md', () => {
  it('load, so that a first deployment does not begin with an error', async () => {
    const page = readFileSync('docs/OPERATIONS.md', 'utf8');
    writeFileSync(join(folder, 'cluster-secret'), 'sixteen-characters-or-more');
    const blocks = [...page.matchAll(/```json\n(.*?)```/gs)].map((match) => match[1] ?? '');
    const settings = blocks.filter((block) => block.includes('"instance"'));
    expect(settings).toHaveLength(3);
    for (const text of settings) {
      expect(await loadText(text)).toHaveProperty('clusterSecret');
    }
  });
});
