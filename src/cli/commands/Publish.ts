/** Command `publish`: sends the content of the operator files as one versioned change. */
import { encodeHex } from '../../common/Hashes.js';
import { Err, Ok, type Result } from '../../common/Result.js';
import type { ControlFailure } from '../../control/ControlClient.js';
import { CallerKeySchema } from '../../gen/redwingwharf/v1/state_pb.js';
import {
  reportControlFailure,
  useControl,
  type IControlAccess,
  type IItemsCopy,
} from '../ControlAccess.js';
import { DECLARED_PREFIXES, digestEdits, ITEM_PREFIX, type IItemEdit } from '../Items.js';
import { decodeItems } from '../ItemReader.js';
import { loadOperatorFiles } from '../OperatorFiles.js';
import {
  generateOperationId,
  getOperator,
  publishChange,
  type IChangeInput,
} from '../Publisher.js';
import { printResult, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

function isDeclarable(key: string): boolean {
  return DECLARED_PREFIXES.some((prefix) => key.startsWith(prefix) && key.length > prefix.length);
}

function createDeletion(key: string): IItemEdit {
  return { key, value: new Uint8Array(), delete: true };
}

/** Lists the current items that no file declares. Caller keys are in no file; they are kept. */
function listUndeclared(copy: IItemsCopy, edits: readonly IItemEdit[]): string[] {
  const declared = new Set(edits.map((edit) => edit.key));
  return [...copy.items.keys()].filter((key) => isDeclarable(key) && !declared.has(key)).sort();
}

/** Warns of active keys of deleted accounts: they would work again if the account were created again. */
function reportActiveKeys(
  context: ICommandContext,
  copy: IItemsCopy,
  deleted: readonly string[],
): void {
  for (const { value } of decodeItems(copy, ITEM_PREFIX.key, CallerKeySchema)) {
    if (!value.withdrawn && deleted.includes(ITEM_PREFIX.clientAccount + value.clientAccount)) {
      context.output.warn(
        `key ${value.keyId} of deleted account ${value.clientAccount} is not withdrawn; run "redwingwharf key withdraw ${value.keyId}"`,
      );
    }
  }
}

/** Returns why one of the `--delete` keys is not allowed, or undefined if all are. */
function explainBadDeletions(
  deletions: readonly string[],
  items: readonly IItemEdit[],
): string | undefined {
  for (const key of deletions) {
    if (!isDeclarable(key)) {
      return `--delete ${key}: only ${DECLARED_PREFIXES.join('NAME, ')}NAME can be deleted; use "key withdraw" for keys`;
    }
    if (items.some((item) => item.key === key)) {
      return `--delete ${key}: a file declares it; remove it there first`;
    }
  }
  return undefined;
}

/**
 * Determines the version and the edits of the change. Reads the current items if no version was given, and for
 * `--prune`.
 */
async function prepareChange(
  input: ICommandInput,
  context: ICommandContext,
  access: IControlAccess,
  edits: readonly IItemEdit[],
): Promise<Result<Pick<IChangeInput, 'version' | 'edits'>, ControlFailure>> {
  const givenVersion = input.getNumber('set-version');
  const isPruning = input.hasFlag('prune');
  if (givenVersion !== undefined && !isPruning) {
    return Ok({ version: BigInt(givenVersion), edits });
  }
  const copy = await access.readItems(context.signal);
  if (copy.err) {
    return copy;
  }
  const nextVersion = copy.val.version + 1n;
  if (!isPruning) {
    return Ok({ version: nextVersion, edits });
  }
  if (givenVersion !== undefined && BigInt(givenVersion) !== nextVersion) {
    // `--prune` derives the deletions from the current items, so they are valid only for the next version.
    const message = `--prune compares with the current version ${copy.val.version}, so the next version is ${nextVersion}. To repeat a change, use the --delete list that was printed with it.`;
    return Err({ kind: 'refused', message });
  }
  const undeclared = listUndeclared(copy.val, edits);
  reportActiveKeys(context, copy.val, undeclared);
  return Ok({ version: nextVersion, edits: [...edits, ...undeclared.map(createDeletion)] });
}

/** Prints the options that repeat a change, before it is sent: its answer may be lost. */
function printRepeatHint(context: ICommandContext, change: IChangeInput): void {
  const deleted = change.edits.filter((edit) => edit.delete).map((edit) => edit.key);
  const deletions = deleted.length === 0 ? '' : ` --delete ${deleted.join(',')}`;
  context.output.warn(
    `to repeat this change: --operation-id ${change.operationId} --version ${change.version} --operator ${change.operator}${deletions}`,
  );
}

async function sendChange(
  input: ICommandInput,
  context: ICommandContext,
  access: IControlAccess,
  edits: readonly IItemEdit[],
): Promise<number> {
  const operationId = input.getText('operation-id') ?? generateOperationId();
  context.output.warn(`operation id ${operationId}`);
  const prepared = await prepareChange(input, context, access, edits);
  if (prepared.err) {
    return reportControlFailure(input, context, prepared.val);
  }
  const change: IChangeInput = { operationId, operator: getOperator(input), ...prepared.val };
  printRepeatHint(context, change);
  const result = await publishChange(access, change, context.signal);
  if (result.err) {
    if (result.val.kind === 'conflict') {
      reportFailure(input, context, result.val, { ...result.val.details });
      return EXIT_CODE.conflict;
    }
    return reportControlFailure(input, context, result.val);
  }
  const { replayed } = result.val;
  const [version, revision] = [Number(result.val.version), Number(result.val.revision)];
  const deleted = change.edits.filter((edit) => edit.delete).map((edit) => edit.key);
  const digest = encodeHex(digestEdits(change.edits));
  const items = change.edits.length - deleted.length;
  const data = { version, revision, replayed, operationId, digest, items, deleted };
  const state = replayed ? 'had been accepted before' : 'accepted';
  printResult(input, context, data, [
    `version ${version} ${state}: ${items} items, ${deleted.length} deleted, revision ${revision}`,
    ...deleted.map((key) => `deleted ${key}`),
  ]);
  return EXIT_CODE.ok;
}

/** Validates the operator files and publishes them as one change. */
export async function publishFiles(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const loaded = await loadOperatorFiles(input.positionals);
  if (loaded.err) {
    reportFailure(input, context, loaded.val, { problems: loaded.val.problems });
    return EXIT_CODE.refused;
  }
  const deletions = [...new Set(input.getList('delete'))];
  const reason = explainBadDeletions(deletions, loaded.val.items);
  if (reason !== undefined) {
    reportFailure(input, context, { kind: 'bad_deletion', message: reason });
    return EXIT_CODE.refused;
  }
  const edits = [...loaded.val.items, ...deletions.map(createDeletion)];
  return useControl(input, context, (access) => sendChange(input, context, access, edits));
}
