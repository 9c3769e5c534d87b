/** Commands `key give`, `key withdraw` and `key list`. */
import { create, toBinary } from '@bufbuild/protobuf';
import { createCallerKey, isKeyId, type ICreatedCallerKey } from '../../common/CallerKeys.js';
import { Err, Ok, type Result } from '../../common/Result.js';
import { CallerKeySchema, type CallerKey } from '../../gen/redwingwharf/v1/state_pb.js';
import { reportControlFailure, useControl, type IItemsCopy } from '../ControlAccess.js';
import { reportEditFailure } from '../EditReport.js';
import { decodeItem, decodeItems } from '../ItemReader.js';
import { ITEM_PREFIX, type IItemEdit } from '../Items.js';
import { applyEdits, getOperator, type EditFailure, type IEditPlan } from '../Publisher.js';
import { printResult, renderTable, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

function refuse(message: string): Err<EditFailure> {
  return Err({ kind: 'refused', message });
}

/** Creates the edit that stores the record of a key. */
function createKeyEdit(record: CallerKey): IItemEdit {
  const value = toBinary(CallerKeySchema, record);
  return { key: ITEM_PREFIX.key + record.keyId, value, delete: false };
}

/** Creates the edit that marks a key as withdrawn; its record stays, so that its id is never issued again. */
export function createWithdrawal(record: CallerKey): IItemEdit {
  return createKeyEdit(create(CallerKeySchema, { ...record, withdrawn: true }));
}

function planKeyCreation(
  copy: IItemsCopy,
  account: string,
  key: ICreatedCallerKey,
): Result<IEditPlan<undefined>, EditFailure> {
  if (!copy.items.has(ITEM_PREFIX.clientAccount + account)) {
    return refuse(
      `There is no client account "${account}". Publish or create it first; see "redwingwharf account list".`,
    );
  }
  if (copy.items.has(ITEM_PREFIX.key + key.record.keyId)) {
    return refuse('The generated key id is already in use. Run the command again.');
  }
  return Ok({ edits: [createKeyEdit(key.record)], value: undefined });
}

/** Issues a key for a client account and prints its text, which is stored nowhere. */
export async function giveKey(input: ICommandInput, context: ICommandContext): Promise<number> {
  const account = input.positionals[0] ?? '';
  const key = createCallerKey(account);
  const { keyId } = key.record;
  return useControl(input, context, async (access) => {
    const result = await applyEdits(
      access,
      getOperator(input),
      (copy) => planKeyCreation(copy, account, key),
      context.signal,
    );
    if (result.err) {
      if (result.val.kind === 'indeterminate') {
        // The text is not printed: a stored key that nobody knows is harmless until it is withdrawn.
        context.output.warn(
          `key ${keyId} may have been stored; its text is not shown. Run "redwingwharf key withdraw ${keyId}" when the control members are reachable, then issue a new key.`,
        );
      }
      return reportEditFailure(input, context, result.val);
    }
    context.output.warn(`key ${keyId} is shown only once; hand it to the caller`);
    printResult(input, context, { keyId, clientAccount: account, key: key.text }, [key.text]);
    return EXIT_CODE.ok;
  });
}

function planWithdrawal(
  copy: IItemsCopy,
  keyId: string,
): Result<IEditPlan<CallerKey>, EditFailure> {
  const record = decodeItem(copy, ITEM_PREFIX.key + keyId, CallerKeySchema);
  if (record === undefined) {
    return refuse(`There is no key ${keyId}. See "redwingwharf key list".`);
  }
  return Ok({ edits: record.withdrawn ? [] : [createWithdrawal(record)], value: record });
}

/** Withdraws a key. Succeeds if the key is already withdrawn. */
export async function withdrawKey(input: ICommandInput, context: ICommandContext): Promise<number> {
  const keyId = input.positionals[0] ?? '';
  if (!isKeyId(keyId)) {
    const message =
      'A key id has 12 hexadecimal characters: the part of the key between the two underscores. Never give the whole key.';
    reportFailure(input, context, { kind: 'bad_key_id', message });
    return EXIT_CODE.usage;
  }
  return useControl(input, context, async (access) => {
    const result = await applyEdits(
      access,
      getOperator(input),
      (copy) => planWithdrawal(copy, keyId),
      context.signal,
    );
    if (result.err) {
      return reportEditFailure(input, context, result.val);
    }
    const { clientAccount } = result.val.value;
    const wasWithdrawn = result.val.accepted === undefined;
    const state = wasWithdrawn
      ? 'was withdrawn before'
      : 'withdrawn; it stops working within seconds';
    printResult(input, context, { keyId, clientAccount, withdrawn: true, wasWithdrawn }, [
      `key ${keyId} of ${clientAccount} ${state}`,
    ]);
    return EXIT_CODE.ok;
  });
}

/** Lists keys without their salts and hashes. */
export async function listKeys(input: ICommandInput, context: ICommandContext): Promise<number> {
  const account = input.positionals[0];
  return useControl(input, context, async (access) => {
    const copy = await access.readItems(context.signal);
    if (copy.err) {
      return reportControlFailure(input, context, copy.val);
    }
    const keys = decodeItems(copy.val, ITEM_PREFIX.key, CallerKeySchema)
      .map(({ value: { keyId, clientAccount, withdrawn } }) => ({
        keyId,
        clientAccount,
        withdrawn,
      }))
      .filter((key) => account === undefined || key.clientAccount === account);
    const rows = keys.map(({ keyId, clientAccount, withdrawn }) => [
      keyId,
      clientAccount,
      withdrawn ? 'withdrawn' : 'active',
    ]);
    printResult(input, context, { keys }, renderTable(['KEY ID', 'CLIENT ACCOUNT', 'STATE'], rows));
    return EXIT_CODE.ok;
  });
}
