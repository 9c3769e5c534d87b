/** Claim attempts that this incarnation of the sidecar has received. Each is accepted at most once. */
import { create } from '@bufbuild/protobuf';
import {
  ClaimProgress,
  QueryClaimResponseSchema,
  type QueryClaimResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { Answer } from '../gen/redwingwharf/v1/state_pb.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';

/** Answers stored for entries whose connection broke before they received the answer. */
const MAX_ANSWERS = 1_000;

/**
 * Claim attempts stored individually; this many take about 10 MB. The low-water mark covers older ones.
 */
const MAX_CLAIMS = 50_000;

type ClaimRecord =
  | { readonly kind: 'not_run' }
  | { readonly kind: 'running' }
  | { readonly kind: 'finished'; readonly answer: Answer | undefined }
  | { readonly kind: 'unknown' };

/**
 * Records the progress of claim attempts for the lifetime of the process.
 *
 * Claim ids are log indices and only grow. When the table is full, the oldest record that is not running
 * is evicted and the low-water mark is raised to its claim id. Attempts at or below the mark are refused,
 * and the outcome of an evicted one is reported as unknown.
 *
 * @example
 * if (!claims.accept(ticket.claimId, ticket.claimAttempt)) refuse();
 */
export class ClaimTable {
  private readonly _claims = new Map<string, ClaimRecord>();
  private readonly _answeredIds: string[] = [];
  private _lowWaterMark = 0n;

  constructor(private readonly _maxClaims = MAX_CLAIMS) {}

  /** True when the attempt was accepted or refused before, or is at or below the low-water mark. */
  public has(claimId: bigint, attempt: number): boolean {
    TEST_ONLY: if (isMechanismDisabled('claim-table')) return false;
    return claimId <= this._lowWaterMark || this._claims.has(formatId(claimId, attempt));
  }

  /** Returns true at most once for each attempt, and never after a query reported it as "not run". */
  public accept(claimId: bigint, attempt: number): boolean {
    if (this.has(claimId, attempt)) {
      return false;
    }
    this._set(claimId, attempt, { kind: 'running' });
    return true;
  }

  /**
   * Marks an attempt that was not received before as refused for good; does nothing to other attempts.
   */
  public refuse(claimId: bigint, attempt: number): void {
    if (!this.has(claimId, attempt)) {
      this._set(claimId, attempt, { kind: 'not_run' });
    }
  }

  /** Records that an accepted attempt did not reach the target. */
  public markNotRun(claimId: bigint, attempt: number): void {
    this._set(claimId, attempt, { kind: 'not_run' });
  }

  /** Records that an accepted attempt may have reached the target and that its outcome was lost. */
  public markUnknown(claimId: bigint, attempt: number): void {
    this._set(claimId, attempt, { kind: 'unknown' });
  }

  public finish(claimId: bigint, attempt: number, answer: Answer): void {
    this._set(claimId, attempt, { kind: 'finished', answer });
    this._answeredIds.push(formatId(claimId, attempt));
    const oldest = this._answeredIds.length > MAX_ANSWERS ? this._answeredIds.shift() : undefined;
    if (oldest !== undefined && this._claims.has(oldest)) {
      this._claims.set(oldest, { kind: 'finished', answer: undefined });
    }
  }

  /** Returns the progress of an attempt. An attempt not received before is refused from now on. */
  public query(claimId: bigint, attempt: number): QueryClaimResponse {
    this.refuse(claimId, attempt);
    const record = this._claims.get(formatId(claimId, attempt));
    return describeProgress(record ?? { kind: 'unknown' });
  }

  private _set(claimId: bigint, attempt: number, record: ClaimRecord): void {
    this._claims.set(formatId(claimId, attempt), record);
    if (this._claims.size > this._maxClaims) {
      this._evictOldest();
    }
  }

  private _evictOldest(): void {
    for (const [id, record] of this._claims) {
      if (record.kind !== 'running') {
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

function describeProgress(record: ClaimRecord): QueryClaimResponse {
  switch (record.kind) {
    case 'not_run':
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.NOT_RUN });
    case 'running':
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.RUNNING });
    case 'unknown':
      return create(QueryClaimResponseSchema, { progress: ClaimProgress.UNKNOWN });
    case 'finished':
      return create(QueryClaimResponseSchema, {
        progress: record.answer === undefined ? ClaimProgress.UNKNOWN : ClaimProgress.FINISHED,
        ...(record.answer === undefined ? {} : { answer: record.answer }),
      });
  }
}
