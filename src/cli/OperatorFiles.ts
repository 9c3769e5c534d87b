/** Finds the operator files below folders, checks them together and merges them into configuration items. */
import type { Dirent } from 'node:fs';
import { readdir } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { create, toBinary } from '@bufbuild/protobuf';
import { describeError } from '../common/Log.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import {
  OPERATOR_SCHEMA,
  type ClientAccountEntry,
  type OperatorFile,
  type ServiceEntry,
  type WeightsEntry,
} from '../gen/operator.js';
import {
  ClientAccountSchema,
  DesiredWeightsSchema,
  ServiceKind,
  ServiceSchema,
} from '../gen/redwingwharf/v1/state_pb.js';
import { addPosition, readJsonFile, type IJsonFile } from '../settings/JsonFile.js';
import { formatProblem, type IProblem } from '../settings/Types.js';
import { digestEdits, ITEM_PREFIX, sortEdits, type IItemEdit } from './Items.js';
import { checkDeclarations, type IDeclarations, type IDeclaredEntry } from './OperatorChecks.js';

/** Name of the files that declare services, client accounts and weights. */
export const OPERATOR_FILE_NAME = 'redwingwharf.json';

/** The merged content of all operator files. */
export interface IOperatorItems {
  readonly files: readonly string[];
  /** Sorted by key. */
  readonly items: readonly IItemEdit[];
  /** Digest of the items, independent of how they are distributed over files. */
  readonly digest: Uint8Array;
}

/** Why the files were not merged. The message lists all problems, one per line. */
export type OperatorFilesFailure = IFailure<'no_files' | 'bad_files'> & {
  readonly problems: readonly IProblem[];
};

type OperatorSource = IJsonFile<OperatorFile>;

function createFailure(
  kind: OperatorFilesFailure['kind'],
  problems: readonly IProblem[],
): OperatorFilesFailure {
  return { kind, message: problems.map(formatProblem).join('\n'), problems };
}

function isSearchedFolder(entry: Dirent): boolean {
  return entry.isDirectory() && entry.name !== 'node_modules' && !entry.name.startsWith('.');
}

/** Adds the operator files below a folder to `files`. Symbolic links are not followed: they can form cycles. */
async function collectFiles(
  folder: string,
  files: Set<string>,
  problems: IProblem[],
): Promise<void> {
  let entries: Dirent[];
  try {
    entries = await readdir(folder, { withFileTypes: true });
  } catch (error) {
    const message = `the folder cannot be read (${describeError(error)})`;
    const remedy = 'Check the path and its permissions.';
    problems.push({ file: folder, pointer: '', message, remedy });
    return;
  }
  for (const entry of entries) {
    const path = join(folder, entry.name);
    if (entry.isFile() && entry.name === OPERATOR_FILE_NAME) {
      files.add(path);
    } else if (isSearchedFolder(entry)) {
      await collectFiles(path, files, problems);
    }
  }
}

function listDeclared<T>(
  sources: readonly OperatorSource[],
  section: keyof OperatorFile,
  getEntries: (file: OperatorFile) => readonly T[] | undefined,
): IDeclaredEntry<T>[] {
  return sources.flatMap(({ file, value }) =>
    (getEntries(value) ?? []).map((entry, index) => {
      return { file, pointer: `/${section}/${index}`, value: entry };
    }),
  );
}

function collectDeclarations(sources: readonly OperatorSource[]): IDeclarations {
  return {
    services: listDeclared(sources, 'services', (file) => file.services),
    clientAccounts: listDeclared(sources, 'clientAccounts', (file) => file.clientAccounts),
    weights: listDeclared(sources, 'weights', (file) => file.weights),
  };
}

function findProblems(
  sources: readonly OperatorSource[],
  declarations: IDeclarations,
): readonly IProblem[] {
  const problems: IProblem[] = [];
  const texts = new Map(sources.map((source) => [source.file, source.text]));
  checkDeclarations(declarations, ({ file, pointer }, suffix, message, remedy) => {
    const problem = { pointer: `${pointer}${suffix}`, message, remedy };
    problems.push(addPosition(file, texts.get(file) ?? '', problem));
  });
  return problems;
}

