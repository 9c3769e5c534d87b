/** Declares every command of the command line with its options, examples and handler module. */
import type { ICommandSpec, IOptionSpec } from './Types.js';

const JSON_OPTION: IOptionSpec = { name: 'json', kind: 'flag', summary: 'Print JSON' };

const SECRET_OPTION: IOptionSpec = {
  name: 'secret-file',
  kind: 'text',
  summary: 'File with the cluster secret',
  isRequired: true,
};

const TIMEOUT_OPTION: IOptionSpec = {
  name: 'timeout',
  kind: 'count',
  summary: 'Seconds until the command gives up (15 if not given)',
};

const CONTROL_OPTION: IOptionSpec = {
  name: 'control',
  kind: 'addresses',
  summary: 'Internal addresses of the control members, comma-separated',
  isRequired: true,
};

const ENTRIES_OPTION: IOptionSpec = {
  name: 'entries',
  kind: 'addresses',
  summary: 'Internal addresses of entries, comma-separated',
};

const OPERATOR_OPTION: IOptionSpec = {
  name: 'operator',
  kind: 'text',
  summary: 'Name recorded with the change (the user name if not given)',
};

/** Options of commands that only read from the control members. */
const READ_OPTIONS = [CONTROL_OPTION, SECRET_OPTION, TIMEOUT_OPTION, JSON_OPTION];

/** Options of commands that change configuration items. */
const CHANGE_OPTIONS = [...READ_OPTIONS, OPERATOR_OPTION];

const CONTROL_EXAMPLE = '--control 10.0.0.1:7001,10.0.0.2:7001 --secret-file cluster-secret';

/** Internal name of `publish --version`, because the argument parser reserves `--version` for itself. */
export const VERSION_OPTION = 'set-version';

