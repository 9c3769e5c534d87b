/** `key give`, `key withdraw` and `key list`. */
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

/** Edit that stores the record of a key. */
function createKeyEdit(record: CallerKey): IItemEdit {
  const value = toBinary(CallerKeySchema, record);
  return { key: ITEM_PREFIX.key + record.keyId, value, delete: false };
}

/** Edit that keeps the record of a key as withdrawn, so that the key id is never given again. */
export function createWithdrawal(record: CallerKey): IItemEdit {
  return createKeyEdit(create(CallerKeySchema, { ...record, withdrawn: true }));
}

function planGift(
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
    return refuse('The random key id is taken. Run the command again.');
  }
  return Ok({ edits: [createKeyEdit(key.record)], value: undefined });
}

/** Issues a key for a client account; its text appears only here. */
export async function giveKey(input: ICommandInput, context: ICommandContext): Promise<number> {
  const account = input.positionals[0] ?? '';
  const key = createCallerKey(account);
  const { keyId } = key.record;
  return useControl(input, context, async (access) => {
    const done = await applyEdits(
      access,
      getOperator(input),
      (copy) => planGift(copy, account, key),
      context.signal,
    );
    if (done.err) {
      if (done.val.kind === 'indeterminate') {
        // The text is withheld: a key that nobody has is harmless until it is withdrawn.
        context.output.warn(
          `key ${keyId} may have been stored; its text is not shown. Run "redwingwharf key withdraw ${keyId}" when control answers, then give a new key.`,
        );
      }
      return reportEditFailure(input, context, done.val);
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

/** Withdraws a key. Withdrawing it again is no failure. */
export async function withdrawKey(input: ICommandInput, context: ICommandContext): Promise<number> {
  const keyId = input.positionals[0] ?? '';
  if (!isKeyId(keyId)) {
    const message =
      'A key id has 12 hexadecimal characters: the part of the key between the two underscores. Never give the whole key.';
    reportFailure(input, context, { kind: 'bad_key_id', message });
    return EXIT_CODE.usage;
  }
  return useControl(input, context, async (access) => {
    const done = await applyEdits(
      access,
      getOperator(input),
      (copy) => planWithdrawal(copy, keyId),
      context.signal,
    );
    if (done.err) {
      return reportEditFailure(input, context, done.val);
    }
    const { clientAccount } = done.val.value;
    const wasWithdrawn = done.val.accepted === undefined;
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
