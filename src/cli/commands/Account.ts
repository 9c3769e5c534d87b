/** Commands `account create`, `account delete` and `account list`. */
import { Err, Ok, type Result } from '../../common/Result.js';
import { hasSameBytes } from '../../common/Hashes.js';
import { OPERATOR_SCHEMA, type ClientAccountEntry, type OperatorFile } from '../../gen/operator.js';
import {
  CallerKeySchema,
  ClientAccountSchema,
  ServiceKind,
  ServiceSchema,
} from '../../gen/redwingwharf/v1/state_pb.js';
import { checkSchema } from '../../settings/SchemaCheck.js';
import { reportControlFailure, useControl, type IItemsCopy } from '../ControlAccess.js';
import { reportEditFailure } from '../EditReport.js';
import { decodeItem, decodeItems } from '../ItemReader.js';
import { ITEM_PREFIX, type IItemEdit } from '../Items.js';
import { encodeClientAccount } from '../OperatorFiles.js';
import { applyEdits, getOperator, type EditFailure, type IEditPlan } from '../Publisher.js';
import { printResult, renderTable, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';
import { createWithdrawal } from './Key.js';

const ACCOUNT_POINTER = '/clientAccounts/0';

/** Names of the options in messages, by the JSON pointer of the property that they set in an operator file. */
const OPTION_BY_POINTER: Readonly<Record<string, string>> = {
  '/id': 'the account id',
  '/tokensPerSecond': '--rate',
  '/burstTokens': '--burst',
  '/services': '--services',
  '/priority': '--priority',
};

function refuse(message: string): Err<EditFailure> {
  return Err({ kind: 'refused', message });
}

function nameOption(pointer: string): string {
  const suffix = pointer.slice(ACCOUNT_POINTER.length);
  const propertyPointer = Object.keys(OPTION_BY_POINTER).find((name) => suffix.startsWith(name));
  return propertyPointer === undefined ? suffix : (OPTION_BY_POINTER[propertyPointer] ?? suffix);
}

/** Builds the client account from the options and validates it like an entry of an operator file. */
async function parseAccount(input: ICommandInput): Promise<Result<ClientAccountEntry, string>> {
  const priority = input.getNumber('priority');
  const entry = {
    id: input.positionals[0],
    tokensPerSecond: input.getNumber('rate'),
    burstTokens: input.getNumber('burst'),
    services: input.getList('services'),
    ...(priority === undefined ? {} : { priority }),
  };
  const checked = await checkSchema<OperatorFile>(OPERATOR_SCHEMA, { clientAccounts: [entry] });
  if (checked.err) {
    const lines = checked.val.map(
      ({ pointer, message, remedy }) => `${nameOption(pointer)}: ${message}. ${remedy}`,
    );
    return Err(lines.join('\n'));
  }
  return Ok(checked.val.clientAccounts?.[0] ?? (entry as ClientAccountEntry));
}

/** Returns why the account cannot use one of its services, or undefined if it can use them all. */
function explainBadServices(copy: IItemsCopy, account: ClientAccountEntry): string | undefined {
  for (const name of account.services) {
    const service = decodeItem(copy, ITEM_PREFIX.service + name, ServiceSchema);
    if (service === undefined) {
      return `There is no service "${name}". Publish it first, or correct --services.`;
    }
    const outputTokens = service.kind === ServiceKind.MODEL ? service.defaultOutputTokens : 0;
    if (account.burstTokens <= outputTokens) {
      return `--burst does not cover one request to "${name}", which reserves ${outputTokens} output tokens by default. Raise it above ${outputTokens}.`;
    }
  }
  return undefined;
}

function planCreation(
  copy: IItemsCopy,
  account: ClientAccountEntry,
  mayReplace: boolean,
): Result<IEditPlan<undefined>, EditFailure> {
  const reason = explainBadServices(copy, account);
  if (reason !== undefined) {
    return refuse(reason);
  }
  const key = ITEM_PREFIX.clientAccount + account.id;
  const value = encodeClientAccount(account);
  const current = copy.items.get(key);
  if (current !== undefined && hasSameBytes(current, value)) {
    return Ok({ edits: [], value: undefined });
  }
  if (current !== undefined && !mayReplace) {
    return refuse(
      `Client account "${account.id}" exists with other values. Add --replace to change them.`,
    );
  }
  return Ok({ edits: [{ key, value, delete: false }], value: undefined });
}

/** Creates a client account, or changes it with --replace. */
export async function createAccount(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const parsed = await parseAccount(input);
  if (parsed.err) {
    reportFailure(input, context, { kind: 'bad_account', message: parsed.val });
    return EXIT_CODE.refused;
  }
  const account = parsed.val;
  return useControl(input, context, async (access) => {
    const result = await applyEdits(
      access,
      getOperator(input),
      (copy) => planCreation(copy, account, input.hasFlag('replace')),
      context.signal,
    );
    if (result.err) {
      return reportEditFailure(input, context, result.val);
    }
    const { accepted } = result.val;
    const state = accepted === undefined ? 'exists with these values' : 'stored';
    printResult(input, context, { ...account, changed: accepted !== undefined }, [
      `client account ${account.id} ${state}`,
    ]);
    return EXIT_CODE.ok;
  });
}

/** Plans to delete an account and withdraw its keys, which would otherwise work for a later account. */
function planDeletion(copy: IItemsCopy, id: string): Result<IEditPlan<string[]>, EditFailure> {
  const key = ITEM_PREFIX.clientAccount + id;
  const records = decodeItems(copy, ITEM_PREFIX.key, CallerKeySchema)
    .map((item) => item.value)
    .filter((record) => record.clientAccount === id && !record.withdrawn);
  if (!copy.items.has(key) && records.length === 0) {
    return refuse(`There is no client account "${id}". See "redwingwharf account list".`);
  }
  const deletion: IItemEdit = { key, value: new Uint8Array(), delete: true };
  const edits = [deletion, ...records.map(createWithdrawal)];
  return Ok({ edits, value: records.map((record) => record.keyId) });
}

/** Deletes a client account and withdraws its keys in one change. */
export async function deleteAccount(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const id = input.positionals[0] ?? '';
  return useControl(input, context, async (access) => {
    const result = await applyEdits(
      access,
      getOperator(input),
      (copy) => planDeletion(copy, id),
      context.signal,
    );
    if (result.err) {
      return reportEditFailure(input, context, result.val);
    }
    const withdrawnKeys = result.val.value;
    printResult(input, context, { id, deleted: true, withdrawnKeys }, [
      `client account ${id} deleted, ${withdrawnKeys.length} keys withdrawn`,
    ]);
    return EXIT_CODE.ok;
  });
}

/** Lists client accounts with the number of their active keys. */
export async function listAccounts(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  return useControl(input, context, async (access) => {
    const copy = await access.readItems(context.signal);
    if (copy.err) {
      return reportControlFailure(input, context, copy.val);
    }
    const activeKeys = decodeItems(copy.val, ITEM_PREFIX.key, CallerKeySchema)
      .map((item) => item.value)
      .filter((record) => !record.withdrawn);
    const accounts = decodeItems(copy.val, ITEM_PREFIX.clientAccount, ClientAccountSchema).map(
      ({ value: { id, tokensPerSecond, burstTokens, services, priority } }) => {
        const keyCount = activeKeys.filter((record) => record.clientAccount === id).length;
        return { id, tokensPerSecond, burstTokens, services, priority, activeKeys: keyCount };
      },
    );
    const header = ['CLIENT ACCOUNT', 'TOKENS/S', 'BURST', 'PRIORITY', 'KEYS', 'SERVICES'];
    const rows = accounts.map((account) => [
      account.id,
      String(account.tokensPerSecond),
      String(account.burstTokens),
      String(account.priority),
      String(account.activeKeys),
      account.services.join(','),
    ]);
    printResult(input, context, { accounts }, renderTable(header, rows));
    return EXIT_CODE.ok;
  });
}
