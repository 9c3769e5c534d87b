import { mkdirSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { encodeHex } from '../common/Hashes.js';
import {
  loadOperatorFiles,
  type IOperatorItems,
  type OperatorFilesFailure,
} from './OperatorFiles.js';

let root = '';

const MODEL = { name: 'assessor', kind: 'model', models: ['large'], defaultOutputTokens: 512 };
const PLAIN = { name: 'ledger', kind: 'plain', routes: [{ path: '/ledger' }] };
const ACCOUNT = { id: 'bindery', tokensPerSecond: 500, burstTokens: 4000, services: ['assessor'] };

function writeOperatorFile(folder: string, content: unknown): void {
  const file = join(root, folder, 'redwingwharf.json');
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content));
}

async function load(): Promise<IOperatorItems | OperatorFilesFailure> {
  return (await loadOperatorFiles([root])).val;
}

async function loadFailure(): Promise<OperatorFilesFailure> {
  const loaded = await load();
  expect(loaded).toHaveProperty('problems');
  return loaded as OperatorFilesFailure;
}

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), 'rww-operator-'));
});

afterEach(() => {
  rmSync(root, { recursive: true });
});

describe('loadOperatorFiles', () => {
  it('computes one digest for any distribution over files, so that a resend is recognised', async () => {
    writeOperatorFile('a', { services: [MODEL], clientAccounts: [ACCOUNT] });
    writeOperatorFile('b', { services: [PLAIN], weights: [{ model: 'large', version: '7' }] });
    const first = (await load()) as IOperatorItems;
    rmSync(join(root, 'a'), { recursive: true });
    writeOperatorFile('b', { services: [PLAIN, MODEL] });
    writeOperatorFile('z/deep', {
      clientAccounts: [ACCOUNT],
      weights: [{ model: 'large', version: '7' }],
    });
    const second = (await load()) as IOperatorItems;
    expect(encodeHex(second.digest)).toBe(encodeHex(first.digest));
    expect(second.items.map((item) => item.key)).toEqual([
      'clientAccount/bindery',
      'service/assessor',
      'service/ledger',
      'weights/large',
    ]);
  });

  it('computes another digest for other content, so that a changed file is no resend', async () => {
    writeOperatorFile('a', { services: [MODEL], clientAccounts: [ACCOUNT] });
    const first = (await load()) as IOperatorItems;
    writeOperatorFile('a', {
      services: [MODEL],
      clientAccounts: [{ ...ACCOUNT, burstTokens: 4001 }],
    });
    expect(encodeHex(((await load()) as IOperatorItems).digest)).not.toBe(encodeHex(first.digest));
  });

  it('accepts the example in docs/OPERATIONS.md, so that a first publication does not fail', async () => {
    const page = readFileSync('docs/OPERATIONS.md', 'utf8');
    const blocks = [...page.matchAll(/```json\n(.*?)```/gs)].map((match) => match[1] ?? '');
    const example = blocks.find((block) => block.includes('"clientAccounts"'));
    writeOperatorFile('a', example ?? '');
    expect(((await load()) as IOperatorItems).items).toHaveLength(4);
  });

  it('skips symbolic links, node_modules and dot folders, so that copies are not published', async () => {
    writeOperatorFile('a', { services: [PLAIN] });
    writeOperatorFile('node_modules/x', 'not JSON');
    writeOperatorFile('.cache/x', 'not JSON');
    symlinkSync(root, join(root, 'loop'));
    symlinkSync(join(root, 'a', 'redwingwharf.json'), join(root, 'redwingwharf.json'));
    expect(((await load()) as IOperatorItems).files).toEqual([join(root, 'a/redwingwharf.json')]);
  });

  it('reads a file once when its folder is given several times', async () => {
    writeOperatorFile('a', { services: [PLAIN] });
    const loaded = await loadOperatorFiles([root, join(root, 'a'), `${root}/a/../a`]);
    expect(loaded.ok).toBe(true);
  });

  it('refuses folders without operator files, so that --prune with a wrong path deletes nothing', async () => {
    expect((await loadFailure()).kind).toBe('no_files');
    const missing = await loadOperatorFiles([join(root, 'missing')]);
    expect(missing.val).toMatchObject({ kind: 'bad_files' });
  });

  it('names both locations of a duplicate', async () => {
    writeOperatorFile('a', { services: [PLAIN] });
    writeOperatorFile('b', { services: [{ ...PLAIN, routes: [{ path: '/other' }] }] });
    const failure = await loadFailure();
    expect(failure.problems[0]).toMatchObject({
      file: join(root, 'b/redwingwharf.json'),
      pointer: '/services/0',
      line: 1,
    });
    expect(failure.message).toContain(`${join(root, 'a/redwingwharf.json')} /services/0`);
  });

  it.each([
    ['an unknown service', { clientAccounts: [ACCOUNT] }, '/clientAccounts/0/services/0'],
    [
      'weights of an unknown model',
      { weights: [{ model: 'x', version: '1' }] },
      '/weights/0/model',
    ],
    ['a model service without models', { services: [{ ...MODEL, models: [] }] }, '/services/0'],
    ['a plain service without routes', { services: [{ ...PLAIN, routes: [] }] }, '/services/0'],
    [
      'an open route that is non-repeatable',
      {
        services: [{ ...PLAIN, routes: [{ path: '/orders', open: true, nonRepeatable: true }] }],
      },
      '/services/0/routes/0',
    ],
    [
      'overlapping paths of two services',
      { services: [PLAIN, { ...PLAIN, name: 'desk', routes: [{ path: '/ledger/stock' }] }] },
      '/services/1/routes/0/path',
    ],
    [
      'one path twice for one method',
      {
        services: [
          { ...PLAIN, routes: [{ path: '/a', methods: ['GET'] }, { path: '/a' }, { path: '/b' }] },
        ],
      },
      '/services/0/routes/1/path',
    ],
    [
      'a path that the entry reserves',
      { services: [{ ...PLAIN, routes: [{ path: '/v1/models/x' }] }] },
      '/services/0/routes/0/path',
    ],
    [
      'a path with several spellings',
      { services: [{ ...PLAIN, routes: [{ path: '/a/../b' }] }] },
      '/services/0/routes/0/path',
    ],
    [
      'a model in two services',
      { services: [MODEL, { ...MODEL, name: 'other' }] },
      '/services/1/models/0',
    ],
    [
      'a burst smaller than one request',
      { services: [MODEL], clientAccounts: [{ ...ACCOUNT, burstTokens: 512 }] },
      '/clientAccounts/0/burstTokens',
    ],
    [
      'a negative rate',
      { services: [MODEL], clientAccounts: [{ ...ACCOUNT, tokensPerSecond: -1 }] },
      '/clientAccounts/0/tokensPerSecond',
    ],
    ['an unknown property', { service: [] }, '/service'],
  ])('refuses %s before it is published', async (_name, content, pointer) => {
    writeOperatorFile('a', content);
    const failure = await loadFailure();
    expect(failure.problems.map((problem) => problem.pointer)).toContain(pointer);
    expect(failure.problems.every((problem) => problem.remedy.endsWith('.'))).toBe(true);
  });

  it('accepts one path with several methods and nested paths within a service', async () => {
    const routes = [
      { path: '/ledger', methods: ['GET'], open: true },
      { path: '/ledger', methods: ['POST'], nonRepeatable: true },
      { path: '/ledger/stock' },
      { path: '/ledgers' },
    ];
    writeOperatorFile('a', { services: [{ ...PLAIN, routes }] });
    writeOperatorFile('b', {
      services: [{ ...PLAIN, name: 'desk', routes: [{ path: '/ledger-desk' }] }],
    });
    expect(await load()).toHaveProperty('digest');
  });

  it('never throws on arbitrary JSON, so that an invalid file is always explained', async () => {
    const entry = fc.record(
      {
        name: fc.constantFrom('a', 'b', '', 1),
        kind: fc.constantFrom('model', 'plain', null),
        models: fc.array(fc.oneof(fc.string(), fc.integer()), { maxLength: 2 }),
        routes: fc.array(
          fc.record({ path: fc.oneof(fc.webPath(), fc.string()) }, { requiredKeys: [] }),
          { maxLength: 3 },
        ),
        timeoutMs: fc.oneof(fc.double(), fc.integer(), fc.constant(1e308)),
      },
      { requiredKeys: ['name', 'kind'] },
    );
    const file = fc.oneof(
      fc.jsonValue({ maxDepth: 4 }),
      fc.record({ services: fc.array(entry, { maxLength: 3 }) }),
    );
    await fc.assert(
      fc.asyncProperty(file, async (content) => {
        writeOperatorFile('a', JSON.stringify(content));
        const loaded = await load();
        expect('problems' in loaded || 'digest' in loaded).toBe(true);
      }),
      { numRuns: 300 },
    );
  });

  it('never throws on truncated or deeply nested text', async () => {
    const text = JSON.stringify({ services: [MODEL], clientAccounts: [ACCOUNT] });
    for (let length = 0; length < text.length; length += 3) {
      writeOperatorFile('a', text.slice(0, length));
      expect(await loadFailure()).toMatchObject({ kind: 'bad_files' });
    }
    writeOperatorFile('a', `{"services":${'['.repeat(100_000)}${']'.repeat(100_000)}}`);
    expect(await loadFailure()).toMatchObject({ kind: 'bad_files' });
  });
});
