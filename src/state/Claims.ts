/**
 * Claims for non-repeatable calls (design 3.5). A claim is committed before its call is dispatched, and
 * it is bound to one sidecar at a time, so that the call runs at most once.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import {
  AnswerSchema,
  ClaimResultSchema,
  ClaimSnapshotSchema,
  ClaimState,
  SettleClaimResultSchema,
  StateSnapshotSchema,
  type Answer,
  type ClaimBinding,
  type ClaimCommand,
  type ClaimKey,
  type ClaimResult,
  type ClaimSnapshot,
  type SettleClaimCommand,
  type SettleClaimResult,
} from '../gen/redwingwharf/v1/state_pb.js';

/** Logical time for which a claim is retained after its last change. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;

/** Capacity of the table. A full table refuses new claims rather than remove one before it expires. */
export const MAX_CLAIMS = 100_000;

/** Largest answer body that is recorded. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

/** Limit for all recorded answer bodies together. */
export const MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024;

/** Limits of one table; tests use lower ones. */
export interface IClaimLimits {
  readonly maxClaims: number;
  readonly maxTotalBodyBytes: number;
}

/** Claim in the table. It is kept encoded, which takes less memory and makes snapshots cheap. */
interface IClaimRecord {
  readonly id: bigint;
  readonly tableKey: string;
  updatedAtMs: number;
  bodyBytes: number;
  /** Encoded state snapshot with only this claim, in the state BOUND, SETTLED or UNKNOWN. */
  encoded: Uint8Array;
}

/** Without an idempotency key, each request has its own claim. */
function buildTableKey(key: ClaimKey, requestId: string): string {
  const identity = key.idempotencyKey === '' ? { requestId } : { key: key.idempotencyKey };
  return JSON.stringify([key.clientAccount, key.service, identity]);
}

function hasSameBinding(left: ClaimBinding, right: ClaimBinding | undefined): boolean {
  return (
    left.target === right?.target && hasSameBytes(left.sidecarIncarnation, right.sidecarIncarnation)
  );
}

function hasSameAnswer(recorded: Answer, answer: Answer): boolean {
  return (
    recorded.status === answer.status &&
    (recorded.bodyOmitted || hasSameBytes(recorded.body, answer.body))
  );
}

function encodeClaim(claim: ClaimSnapshot): Uint8Array {
  return toBinary(StateSnapshotSchema, create(StateSnapshotSchema, { claims: [claim] }));
}

function decodeClaim(record: IClaimRecord): ClaimSnapshot | undefined {
  return fromBinary(StateSnapshotSchema, record.encoded).claims[0];
}

function copyWithoutBody(answer: Answer): Answer {
  const { status, headers } = answer;
  return create(AnswerSchema, { status, headers, bodyOmitted: true });
}

/** True when the command repeats the recorded outcome. */
function isRecordedOutcome(claim: ClaimSnapshot, command: SettleClaimCommand): boolean {
  return (
    command.attempt === claim.attempt &&
    !command.unknown &&
    claim.answer !== undefined &&
    command.answer !== undefined &&
    hasSameAnswer(claim.answer, command.answer)
  );
}

/** Returns the outcome that a settlement reports, or undefined when it has none. */
function decideOutcome(
  command: SettleClaimCommand,
): { readonly state: ClaimState; readonly answer?: Answer } | undefined {
  const { answer, unknown } = command;
  if (unknown) {
    return { state: ClaimState.UNKNOWN };
  }
  if (answer === undefined) {
    return undefined;
  }
  const isTooLarge = answer.body.length > MAX_RECORDED_BODY_BYTES;
  return { state: ClaimState.SETTLED, answer: isTooLarge ? copyWithoutBody(answer) : answer };
}

function buildSettleResult(claim: ClaimSnapshot, recorded: boolean): SettleClaimResult {
  const answer = claim.answer === undefined ? {} : { answer: claim.answer };
  return create(SettleClaimResultSchema, { recorded, state: claim.state, ...answer });
}