function encodeService(service: ServiceEntry): Uint8Array {
  const message = create(ServiceSchema, {
    name: service.name,
    kind: service.kind === 'model' ? ServiceKind.MODEL : ServiceKind.PLAIN,
    models: service.models ?? [],
    routes: (service.routes ?? []).map((route) => ({
      path: route.path,
      methods: route.methods ?? [],
      open: route.open ?? false,
      nonRepeatable: route.nonRepeatable ?? false,
    })),
    defaultOutputTokens: service.defaultOutputTokens ?? 0,
    timeoutMs: service.timeoutMs ?? 0,
  });
  return toBinary(ServiceSchema, message);
}

/** Encodes the item of a client account. Services are sorted, so that their order does not change the value. */
export function encodeClientAccount(account: ClientAccountEntry): Uint8Array {
  const message = create(ClientAccountSchema, {
    id: account.id,
    tokensPerSecond: account.tokensPerSecond,
    burstTokens: account.burstTokens,
    services: [...account.services].sort(),
    priority: account.priority ?? 0,
  });
  return toBinary(ClientAccountSchema, message);
}

function encodeWeights({ model, version }: WeightsEntry): Uint8Array {
  return toBinary(DesiredWeightsSchema, create(DesiredWeightsSchema, { model, version }));
}

function convertToItems(declarations: IDeclarations): IItemEdit[] {
  const edit = (key: string, value: Uint8Array): IItemEdit => ({ key, value, delete: false });
  return sortEdits([
    ...declarations.services.map(({ value }) =>
      edit(ITEM_PREFIX.service + value.name, encodeService(value)),
    ),
    ...declarations.clientAccounts.map(({ value }) =>
      edit(ITEM_PREFIX.clientAccount + value.id, encodeClientAccount(value)),
    ),
    ...declarations.weights.map(({ value }) =>
      edit(ITEM_PREFIX.weights + value.model, encodeWeights(value)),
    ),
  ]);
}

async function readSources(
  files: readonly string[],
  problems: IProblem[],
): Promise<OperatorSource[]> {
  const sources: OperatorSource[] = [];
  for (const file of files) {
    const read = await readJsonFile<OperatorFile>(file, OPERATOR_SCHEMA);
    if (read.ok) {
      sources.push(read.val);
    } else {
      problems.push(...read.val.problems);
    }
  }
  return sources;
}

/**
 * Reads every `redwingwharf.json` below the folders, checks all of them together and merges them. Symbolic
 * links, `node_modules` and folders whose name begins with a dot are skipped.
 *
 * @example
 * const loaded = await loadOperatorFiles(['services']);
 */
export async function loadOperatorFiles(
  folders: readonly string[],
): Promise<Result<IOperatorItems, OperatorFilesFailure>> {
  const filePaths = new Set<string>();
  const readProblems: IProblem[] = [];
  for (const folder of folders) {
    await collectFiles(resolve(folder), filePaths, readProblems);
  }
  const files = [...filePaths].sort();
  const sources = await readSources(files, readProblems);
  if (readProblems.length > 0) {
    return Err(createFailure('bad_files', readProblems));
  }
  if (files.length === 0) {
    const message = `no ${OPERATOR_FILE_NAME} was found`;
    const remedy = 'Pass the folders that contain the files.';
    const file = folders.join(', ');
    return Err(createFailure('no_files', [{ file, pointer: '', message, remedy }]));
  }
  const declarations = collectDeclarations(sources);
  const problems = findProblems(sources, declarations);
  if (problems.length > 0) {
    return Err(createFailure('bad_files', problems));
  }
  const items = convertToItems(declarations);
  return Ok({ files, items, digest: digestEdits(items) });
}
