import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import {
  ClaimCommandSchema,
  ClaimState,
  SettleClaimCommandSchema,
  type ClaimCommand,
  type ClaimResult,
  type SettleClaimCommand,
} from '../gen/redwingwharf/v1/state_pb.js';
import { CLAIM_RETENTION_MS, Claims, MAX_RECORDED_BODY_BYTES } from './Claims.js';

interface IClaimOptions {
  readonly key?: string;
  readonly body?: number;
  readonly target?: string;
  readonly replaces?: number;
}

function buildClaim(requestId: string, options: IClaimOptions = {}): ClaimCommand {
  return create(ClaimCommandSchema, {
    key: { clientAccount: 'lab', service: 'desk', idempotencyKey: options.key ?? 'k' },
    bodyDigest: Uint8Array.of(options.body ?? 1),
    binding: { target: options.target ?? 't1', sidecarIncarnation: Uint8Array.of(7) },
    replacesAttempt: options.replaces ?? 0,
    requestId,
  });
}

function buildAnswer(claim: ClaimResult, status: number, bytes = 4): SettleClaimCommand {
  const { claimId, attempt } = claim;
  const answer = { status, body: new Uint8Array(bytes).fill(1) };
  return create(SettleClaimCommandSchema, { claimId, attempt, answer });
}

function buildUnknown(claim: ClaimResult): SettleClaimCommand {
  const { claimId, attempt } = claim;
  return create(SettleClaimCommandSchema, { claimId, attempt, unknown: true });
}