function buildClaimResult(claim: ClaimSnapshot, state: ClaimState): ClaimResult {
  const { claimId, attempt, binding, answer } = claim;
  // A caller with another request body must not see the recorded answer.
  const includesAnswer = answer !== undefined && state !== ClaimState.BODY_MISMATCH;
  return create(ClaimResultSchema, {
    state,
    claimId,
    attempt,
    ...(binding === undefined ? {} : { binding }),
    ...(includesAnswer ? { answer } : {}),
  });
}

/**
 * Table of claims by idempotency key and by id. Binds each claim to one sidecar at a time, records the
 * outcome, and limits the number of claims and the size of the recorded bodies.
 */
export class Claims {
  /** In the order of the last change, so that the first claim expires first. */
  private readonly _byKey = new Map<string, IClaimRecord>();
  private readonly _byId = new Map<bigint, IClaimRecord>();
  /** Claims with a recorded body, in the order in which they were settled. */
  private readonly _recordsWithBody = new Set<IClaimRecord>();
  private _totalBodyBytes = 0;

  constructor(
    private readonly _limits: IClaimLimits = {
      maxClaims: MAX_CLAIMS,
      maxTotalBodyBytes: MAX_TOTAL_BODY_BYTES,
    },
  ) {}

  public get size(): number {
    return this._byKey.size;
  }

  public get totalBodyBytes(): number {
    return this._totalBodyBytes;
  }

  /** Returns the recorded state of a claim without changing it, or undefined when there is none. */
  public get(key: ClaimKey, requestId: string): ClaimResult | undefined {
    const record = this._byKey.get(buildTableKey(key, requestId));
    const claim = record === undefined ? undefined : decodeClaim(record);
    return claim === undefined ? undefined : buildClaimResult(claim, claim.state);
  }

  /**
   * Claims a call. The caller may dispatch it only if the result is GRANTED.
   *
   * A bound claim is granted again in two cases: the command replaces the current attempt, which is
   * proved "not run"; or it is a resend, after a lost answer, of the command that was granted the current
   * attempt (same request, binding and replaced attempt). An entry dispatches a request only after it
   * received the answer, so in the second case nothing was dispatched yet.
   */
  public claim(command: ClaimCommand, index: number, timeMs: number): ClaimResult {
    const { key, binding, requestId, replacesAttempt } = command;
    if (key === undefined || binding === undefined) {
      return create(ClaimResultSchema);
    }
    const tableKey = buildTableKey(key, requestId);
    const record = this._byKey.get(tableKey);
    const claim = record === undefined ? undefined : decodeClaim(record);
    if (record === undefined || claim === undefined) {
      return this._createClaim(tableKey, command, index, timeMs);
    }
    if (!hasSameBytes(claim.bodyDigest, command.bodyDigest)) {
      return buildClaimResult(claim, ClaimState.BODY_MISMATCH);
    }
    if (claim.state !== ClaimState.BOUND) {
      return buildClaimResult(claim, claim.state);
    }
    if (replacesAttempt === claim.attempt) {
      const attempt = claim.attempt + 1;
      const rebound = { ...claim, binding, attempt, requestId };
      this._update(record, rebound, timeMs);
      return buildClaimResult(rebound, ClaimState.GRANTED);
    }
    const isResend =
      replacesAttempt + 1 === claim.attempt &&
      requestId === claim.requestId &&
      hasSameBinding(binding, claim.binding);
    return buildClaimResult(claim, isResend ? ClaimState.GRANTED : ClaimState.BOUND);
  }

  /**
   * Records the outcome of the current attempt. The first answer is final; an answer replaces "unknown",
   * but "unknown" never replaces an answer.
   */
  public settle(command: SettleClaimCommand, timeMs: number): SettleClaimResult {
    const record = this._byId.get(command.claimId);
    const claim = record === undefined ? undefined : decodeClaim(record);
    if (record === undefined || claim === undefined) {
      return create(SettleClaimResultSchema);
    }
    if (command.attempt !== claim.attempt || claim.answer !== undefined) {
      return buildSettleResult(claim, isRecordedOutcome(claim, command));
    }
    const outcome = decideOutcome(command);
    if (outcome === undefined) {
      return buildSettleResult(claim, false);
    }
    const settled = { ...claim, ...outcome };
    this._update(record, settled, timeMs);
    this._evictBodies();
    return buildSettleResult(settled, true);
  }

