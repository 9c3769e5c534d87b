import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { ClaimProgress } from '../gen/redwingwharf/v1/control_pb.js';
import { AnswerSchema } from '../gen/redwingwharf/v1/state_pb.js';
import { ClaimTable } from './ClaimTable.js';

const ANSWER = create(AnswerSchema, { status: 201, body: new Uint8Array([1]) });

describe('ClaimTable', () => {
  it('accepts an attempt only once, so that a duplicate dispatch does not run twice', () => {
    const claims = new ClaimTable();
    expect(claims.accept(7n, 1)).toBe(true);
    expect(claims.accept(7n, 1)).toBe(false);
    claims.finish(7n, 1, ANSWER);
    expect(claims.accept(7n, 1)).toBe(false);
  });

  it('never accepts an attempt after reporting it as "not run"', () => {
    const claims = new ClaimTable();
    expect(claims.query(7n, 1).progress).toBe(ClaimProgress.NOT_RUN);
    expect(claims.accept(7n, 1)).toBe(false);
    expect(claims.accept(7n, 2)).toBe(true);
  });

  it('does not mark a running attempt as "not run" when a late duplicate is refused', () => {
    const claims = new ClaimTable();
    claims.accept(7n, 1);
    claims.refuse(7n, 1);
    expect(claims.query(7n, 1).progress).toBe(ClaimProgress.RUNNING);
  });

  it('returns the stored answer to an entry that lost it', () => {
    const claims = new ClaimTable();
    claims.accept(7n, 1);
    claims.finish(7n, 1, ANSWER);
    const response = claims.query(7n, 1);
    expect(response.progress).toBe(ClaimProgress.FINISHED);
    expect(response.answer?.status).toBe(201);
  });

  it('reports evicted claims as "unknown", never as "not run"', () => {
    const claims = new ClaimTable(2);
    for (const id of [1n, 2n, 3n, 4n]) {
      claims.accept(id, 1);
      claims.finish(id, 1, ANSWER);
    }
    expect(claims.accept(1n, 1)).toBe(false);
    expect(claims.query(1n, 1).progress).toBe(ClaimProgress.UNKNOWN);
  });
});
