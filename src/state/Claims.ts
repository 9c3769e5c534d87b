/**
 * Claims of non-repeatable calls (design 3.5). A claim is committed before its call is dispatched, and
 * it is bound to one sidecar at a time, so that the call runs at most once.
 */
import { create, toBinary } from '@bufbuild/protobuf';
import { hasSameBytes } from '../common/Hashes.js';
import {
  AnswerSchema,
  ClaimResultSchema,
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

/** Stored states are BOUND, SETTLED and UNKNOWN. */
interface IClaim {
  readonly id: bigint;
  readonly key: ClaimKey;
  readonly bodyDigest: Uint8Array;
  binding: ClaimBinding;
  attempt: number;
  state: ClaimState;
  answer: Answer | undefined;
  updatedAtMs: number;
  requestId: string;
  /** Part of the snapshot, kept until the claim changes. */
  encoded: Uint8Array | undefined;
}

/** Without an idempotency key each request is its own claim. */
function buildTableKey(key: ClaimKey, requestId: string): string {
  const own = key.idempotencyKey === '' ? { requestId } : { key: key.idempotencyKey };
  return JSON.stringify([key.clientAccount, key.service, own]);
}

function hasSameBinding(left: ClaimBinding, right: ClaimBinding): boolean {
  return (
    left.target === right.target && hasSameBytes(left.sidecarIncarnation, right.sidecarIncarnation)
  );
}

function hasSameAnswer(recorded: Answer, answer: Answer): boolean {
  return (
    recorded.status === answer.status &&
    (recorded.bodyOmitted || hasSameBytes(recorded.body, answer.body))
  );
}

export class Claims {
  /** In the order of their last change, so the first one expires first. */
  private readonly _byKey = new Map<string, IClaim>();
  private readonly _byId = new Map<bigint, IClaim>();
  /** Claims with a recorded body, in the order in which they were settled. */
  private readonly _withBody = new Set<IClaim>();
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
    const claim = this._byKey.get(buildTableKey(key, requestId));
    return claim === undefined ? undefined : this._buildResult(claim, claim.state);
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
    const { key, binding } = command;
    if (key === undefined || binding === undefined) {
      return create(ClaimResultSchema);
    }
    const tableKey = buildTableKey(key, command.requestId);
    const claim = this._byKey.get(tableKey);
    if (claim === undefined) {
      return this._open(tableKey, key, binding, command, index, timeMs);
    }
    if (!hasSameBytes(claim.bodyDigest, command.bodyDigest)) {
      return this._buildResult(claim, ClaimState.BODY_MISMATCH);
    }
    if (claim.state !== ClaimState.BOUND) {
      return this._buildResult(claim, claim.state);
    }
    if (command.replacesAttempt === claim.attempt) {
      this._rebind(tableKey, claim, binding, command.requestId, timeMs);
      return this._buildResult(claim, ClaimState.GRANTED);
    }
    const isResend =
      command.replacesAttempt + 1 === claim.attempt &&
      command.requestId === claim.requestId &&
      hasSameBinding(binding, claim.binding);
    return this._buildResult(claim, isResend ? ClaimState.GRANTED : ClaimState.BOUND);
  }

  /**
   * Records the outcome of the current attempt. The first answer stays; "unknown" gives way to an
   * answer, never the other way round.
   */
  public settle(command: SettleClaimCommand, timeMs: number): SettleClaimResult {
    const claim = this._byId.get(command.claimId);
    if (claim === undefined) {
      return create(SettleClaimResultSchema);
    }
    const isCurrent = command.attempt === claim.attempt;
    const recorded = isCurrent && this._recordOutcome(claim, command, timeMs);
    const answer = claim.answer === undefined ? {} : { answer: claim.answer };
    return create(SettleClaimResultSchema, { recorded, state: claim.state, ...answer });
  }

  /** Forgets claims that were not changed for `CLAIM_KEPT_MS`. */
  public compact(timeMs: number): void {
    for (const [tableKey, claim] of this._byKey) {
      if (claim.updatedAtMs + CLAIM_KEPT_MS > timeMs) {
        return;
      }
      this._byKey.delete(tableKey);
      this._byId.delete(claim.id);
      this._removeBody(claim);
    }
  }

  /**
   * Encoded state snapshots of one claim each; appended to an encoded snapshot they add the claims to
   * it. Unchanged claims are not encoded again: encoding a full table takes longer than an election
   * timeout.
   */
  public snapshot(): Uint8Array[] {
    return [...this._byKey.values()].map((claim) => {
      claim.encoded ??= this._encode(claim);
      return claim.encoded;
    });
  }

  public restore(snapshots: readonly ClaimSnapshot[]): void {
    this._byKey.clear();
    this._byId.clear();
    this._withBody.clear();
    this._bodiesBytes = 0;
    for (const saved of snapshots) {
      if (saved.key !== undefined && saved.binding !== undefined) {
        this._restoreClaim(saved, saved.key, saved.binding);
      }
    }
  }

  private _restoreClaim(saved: ClaimSnapshot, key: ClaimKey, binding: ClaimBinding): void {
    const claim: IClaim = {
      id: saved.claimId,
      key,
      bodyDigest: saved.bodyDigest,
      binding,
      attempt: saved.attempt,
      state: saved.state,
      answer: saved.answer,
      updatedAtMs: Number(saved.updatedAtMs),
      requestId: saved.requestId,
      encoded: undefined,
    };
    this._byKey.set(buildTableKey(key, claim.requestId), claim);
    this._byId.set(claim.id, claim);
    this._addBody(claim);
  }

  private _encode(claim: IClaim): Uint8Array {
    const { id, key, bodyDigest, binding, attempt, state, answer, updatedAtMs, requestId } = claim;
    const common = { key, bodyDigest, binding, attempt, state, requestId };
    const outcome = answer === undefined ? {} : { answer };
    const saved = { ...common, ...outcome, claimId: id, updatedAtMs: BigInt(updatedAtMs) };
    return toBinary(StateSnapshotSchema, create(StateSnapshotSchema, { claims: [saved] }));
  }

  private _open(
    tableKey: string,
    key: ClaimKey,
    binding: ClaimBinding,
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
    const claim: IClaim = {
      id: BigInt(index),
      key,
      bodyDigest: command.bodyDigest,
      binding,
      attempt: 1,
      state: ClaimState.BOUND,
      answer: undefined,
      updatedAtMs: timeMs,
      requestId: command.requestId,
      encoded: undefined,
    };
    this._byKey.set(tableKey, claim);
    this._byId.set(claim.id, claim);
    return this._buildResult(claim, ClaimState.GRANTED);
  }

  private _rebind(
    tableKey: string,
    claim: IClaim,
    binding: ClaimBinding,
    requestId: string,
    timeMs: number,
  ): void {
    claim.binding = binding;
    claim.attempt += 1;
    claim.requestId = requestId;
    this._touch(tableKey, claim, timeMs);
  }

  /** True when the command's outcome is the one on record afterwards. */
  private _recordOutcome(claim: IClaim, command: SettleClaimCommand, timeMs: number): boolean {
    const { answer, unknown } = command;
    if (claim.answer !== undefined) {
      return !unknown && answer !== undefined && hasSameAnswer(claim.answer, answer);
    }
    if (unknown) {
      claim.state = ClaimState.UNKNOWN;
    } else if (answer !== undefined) {
      claim.state = ClaimState.SETTLED;
      claim.answer = this._limitBody(answer);
      this._addBody(claim);
      this._dropBodies();
    } else {
      return false;
    }
    this._touch(buildTableKey(claim.key, claim.requestId), claim, timeMs);
    return true;
  }

  private _limitBody(answer: Answer): Answer {
    const isTooLarge = answer.body.length > MAX_BODY_BYTES;
    return isTooLarge ? this._copyWithoutBody(answer) : answer;
  }

  private _copyWithoutBody(answer: Answer): Answer {
    const { status, headers } = answer;
    return create(AnswerSchema, { status, headers, bodyOmitted: true });
  }

  private _addBody(claim: IClaim): void {
    const bytes = claim.answer?.body.length ?? 0;
    if (bytes > 0) {
      this._withBody.add(claim);
      this._bodiesBytes += bytes;
    }
  }

  private _removeBody(claim: IClaim): void {
    if (this._withBody.delete(claim)) {
      this._bodiesBytes -= claim.answer?.body.length ?? 0;
    }
  }

  /** Drops the oldest bodies until the rest is within the limit. */
  private _dropBodies(): void {
    for (const claim of this._withBody) {
      if (this._bodiesBytes <= this._limits.bodiesBytes) {
        return;
      }
      this._removeBody(claim);
      if (claim.answer !== undefined) {
        claim.answer = this._copyWithoutBody(claim.answer);
        claim.encoded = undefined;
      }
    }
  }

  /** Moves a changed claim to the end of the order of expiry. */
  private _touch(tableKey: string, claim: IClaim, timeMs: number): void {
    claim.updatedAtMs = timeMs;
    claim.encoded = undefined;
    this._byKey.delete(tableKey);
    this._byKey.set(tableKey, claim);
  }

  private _buildResult(claim: IClaim, state: ClaimState): ClaimResult {
    // A caller with another body must not see the answer to the recorded one.
    const isMismatch = state === ClaimState.BODY_MISMATCH;
    const answer = claim.answer === undefined || isMismatch ? {} : { answer: claim.answer };
    return create(ClaimResultSchema, {
      state,
      claimId: claim.id,
      attempt: claim.attempt,
      binding: claim.binding,
      ...answer,
    });
  }
}