  /** Removes claims that were not changed for `CLAIM_RETENTION_MS`. */
  public compact(timeMs: number): void {
    for (const record of this._byKey.values()) {
      if (record.updatedAtMs + CLAIM_RETENTION_MS > timeMs) {
        return;
      }
      this._byKey.delete(record.tableKey);
      this._byId.delete(record.id);
      this._setBodyBytes(record, 0);
    }
  }

  /** Returns an encoded state snapshot for each claim; appended to an encoded snapshot, they merge. */
  public snapshot(): Uint8Array[] {
    return [...this._byKey.values()].map((record) => record.encoded);
  }

  public restore(snapshots: readonly ClaimSnapshot[]): void {
    this._byKey.clear();
    this._byId.clear();
    this._recordsWithBody.clear();
    this._totalBodyBytes = 0;
    for (const claim of snapshots) {
      if (claim.key !== undefined) {
        this._insert(buildTableKey(claim.key, claim.requestId), claim);
      }
    }
  }

  private _createClaim(
    tableKey: string,
    command: ClaimCommand,
    index: number,
    timeMs: number,
  ): ClaimResult {
    if (command.replacesAttempt !== 0) {
      // The claim to be replaced has expired, so whether another attempt ran is no longer known.
      return create(ClaimResultSchema, { state: ClaimState.UNKNOWN });
    }
    if (this._byKey.size >= this._limits.maxClaims) {
      return create(ClaimResultSchema, { state: ClaimState.TABLE_FULL });
    }
    const { key, binding, bodyDigest, requestId } = command;
    const claim = create(ClaimSnapshotSchema, {
      claimId: BigInt(index),
      bodyDigest,
      attempt: 1,
      state: ClaimState.BOUND,
      updatedAtMs: BigInt(timeMs),
      requestId,
      ...(key === undefined ? {} : { key }),
      ...(binding === undefined ? {} : { binding }),
    });
    this._insert(tableKey, claim);
    return buildClaimResult(claim, ClaimState.GRANTED);
  }

  private _insert(tableKey: string, claim: ClaimSnapshot): void {
    const record: IClaimRecord = {
      id: claim.claimId,
      tableKey,
      updatedAtMs: Number(claim.updatedAtMs),
      bodyBytes: 0,
      encoded: encodeClaim(claim),
    };
    this._byKey.set(tableKey, record);
    this._byId.set(record.id, record);
    this._setBodyBytes(record, claim.answer?.body.length ?? 0);
  }

  /** Stores a changed claim and moves it to the end of the order of expiry. */
  private _update(record: IClaimRecord, claim: ClaimSnapshot, timeMs: number): void {
    record.updatedAtMs = timeMs;
    record.encoded = encodeClaim({ ...claim, updatedAtMs: BigInt(timeMs) });
    this._byKey.delete(record.tableKey);
    this._byKey.set(record.tableKey, record);
    this._setBodyBytes(record, claim.answer?.body.length ?? 0);
  }

  /** Updates the size of a claim's recorded body and the total. */
  private _setBodyBytes(record: IClaimRecord, bytes: number): void {
    this._totalBodyBytes += bytes - record.bodyBytes;
    record.bodyBytes = bytes;
    if (bytes > 0) {
      this._recordsWithBody.add(record);
    } else {
      this._recordsWithBody.delete(record);
    }
  }

  /** Evicts the bodies that were recorded first until the total is within the limit. */
  private _evictBodies(): void {
    for (const record of this._recordsWithBody) {
      if (this._totalBodyBytes <= this._limits.maxTotalBodyBytes) {
        return;
      }
      const claim = decodeClaim(record);
      if (claim?.answer !== undefined) {
        record.encoded = encodeClaim({ ...claim, answer: copyWithoutBody(claim.answer) });
      }
      this._setBodyBytes(record, 0);
    }
  }
}