describe('Claims', () => {
  it('grants a claim to one request only, so that a duplicate is never dispatched', () => {
    const claims = new Claims();
    const first = claims.claim(buildClaim('r1'), 11, 0);
    expect(first).toMatchObject({ state: ClaimState.GRANTED, claimId: 11n, attempt: 1 });
    const second = claims.claim(buildClaim('r2', { target: 't2' }), 12, 0);
    expect(second).toMatchObject({ state: ClaimState.BOUND, claimId: 11n });
    expect(second.binding?.target).toBe('t1');
  });

  it('grants a resent command again after a lost answer, but not with another binding', () => {
    const claims = new Claims();
    claims.claim(buildClaim('r1'), 11, 0);
    expect(claims.claim(buildClaim('r1'), 12, 0).state).toBe(ClaimState.GRANTED);
    expect(claims.claim(buildClaim('r1', { target: 't2' }), 13, 0).state).toBe(ClaimState.BOUND);
  });

  it('rebinds only for the current attempt, so that two "not run" proofs cause only one dispatch', () => {
    const claims = new Claims();
    claims.claim(buildClaim('r1'), 11, 0);
    const rebind = buildClaim('r2', { target: 't2', replaces: 1 });
    expect(claims.claim(rebind, 12, 0)).toMatchObject({ state: ClaimState.GRANTED, attempt: 2 });
    const late = buildClaim('r3', { target: 't3', replaces: 1 });
    expect(claims.claim(late, 13, 0).state).toBe(ClaimState.BOUND);
    expect(claims.claim(buildClaim('r1'), 14, 0).state).toBe(ClaimState.BOUND);
    expect(claims.claim(rebind, 15, 0)).toMatchObject({ state: ClaimState.GRANTED, attempt: 2 });
  });

  it('never rebinds a settled, unknown or expired claim', () => {
    const claims = new Claims();
    const settled = claims.claim(buildClaim('r1', { key: 's' }), 1, 0);
    const unknown = claims.claim(buildClaim('r2', { key: 'u' }), 2, 0);
    claims.settle(buildAnswer(settled, 200), 0);
    claims.settle(buildUnknown(unknown), 0);
    const states = ['s', 'u', 'gone'].map(
      (key) => claims.claim(buildClaim('r3', { key, replaces: 1 }), 3, 0).state,
    );
    expect(states).toEqual([ClaimState.SETTLED, ClaimState.UNKNOWN, ClaimState.UNKNOWN]);
  });

  it('refuses another body with the same idempotency key and withholds the recorded answer', () => {
    const claims = new Claims();
    claims.settle(buildAnswer(claims.claim(buildClaim('r1'), 1, 0), 200), 0);
    const result = claims.claim(buildClaim('r2', { body: 2 }), 2, 0);
    expect(result.state).toBe(ClaimState.BODY_MISMATCH);
    expect(result.answer).toBeUndefined();
  });

  it('creates a claim for each request without an idempotency key', () => {
    const claims = new Claims();
    expect(claims.claim(buildClaim('r1', { key: '' }), 1, 0).state).toBe(ClaimState.GRANTED);
    expect(claims.claim(buildClaim('r2', { key: '' }), 2, 0).state).toBe(ClaimState.GRANTED);
  });

  it('keeps the first outcome, and lets an answer replace unknown but not the reverse', () => {
    const claims = new Claims();
    const claim = claims.claim(buildClaim('r1'), 1, 0);
    expect(claims.settle(buildUnknown(claim), 0)).toMatchObject({ recorded: true });
    expect(claims.settle(buildAnswer(claim, 200), 0)).toMatchObject({
      recorded: true,
      state: ClaimState.SETTLED,
    });
    expect(claims.settle(buildAnswer(claim, 200), 0).recorded).toBe(true);
    expect(claims.settle(buildAnswer(claim, 500), 0)).toMatchObject({
      recorded: false,
      answer: { status: 200 },
    });
    expect(claims.settle(buildUnknown(claim), 0)).toMatchObject({
      recorded: false,
      state: ClaimState.SETTLED,
    });
  });

  it('ignores the outcome of an attempt that was proved not run', () => {
    const claims = new Claims();
    const first = claims.claim(buildClaim('r1'), 1, 0);
    claims.claim(buildClaim('r2', { replaces: 1 }), 2, 0);
    const result = claims.settle(buildAnswer(first, 200), 0);
    expect(result).toMatchObject({ recorded: false, state: ClaimState.BOUND });
  });

  it('refuses new claims while the table is full, and removes none before it expires', () => {
    const claims = new Claims({ maxClaims: 2, maxTotalBodyBytes: 100 });
    claims.claim(buildClaim('r1', { key: 'a' }), 1, 0);
    claims.claim(buildClaim('r2', { key: 'b' }), 2, 10);
    const third = buildClaim('r3', { key: 'c' });
    claims.compact(CLAIM_RETENTION_MS - 1);
    expect(claims.claim(third, 3, CLAIM_RETENTION_MS - 1).state).toBe(ClaimState.TABLE_FULL);
    claims.compact(CLAIM_RETENTION_MS);
    expect(claims.claim(third, 4, CLAIM_RETENTION_MS).state).toBe(ClaimState.GRANTED);
  });

  it('evicts the oldest bodies beyond the limit and marks them omitted, but keeps the outcome', () => {
    const claims = new Claims({ maxClaims: 10, maxTotalBodyBytes: 100 });
    for (const [index, key] of ['a', 'b', 'c'].entries()) {
      const claim = claims.claim(buildClaim(key, { key }), index + 1, 0);
      claims.settle(buildAnswer(claim, 200, 40), 0);
    }
    expect(claims.totalBodyBytes).toBe(80);
    const oldest = claims.claim(buildClaim('r', { key: 'a' }), 9, 0);
    expect(oldest).toMatchObject({ state: ClaimState.SETTLED, answer: { bodyOmitted: true } });
    expect(claims.claim(buildClaim('r', { key: 'b' }), 9, 0).answer?.body).toHaveLength(40);
  });

  it('does not record a body above the limit for a single answer', () => {
    const claims = new Claims();
    const claim = claims.claim(buildClaim('r1'), 1, 0);
    const result = claims.settle(buildAnswer(claim, 200, MAX_RECORDED_BODY_BYTES + 1), 0);
    expect(result.answer).toMatchObject({ status: 200, bodyOmitted: true });
    expect(claims.totalBodyBytes).toBe(0);
  });
});