export const COMMANDS: readonly ICommandSpec[] = [
  {
    usage: 'check <dir> [...dirs]',
    summary: 'Check the redwingwharf.json files below the given folders, without any connection.',
    options: [JSON_OPTION],
    examples: ['check services accounts'],
    loadHandler: async () => (await import('./commands/Check.js')).checkFiles,
  },
  {
    usage: 'publish <dir> [...dirs]',
    summary: 'Publish the redwingwharf.json files below the given folders as one versioned change.',
    options: [
      ...CHANGE_OPTIONS,
      {
        name: VERSION_OPTION,
        kind: 'count',
        summary: 'Version of the change, also --version; the next one if not given',
      },
      {
        name: 'operation-id',
        kind: 'text',
        summary: 'Id of the operation, to repeat a change; generated if not given',
      },
      {
        name: 'prune',
        kind: 'flag',
        summary: 'Delete services, client accounts and weights that no file declares',
      },
      {
        name: 'delete',
        kind: 'names',
        summary: 'Items to delete, comma-separated, such as service/ledger',
      },
    ],
    examples: [
      `publish services accounts ${CONTROL_EXAMPLE}`,
      `publish services --version 8 --operation-id 5f0c ${CONTROL_EXAMPLE}`,
    ],
    loadHandler: async () => (await import('./commands/Publish.js')).publishFiles,
  },
  {
    usage: 'key give <client-account>',
    summary: 'Issue a key for a client account and print it once.',
    options: CHANGE_OPTIONS,
    examples: [`key give bindery ${CONTROL_EXAMPLE}`],
    loadHandler: async () => (await import('./commands/Key.js')).giveKey,
  },
  {
    usage: 'key withdraw <key-id>',
    summary: 'Withdraw a key; it stops working within seconds.',
    options: CHANGE_OPTIONS,
    examples: [`key withdraw 0123456789ab ${CONTROL_EXAMPLE}`],
    loadHandler: async () => (await import('./commands/Key.js')).withdrawKey,
  },
  {
    usage: 'key list [client-account]',
    summary: 'List keys without their secrets.',
    options: READ_OPTIONS,
    examples: [`key list bindery ${CONTROL_EXAMPLE}`],
    loadHandler: async () => (await import('./commands/Key.js')).listKeys,
  },
  {
    usage: 'account create <id>',
    summary: 'Create a client account.',
    options: [
      ...CHANGE_OPTIONS,
      { name: 'rate', kind: 'number', summary: 'Tokens per second', isRequired: true },
      { name: 'burst', kind: 'number', summary: 'Largest burst in tokens', isRequired: true },
      {
        name: 'services',
        kind: 'names',
        summary: 'Services that the account may use, comma-separated',
        isRequired: true,
      },
      { name: 'priority', kind: 'count', summary: 'Priority from 0 to 9 (5 if not given)' },
      { name: 'replace', kind: 'flag', summary: 'Change the account if it exists' },
    ],
    examples: [
      `account create bindery --rate 5000 --burst 60000 --services assessor,ledger ${CONTROL_EXAMPLE}`,
    ],
    loadHandler: async () => (await import('./commands/Account.js')).createAccount,
  },
  {
    usage: 'account delete <id>',
    summary: 'Delete a client account and withdraw its keys.',
    options: CHANGE_OPTIONS,
    examples: [`account delete bindery ${CONTROL_EXAMPLE}`],
    loadHandler: async () => (await import('./commands/Account.js')).deleteAccount,
  },
  {
    usage: 'account list',
    summary: 'List client accounts.',
    options: READ_OPTIONS,
    examples: [`account list ${CONTROL_EXAMPLE}`],
    loadHandler: async () => (await import('./commands/Account.js')).listAccounts,
  },
  {
    usage: 'status',
    summary: 'Show control members, entries and targets.',
    options: [
      ...READ_OPTIONS,
      ENTRIES_OPTION,
      { name: 'targets', kind: 'flag', summary: 'Show the targets that each entry knows' },
    ],
    examples: [`status ${CONTROL_EXAMPLE} --entries 10.0.0.1:7001,10.0.0.4:7001 --targets`],
    loadHandler: async () => (await import('./commands/Status.js')).showStatus,
  },
  {
    usage: 'explain <request-id>',
    summary: 'Show the decisions that entries made for a request.',
    options: [{ ...ENTRIES_OPTION, isRequired: true }, SECRET_OPTION, TIMEOUT_OPTION, JSON_OPTION],
    examples: ['explain req-42 --entries 10.0.0.1:7001 --secret-file cluster-secret'],
    loadHandler: async () => (await import('./commands/Explain.js')).explainRequest,
  },
  {
    usage: 'drain',
    summary: 'Take entries or targets out of service without interrupting requests.',
    options: [
      ENTRIES_OPTION,
      {
        name: 'sidecar',
        kind: 'addresses',
        summary: 'Internal addresses of sidecars, comma-separated',
      },
      SECRET_OPTION,
      TIMEOUT_OPTION,
      JSON_OPTION,
    ],
    examples: [
      'drain --entries 10.0.0.4:7001 --secret-file cluster-secret',
      'drain --sidecar 10.0.0.9:7002 --secret-file cluster-secret',
    ],
    loadHandler: async () => (await import('./commands/Drain.js')).drainProcesses,
  },
  {
    usage: 'init',
    summary: 'Initialise the data directory of the first control member of a new cluster.',
    options: [
      { name: 'settings', kind: 'text', summary: 'Settings file of the member', isRequired: true },
      JSON_OPTION,
    ],
    examples: ['init --settings /etc/redwingwharf/entry-1.json'],
    loadHandler: async () => (await import('./commands/Init.js')).initialiseDataDirectory,
  },
  {
    usage: 'run',
    summary: 'Run the roles of a settings file.',
    options: [{ name: 'settings', kind: 'text', summary: 'Settings file', isRequired: true }],
    examples: ['run --settings /etc/redwingwharf/entry.json'],
    loadHandler: async () => (await import('./commands/Run.js')).runRoles,
  },
];
