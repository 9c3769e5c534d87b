/**
 * Measures the time to apply commands and the memory of the state. Run with
 * `npx vitest bench --run src/state`.
 */
import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { bench, describe } from 'vitest';
import { ClientAccountSchema, CommandSchema } from '../gen/redwingwharf/v1/state_pb.js';
import { ControlState } from './ControlState.js';

type Body = NonNullable<MessageInitShape<typeof CommandSchema>['body']>;

const ACCOUNTS = 960;
const ENTRIES = 20;
const BODY_BYTES = 300;
const ITERATIONS = 3_000;

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

let index = 0;
let version = 0;
let sequence = 0;
let claims = 0;
let timeMs = 0;

interface IEncoded {
  readonly command: Uint8Array;
  readonly index: number;
}

function encode(body: Body): IEncoded {
  index += 1;
  timeMs += 1;
  const command = create(CommandSchema, { timeMs: BigInt(timeMs), body });
  return { command: toBinary(CommandSchema, command), index };
}

function apply(state: ControlState, body: Body): void {
  const encoded = encode(body);
  state.apply(encoded.command, encoded.index);
}

function buildChange(account: number): Body {
  version += 1;
  const id = `account-${account}`;
  const limits = { id, tokensPerSecond: 10_000, burstTokens: 100_000 };
  const value = toBinary(ClientAccountSchema, create(ClientAccountSchema, limits));
  const items = [{ key: `clientAccount/${id}`, value }];
  const change = { operationId: `operation-${version}`, version: BigInt(version), items };
  return { case: 'change', value: change };
}

/** Builds an exchange for some accounts, each of which reports the entry's previous grant. */
function buildSync(accounts: number): Body {
  sequence += 1;
  const entry = sequence % ENTRIES;
  const requests = Array.from({ length: accounts }, (_, account) => ({
    clientAccount: `account-${account}`,
    reports: [
      { grantId: BigInt(Math.max(0, index + 1 - ENTRIES)), spentTokens: 40, returnedTokens: 10 },
    ],
    wantedTokens: 100,
  }));
  const refunds = requests.map(({ clientAccount }) => ({
    clientAccount,
    epoch: BigInt(118 + Math.floor(timeMs / 1_000)),
    tokens: 5,
  }));
  const incarnation = Buffer.alloc(16, entry);
  const value = {
    instance: `entry-${entry}`,
    incarnation,
    sequence: BigInt(sequence),
    requests,
    refunds,
  };
  return { case: 'syncGrants', value };
}

function buildClaim(): Body {
  claims += 1;
  const value = {
    key: {
      clientAccount: 'account-1',
      service: 'order-desk',
      idempotencyKey: `key-${claims}-0123456789abcdef`,
    },
    bodyDigest: Buffer.alloc(32, claims),
    binding: {
      target: `target-${claims % 13}`,
      sidecarIncarnation: Buffer.alloc(16),
      sidecarAddress: '10.0.0.1:7001',
    },
    requestId: `request-${claims}-0123456789abcdef`,
  };
  return { case: 'claim', value };
}

function buildSettle(claimId: number): Body {
  const headers = { 'content-type': 'application/json' };
  const answer = { status: 200, headers, body: Buffer.alloc(BODY_BYTES, 1) };
  return { case: 'settleClaim', value: { claimId: BigInt(claimId), attempt: 1, answer } };
}

function measureHeap(): number {
  // Array buffers that the first collection frees are still counted until the second one.
  collectGarbage();
  collectGarbage();
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.external;
}

function reportMemory(name: string, count: number, heapBytesBefore: number): void {
  const bytes = Math.round((measureHeap() - heapBytesBefore) / count);
  console.log(`memory per ${name}: ${bytes} bytes (${count} of them)`);
}

const state = new ControlState();
const emptyHeapBytes = measureHeap();
for (let account = 0; account < ACCOUNTS; account += 1) {
  apply(state, buildChange(account));
}
reportMemory('client account (item, change record, ledger)', ACCOUNTS, emptyHeapBytes);

const claimed = new ControlState();
const heapBytesBeforeClaims = measureHeap();
for (let count = 0; count < 20_000; count += 1) {
  apply(claimed, buildClaim());
}
reportMemory('bound claim', 20_000, heapBytesBeforeClaims);
const heapBytesBeforeAnswers = measureHeap();
const firstClaim = index - 20_000 + 1;
for (let count = 0; count < 20_000; count += 1) {
  apply(claimed, buildSettle(firstClaim + count));
}
reportMemory(`answer of ${BODY_BYTES} bytes`, 20_000, heapBytesBeforeAnswers);

const startedAt = performance.now();
const snapshotBytes = claimed.snapshot().length;
const snapshotMs = Math.round(performance.now() - startedAt);
console.log(`snapshot of 20000 settled claims: ${snapshotBytes} bytes, ${snapshotMs} ms`);

/** Benchmarks `apply` with commands encoded beforehand, each applied once. */
function measureApply(name: string, build: () => Body): void {
  const pool = Array.from({ length: ITERATIONS + 1 }, () => encode(build()));
  let next = 0;
  const options = { iterations: ITERATIONS, time: 0, warmupIterations: 0, warmupTime: 0 };
  bench(
    name,
    () => {
      const encoded = pool[next % pool.length];
      next += 1;
      if (encoded !== undefined) {
        state.apply(encoded.command, encoded.index);
      }
    },
    options,
  );
}

describe('apply', () => {
  let account = 0;
  measureApply('change', () => {
    account = (account + 1) % ACCOUNTS;
    return buildChange(account);
  });
  measureApply('sync_grants, 5 accounts', () => buildSync(5));
  measureApply('sync_grants, 100 accounts', () => buildSync(100));
  const firstBenchClaim = index + 1;
  measureApply('claim', () => buildClaim());
  let settledClaim = firstBenchClaim - 1;
  measureApply('settle_claim', () => {
    settledClaim += 1;
    return buildSettle(settledClaim);
  });
  measureApply('load_slot', () => ({
    case: 'loadSlot',
    value: { target: 'engine-1', version: '1' },
  }));
});
