/** Claims that this life of the sidecar has seen. A claim attempt is accepted at most once. */
import { create } from '@bufbuild/protobuf';
import {
  ClaimProgress,
  QueryClaimResponseSchema,
  type QueryClaimResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { Answer } from '../gen/redwingwharf/v1/state_pb.js';
import { isBroken } from '../common/TestSwitches.js';

/** Answers kept for entries that lost theirs. */
const MAX_ANSWERS = 1_000;

/** Claims kept one by one; about 10 MB. Older ones are covered by the low-water mark. */
const MAX_CLAIMS = 50_000;

type ClaimEntry =
  | { readonly kind: 'not_run' }
  | { readonly kind: 'running' }
  | { readonly kind: 'finished'; readonly answer: Answer | undefined }
  | { readonly kind: 'unknown' };

/**
 * Remembers claim attempts for the life of the process.
 *
 * Claim ids are log indices and only grow. When the table is full, the oldest entries are replaced by
 * a low-water mark: everything at or below it is refused, and its outcome is no longer known here.
 *
 * @example
 * if (!claims.accept(ticket.claimId, ticket.claimAttempt)) refuse();
 */
export class ClaimTable {
  private readonly _claims = new Map<string, ClaimEntry>();
  private readonly _answered: string[] = [];
  private _lowWaterMark = 0n;

  constructor(private readonly _maxClaims = MAX_CLAIMS) {}

  /** True when the attempt was accepted or refused before, or is too old to tell. */
  public has(claimId: bigint, attempt: number): boolean {
    TEST_ONLY: if (isBroken('claim-table')) return false;
    return claimId <= this._lowWaterMark || this._claims.has(formatId(claimId, attempt));
  }

  /** True exactly once for each attempt, and never after a query proved it "not run". */
  public accept(claimId: bigint, attempt: number): boolean {
    if (this.has(claimId, attempt)) {
      return false;
    }
    this._set(claimId, attempt, { kind: 'running' });
    return true;
  }

  /** Refuses an attempt that was not seen before, for good. */
  public refuse(claimId: bigint, attempt: number): void {
    if (!this.has(claimId, attempt)) {
      this._set(claimId, attempt, { kind: 'not_run' });
    }
  }

  /** Records that an accepted attempt did not reach the target. */
  public markNotRun(claimId: bigint, attempt: number): void {
    this._set(claimId, attempt, { kind: 'not_run' });
  }

  /** Records that an accepted attempt reached the target and its outcome was lost. */
  public markUnknown(claimId: bigint, attempt: number): void {
    this._set(claimId, attempt, { kind: 'unknown' });
  }

  public finish(claimId: bigint, attempt: number, answer: Answer): void {
    this._set(claimId, attempt, { kind: 'finished', answer });
    this._answered.push(formatId(claimId, attempt));
    const oldest = this._answered.length > MAX_ANSWERS ? this._answered.shift() : undefined;
    if (oldest !== undefined && this._claims.has(oldest)) {
      this._claims.set(oldest, { kind: 'finished', answer: undefined });
    }
  }

  /** Tells the progress. An attempt not seen before is refused from now on. */
  public query(claimId: bigint, attempt: number): QueryClaimResponse {
    this.refuse(claimId, attempt);
    const entry = this._claims.get(formatId(claimId, attempt));
    return describeProgress(entry ?? { kind: 'unknown' });
  }

  private _set(claimId: bigint, attempt: number, entry: ClaimEntry): void {
    this._claims.set(formatId(claimId, attempt), entry);
    if (this._claims.size > this._maxClaims) {
      this._dropOldest();
    }
  }

  private _dropOldest(): void {
    for (const [id, entry] of this._claims) {
      if (entry.kind !== 'running') {
        this._claims.delete(id);
        const claimId = parseClaimId(id);
        this._lowWaterMark = claimId > this._lowWaterMark ? claimId : this._lowWaterMark;
        return;
      }
    }
  }
}

function formatId(claimId: bigint, attempt: number): string {
  return `${claimId}/${attempt}`;
}

function parseClaimId(id: string): bigint {
  return BigInt(id.slice(0, id.indexOf('/')));
}

function describeProgress(entry: ClaimEntry): QueryClaimResponse {
  switch (entry.kind) {
    case 'not_run':
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.NOT_RUN });
    case 'running':
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.RUNNING });
    case 'unknown':
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.UNKNOWN });
    case 'finished':
      return create(QueryClaimResponseSchema, {
        progress: entry.answer === undefined ? ClaimProgress.UNKNOWN : ClaimProgress.FINISHED,
        ...(entry.answer === undefined ? {} : { answer: entry.answer }),
      });
  }
}
