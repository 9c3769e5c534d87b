/**
 * Claims of non-repeatable calls (design 3.5). A claim is committed before its call is dispatched, and
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

/** Logical time for which a claim is kept after its last change. */
export const CLAIM_KEPT_MS = 24 * 60 * 60 * 1000;

/** A full table refuses new claims; it never forgets one early. */
export const MAX_CLAIMS = 100_000;

/** Larger bodies are not kept. */
export const MAX_BODY_BYTES = 64 * 1024;

/** All recorded bodies together. */
export const MAX_BODIES_BYTES = 32 * 1024 * 1024;

/** Limits of one table; tests use smaller ones. */
export interface IClaimLimits {
  readonly claims: number;
  readonly bodiesBytes: number;
}

/** A claim in the table. Encoded claims take less memory than messages and make snapshots cheap. */
interface IRecord {
  readonly id: bigint;
  readonly tableKey: string;
  updatedAtMs: number;
  bodyBytes: number;
  /** A state snapshot with this claim only. Stored states are BOUND, SETTLED and UNKNOWN. */
  encoded: Uint8Array;
}

/** Without an idempotency key each request is its own claim. */
function buildTableKey(key: ClaimKey, requestId: string): string {
  const own = key.idempotencyKey === '' ? { requestId } : { key: key.idempotencyKey };
  return JSON.stringify([key.clientAccount, key.service, own]);
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

function decodeClaim(record: IRecord): ClaimSnapshot | undefined {
  return fromBinary(StateSnapshotSchema, record.encoded).claims[0];
}

function copyWithoutBody(answer: Answer): Answer {
  const { status, headers } = answer;
  return create(AnswerSchema, { status, headers, bodyOmitted: true });
}

/** True when the command repeats the outcome on record. */
function isRecorded(claim: ClaimSnapshot, command: SettleClaimCommand): boolean {
  return (
    command.attempt === claim.attempt &&
    !command.unknown &&
    claim.answer !== undefined &&
    command.answer !== undefined &&
    hasSameAnswer(claim.answer, command.answer)
  );
}

/** The outcome that a settlement brings, if any. */
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
  const isTooLarge = answer.body.length > MAX_BODY_BYTES;
  return { state: ClaimState.SETTLED, answer: isTooLarge ? copyWithoutBody(answer) : answer };
}

function buildSettled(claim: ClaimSnapshot, recorded: boolean): SettleClaimResult {
  const answer = claim.answer === undefined ? {} : { answer: claim.answer };
  return create(SettleClaimResultSchema, { recorded, state: claim.state, ...answer });
}

function buildResult(claim: ClaimSnapshot, state: ClaimState): ClaimResult {
  const { claimId, attempt, binding, answer } = claim;
  // A caller with another body must not see the answer to the recorded one.
  const isShown = answer !== undefined && state !== ClaimState.BODY_MISMATCH;
  return create(ClaimResultSchema, {
    state,
    claimId,
    attempt,
    ...(binding === undefined ? {} : { binding }),
    ...(isShown ? { answer } : {}),
  });
}

export class Claims {
  /** In the order of their last change, so the first one expires first. */
  private readonly _byKey = new Map<string, IRecord>();
  private readonly _byId = new Map<bigint, IRecord>();
  /** Claims with a recorded body, in the order in which they were settled. */
  private readonly _withBody = new Set<IRecord>();
  private _bodiesBytes = 0;

  constructor(
    private readonly _limits: IClaimLimits = { claims: MAX_CLAIMS, bodiesBytes: MAX_BODIES_BYTES },
  ) {}

  public get size(): number {
    return this._byKey.size;
  }

  public get bodiesBytes(): number {
    return this._bodiesBytes;
  }

  /** Answers what is on record, as `claim` does, without changing anything. */
  public get(key: ClaimKey, requestId: string): ClaimResult | undefined {
    const record = this._byKey.get(buildTableKey(key, requestId));
    const claim = record === undefined ? undefined : decodeClaim(record);
    return claim === undefined ? undefined : buildResult(claim, claim.state);
  }

