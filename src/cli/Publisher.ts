/** Sends changes to the control members. A change is accepted only at the next version (compare-and-set). */
import { encodeHex, generateIdentifier } from '../common/Hashes.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { addJitter, sleep } from '../common/Tasks.js';
import type { ControlFailure } from '../control/ControlClient.js';
import type { ChangeAccepted, ChangeConflict } from '../gen/redwingwharf/v1/state_pb.js';
import type { IControlAccess, IItemsCopy } from './ControlAccess.js';
import { sortEdits, type IItemEdit } from './Items.js';
import type { ICommandInput } from './Types.js';

/** A conflict means that another operator's change was accepted first; several in a row are rare. */
const MAX_EDIT_ATTEMPTS = 6;

const EDIT_BACKOFF_MS = 100;

/** One change as it is sent. Sending it again has no further effect, because the operation id identifies it. */
export interface IChangeInput {
  readonly operationId: string;
  readonly operator: string;
  readonly version: bigint;
  readonly edits: readonly IItemEdit[];
}

/** Another change was accepted at the version, or the version is not the next one. */
export type VersionConflict = IFailure<'conflict'> & { readonly details: IConflictDetails };

export interface IConflictDetails {
  readonly version: number;
  readonly currentVersion: number;
  readonly yours: IChangeSummary;
  /** Undefined when no change has this version, or when its change is no longer recorded. */
  readonly theirs: IChangeSummary | undefined;
}

export interface IChangeSummary {
  readonly operator: string;
  readonly operationId: string;
  readonly digest: string;
}

export type PublishFailure = VersionConflict | ControlFailure;

/** The requested edit is not possible with the current items. */
export type EditFailure = IFailure<'refused'>;

function formatChangeSummary(title: string, summary: IChangeSummary): string {
  return `  ${title}: operator ${summary.operator}, operation ${summary.operationId}, digest ${summary.digest}`;
}

function describeConflict(details: IConflictDetails): string {
  const { version, currentVersion, yours, theirs } = details;
  const state =
    theirs === undefined
      ? `Version ${version} is not the next one; the current version is ${currentVersion}.`
      : `Version ${version} is taken by another change; the current version is ${currentVersion}.`;
  const lines = [state, formatChangeSummary('yours', yours)];
  if (theirs !== undefined) {
    lines.push(formatChangeSummary('taken by', theirs));
  }
  lines.push('Your change was not applied. Compare the contents, then publish without --version.');
  return lines.join('\n');
}

function createConflict(change: IChangeInput, conflict: ChangeConflict): VersionConflict {
  const { takenBy } = conflict;
  const details: IConflictDetails = {
    version: Number(change.version),
    currentVersion: Number(conflict.currentVersion),
    yours: {
      operator: change.operator,
      operationId: change.operationId,
      digest: encodeHex(conflict.yourDigest),
    },
    theirs: takenBy && {
      operator: takenBy.operator,
      operationId: takenBy.operationId,
      digest: encodeHex(takenBy.digest),
    },
  };
  return { kind: 'conflict', message: describeConflict(details), details };
}

/** Generates a random operation id. */
export function generateOperationId(): string {
  return encodeHex(generateIdentifier());
}

/** Operator name that is recorded with a change: `--operator`, else the user name. */
export function getOperator(input: ICommandInput): string {
  return input.getText('operator') ?? process.env.USER ?? process.env.LOGNAME ?? 'operator';
}

/**
 * Sends one change. After an unknown outcome it is sent again with the same operation id: the control state
 * recognises the id and does not apply the change twice.
 *
 * @example
 * const result = await publishChange(access, { operationId, operator, version: 8n, edits }, signal);
 */
export async function publishChange(
  access: IControlAccess,
  change: IChangeInput,
  signal: AbortSignal,
): Promise<Result<ChangeAccepted, PublishFailure>> {
  const { operationId, operator, version } = change;
  const items = sortEdits(change.edits).map((edit) => ({ ...edit }));
  const result = await access.execute(
    { case: 'change', value: { operationId, version, operator, items } },
    signal,
    { isIdempotent: true },
  );
  if (result.err) {
    return result;
  }
  const outcome = result.val.body.case === 'change' ? result.val.body.value.outcome : undefined;
  switch (outcome?.case) {
    case 'accepted':
      return Ok(outcome.value);
    case 'conflict':
      return Err(createConflict(change, outcome.value));
    case undefined: {
      const message = 'The answer has no outcome. Check that all processes run the same version.';
      return Err({ kind: 'indeterminate', message });
    }
  }
}

/** Edits planned from a copy of the items, with a value for the caller of `applyEdits`. */
export interface IEditPlan<T> {
  readonly edits: readonly IItemEdit[];
  readonly value: T;
}

export interface IEditResult<T> {
  readonly value: T;
  /** Undefined when there was nothing to change. */
  readonly accepted: ChangeAccepted | undefined;
}

/**
 * Changes the current items: reads them, plans the edits and sends them at the next version. After a version
 * conflict it plans again from newly read items. That is safe: another change has the version, so the first
 * attempt can never take effect.
 */
export async function applyEdits<T>(
  access: IControlAccess,
  operator: string,
  plan: (copy: IItemsCopy) => Result<IEditPlan<T>, EditFailure>,
  signal: AbortSignal,
): Promise<Result<IEditResult<T>, PublishFailure | EditFailure>> {
  for (let attempt = 1; ; attempt += 1) {
    const copy = await access.readItems(signal);
    if (copy.err) {
      return copy;
    }
    const planned = plan(copy.val);
    if (planned.err) {
      return planned;
    }
    const { edits, value } = planned.val;
    if (edits.length === 0) {
      return Ok({ value, accepted: undefined });
    }
    const version = copy.val.version + 1n;
    const change = { operationId: generateOperationId(), operator, version, edits };
    const result = await publishChange(access, change, signal);
    if (result.ok) {
      return Ok({ value, accepted: result.val });
    }
    if (result.val.kind !== 'conflict' || attempt >= MAX_EDIT_ATTEMPTS) {
      return result;
    }
    await sleep(addJitter(EDIT_BACKOFF_MS * attempt), signal);
  }
}
