/** Sends versioned changes with compare-and-set. */
import { encodeHex, generateIdentifier } from '../common/Hashes.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { addJitter, sleep } from '../common/Tasks.js';
import type { ControlFailure } from '../control/ControlClient.js';
import type { ChangeAccepted, ChangeConflict } from '../gen/redwingwharf/v1/state_pb.js';
import type { IControlAccess, IItemsCopy } from './ControlAccess.js';
import { sortEdits, type IItemEdit } from './Items.js';
import type { ICommandInput } from './Types.js';

/** Operators seldom race more than once in a row. */
const MAX_EDIT_TRIES = 6;

const EDIT_PAUSE_MS = 100;

/** One change as it is sent; sending it again repeats no effect. */
export interface IChangeInput {
  readonly operationId: string;
  readonly operator: string;
  readonly version: bigint;
  readonly edits: readonly IItemEdit[];
}

/** Another change holds the version. */
export type VersionConflict = IFailure<'conflict'> & { readonly details: IConflictDetails };

export interface IConflictDetails {
  readonly version: number;
  readonly currentVersion: number;
  readonly yours: IChangeContent;
  /** Absent when the version was never taken, or when its change is no longer on record. */
  readonly theirs: IChangeContent | undefined;
}

export interface IChangeContent {
  readonly operator: string;
  readonly operationId: string;
  readonly digest: string;
}

export type PublishFailure = VersionConflict | ControlFailure;

/** A change to current items could not be made from them. */
export type EditFailure = IFailure<'refused'>;

function formatContent(title: string, content: IChangeContent): string {
  return `  ${title}: operator ${content.operator}, operation ${content.operationId}, digest ${content.digest}`;
}

function describeConflict(details: IConflictDetails): string {
  const { version, currentVersion, yours, theirs } = details;
  const state =
    theirs === undefined
      ? `Version ${version} is not the next one; the current version is ${currentVersion}.`
      : `Version ${version} is taken by another change; the current version is ${currentVersion}.`;
  const lines = [state, formatContent('yours', yours)];
  if (theirs !== undefined) {
    lines.push(formatContent('taken by', theirs));
  }
  lines.push('Your change did not run. Compare the contents, then publish without --version.');
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

/** A fresh operation id. */
export function generateOperationId(): string {
  return encodeHex(generateIdentifier());
}

/** Name under which changes are recorded. */
export function getOperator(input: ICommandInput): string {
  return input.getText('operator') ?? process.env.USER ?? process.env.LOGNAME ?? 'operator';
}

/**
 * Sends one change. An unknown outcome is retried with the same operation id, which the control state
 * recognises.
 *
 * @example
 * const done = await publishChange(access, { operationId, operator, version: 8n, edits }, signal);
 */
export async function publishChange(
  access: IControlAccess,
  change: IChangeInput,
  signal: AbortSignal,
): Promise<Result<ChangeAccepted, PublishFailure>> {
  const { operationId, operator, version } = change;
  const items = sortEdits(change.edits).map((edit) => ({ ...edit }));
  const done = await access.execute(
    { case: 'change', value: { operationId, version, operator, items } },
    signal,
    { isIdempotent: true },
  );
  if (done.err) {
    return done;
  }
  const outcome = done.val.body.case === 'change' ? done.val.body.value.outcome : undefined;
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

/** Edits made from a copy, with what the caller wants to know of them. */
export interface IEditPlan<T> {
  readonly edits: readonly IItemEdit[];
  readonly value: T;
}

export interface IEdited<T> {
  readonly value: T;
  /** Absent when there was nothing to change. */
  readonly accepted: ChangeAccepted | undefined;
}

/**
 * Changes current items: reads them, plans the edits and sends them at the next version. When another
 * change takes that version, the plan is made anew; the version then proves that the first one never
 * takes effect.
 */
export async function applyEdits<T>(
  access: IControlAccess,
  operator: string,
  plan: (copy: IItemsCopy) => Result<IEditPlan<T>, EditFailure>,
  signal: AbortSignal,
): Promise<Result<IEdited<T>, PublishFailure | EditFailure>> {
  for (let tries = 1; ; tries += 1) {
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
    const done = await publishChange(access, change, signal);
    if (done.ok) {
      return Ok({ value, accepted: done.val });
    }
    if (done.val.kind !== 'conflict' || tries >= MAX_EDIT_TRIES) {
      return done;
    }
    await sleep(addJitter(EDIT_PAUSE_MS * tries), signal);
  }
}