  /**
   * Claims a call. Only with the result GRANTED may the caller dispatch it.
   *
   * A bound claim is granted again in two cases: the command names the current attempt as proved "not
   * run"; or it is the command that got the current attempt (same request, binding and replaced
   * attempt), sent again after a lost answer. An entry dispatches a request only after an answer,
   * so in the second case nothing was dispatched yet.
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
      return this._open(tableKey, command, index, timeMs);
    }
    if (!hasSameBytes(claim.bodyDigest, command.bodyDigest)) {
      return buildResult(claim, ClaimState.BODY_MISMATCH);
    }
    if (claim.state !== ClaimState.BOUND) {
      return buildResult(claim, claim.state);
    }
    if (replacesAttempt === claim.attempt) {
      const attempt = claim.attempt + 1;
      const rebound = { ...claim, binding, attempt, requestId };
      this._update(record, rebound, timeMs);
      return buildResult(rebound, ClaimState.GRANTED);
    }
    const isResend =
      replacesAttempt + 1 === claim.attempt &&
      requestId === claim.requestId &&
      hasSameBinding(binding, claim.binding);
    return buildResult(claim, isResend ? ClaimState.GRANTED : ClaimState.BOUND);
  }

  /**
   * Records the outcome of the current attempt. The first answer stays; "unknown" gives way to an
   * answer, never the other way round.
   */
  public settle(command: SettleClaimCommand, timeMs: number): SettleClaimResult {
    const record = this._byId.get(command.claimId);
    const claim = record === undefined ? undefined : decodeClaim(record);
    if (record === undefined || claim === undefined) {
      return create(SettleClaimResultSchema);
    }
    if (command.attempt !== claim.attempt || claim.answer !== undefined) {
      return buildSettled(claim, isRecorded(claim, command));
    }
    const outcome = decideOutcome(command);
    if (outcome === undefined) {
      return buildSettled(claim, false);
    }
    const settled = { ...claim, ...outcome };
    this._update(record, settled, timeMs);
    this._dropBodies();
    return buildSettled(settled, true);
  }

  /** Forgets claims that were not changed for `CLAIM_KEPT_MS`. */
  public compact(timeMs: number): void {
    for (const record of this._byKey.values()) {
      if (record.updatedAtMs + CLAIM_KEPT_MS > timeMs) {
        return;
      }
      this._byKey.delete(record.tableKey);
      this._byId.delete(record.id);
      this._countBody(record, 0);
    }
  }

  /** Encoded state snapshots of one claim each; appended to an encoded snapshot they add to it. */
  public snapshot(): Uint8Array[] {
    return [...this._byKey.values()].map((record) => record.encoded);
  }

  public restore(snapshots: readonly ClaimSnapshot[]): void {
    this._byKey.clear();
    this._byId.clear();
    this._withBody.clear();
    this._bodiesBytes = 0;
    for (const claim of snapshots) {
      if (claim.key !== undefined) {
        this._insert(buildTableKey(claim.key, claim.requestId), claim);
      }
    }
  }

  private _open(
    tableKey: string,
    command: ClaimCommand,
    index: number,
    timeMs: number,
  ): ClaimResult {
    if (command.replacesAttempt !== 0) {
      // The claim to be bound again was forgotten, and with it whether another attempt ran.
      return create(ClaimResultSchema, { state: ClaimState.UNKNOWN });
    }
    if (this._byKey.size >= this._limits.claims) {
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
    return buildResult(claim, ClaimState.GRANTED);
  }

  private _insert(tableKey: string, claim: ClaimSnapshot): void {
    const record: IRecord = {
      id: claim.claimId,
      tableKey,
      updatedAtMs: Number(claim.updatedAtMs),
      bodyBytes: 0,
      encoded: encodeClaim(claim),
    };
    this._byKey.set(tableKey, record);
    this._byId.set(record.id, record);
    this._countBody(record, claim.answer?.body.length ?? 0);
  }

  /** Stores a changed claim and moves it to the end of the order of expiry. */
  private _update(record: IRecord, claim: ClaimSnapshot, timeMs: number): void {
    record.updatedAtMs = timeMs;
    record.encoded = encodeClaim({ ...claim, updatedAtMs: BigInt(timeMs) });
    this._byKey.delete(record.tableKey);
    this._byKey.set(record.tableKey, record);
    this._countBody(record, claim.answer?.body.length ?? 0);
  }

  private _countBody(record: IRecord, bytes: number): void {
    this._bodiesBytes += bytes - record.bodyBytes;
    record.bodyBytes = bytes;
    if (bytes > 0) {
      this._withBody.add(record);
    } else {
      this._withBody.delete(record);
    }
  }

  /** Drops the oldest bodies until the rest is within the limit. */
  private _dropBodies(): void {
    for (const record of this._withBody) {
      if (this._bodiesBytes <= this._limits.bodiesBytes) {
        return;
      }
      const claim = decodeClaim(record);
      if (claim?.answer !== undefined) {
        record.encoded = encodeClaim({ ...claim, answer: copyWithoutBody(claim.answer) });
      }
      this._countBody(record, 0);
    }
  }
}
