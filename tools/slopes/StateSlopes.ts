/**
 * Measures the replicated state: client accounts, grants, claims, configuration changes, snapshots.
 */
import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import {
  ClientAccountSchema,
  CommandSchema,
  type SyncGrantsCommand,
} from '../../src/gen/redwingwharf/v1/state_pb.js';
import { GrantWallet } from '../../src/admission/GrantWallet.js';
import { ControlState } from '../../src/state/ControlState.js';
import { computeUpperMedian, measureKilobytes, measureUs, type ISlope } from './Measure.js';

type CommandBody = NonNullable<MessageInitShape<typeof CommandSchema>['body']>;

const ACCOUNT_COUNTS = [100, 960, 4_000] as const;
const EXCHANGED_ACCOUNT_COUNTS = [1, 10, 100, 960] as const;
const CLAIM_COUNTS = [1_000, 10_000, 40_000] as const;
const EXCHANGE_SAMPLES = 50;
const COMMANDS_PER_STEP = 1_000;

/** Applies commands to a state, with increasing log index and time. */
class CommandApplier {
  public readonly state = new ControlState();
  private _index = 0;

  public apply(body: CommandBody): void {
    this._index += 1;
    const command = create(CommandSchema, { timeMs: BigInt(this._index), body });
    this.state.apply(toBinary(CommandSchema, command), this._index);
  }

  /** Encodes a command in advance, so that a measurement contains its application only. */
  public encode(body: CommandBody): Uint8Array {
    return toBinary(CommandSchema, create(CommandSchema, { timeMs: BigInt(this._index), body }));
  }

  public applyEncoded(command: Uint8Array): void {
    this._index += 1;
    this.state.apply(command, this._index);
  }
}

function buildAccountChange(index: number, version: number): CommandBody {
  const id = `account-${index}`;
  const account = create(ClientAccountSchema, {
    id,
    tokensPerSecond: 1e6,
    burstTokens: 1e7,
    services: ['service-1', 'service-2'],
  });
  return {
    case: 'change',
    value: {
      operationId: `operation-${version}`,
      version: BigInt(version),
      operator: 'operator',
      items: [{ key: `clientAccount/${id}`, value: toBinary(ClientAccountSchema, account) }],
    },
  };
}

function createApplierWithAccounts(accounts: number): CommandApplier {
  const applier = new CommandApplier();
  for (let index = 0; index < accounts; index++) {
    applier.apply(buildAccountChange(index, index + 1));
  }
  return applier;
}

function buildExchange(accounts: number, sequence: number): CommandBody {
  return {
    case: 'syncGrants',
    value: {
      instance: 'entry-1',
      incarnation: new Uint8Array(16),
      sequence: BigInt(sequence),
      requests: Array.from({ length: accounts }, (_, index) => ({
        clientAccount: `account-${index}`,
        wantedTokens: 1_000,
      })),
    },
  };
}

function buildClaim(index: number): CommandBody {
  return {
    case: 'claim',
    value: {
      key: {
        clientAccount: 'account-1',
        service: 'order-desk',
        idempotencyKey: `order-${index}-0123456789`,
      },
      bodyDigest: new Uint8Array(32).fill(index % 256),
      binding: {
        target: 'desk-1',
        sidecarIncarnation: new Uint8Array(16),
        sidecarAddress: '10.0.0.1:9001',
      },
      requestId: `0f4f6d4e-51f6-4f4e-9d7e-${String(index).padStart(12, '0')}`,
    },
  };
}

/** Measures applying a grant exchange of that many client accounts, in microseconds. */
function measureExchangeApply(accounts: number): number {
  const applier = createApplierWithAccounts(960);
  let sequence = 0;
  return computeUpperMedian(
    Array.from({ length: EXCHANGE_SAMPLES }, () => {
      sequence += 1;
      const command = applier.encode(buildExchange(accounts, sequence));
      return measureUs(1, () => {
        applier.applyEncoded(command);
      });
    }),
  );
}

function createApplierWithClaims(count: number): CommandApplier {
  const applier = createApplierWithAccounts(1);
  for (let index = 0; index < count; index++) {
    applier.apply(buildClaim(index));
  }
  return applier;
}

/** Measures encoding and applying a claim to a state that holds `count` claims, in microseconds. */
function measureClaimApply(count: number): number {
  const applier = createApplierWithClaims(count);
  let claimIndex = count;
  return measureUs(COMMANDS_PER_STEP, () => {
    for (let index = 0; index < COMMANDS_PER_STEP; index++) {
      claimIndex += 1;
      applier.applyEncoded(applier.encode(buildClaim(claimIndex)));
    }
  });
}

/** Measures encoding and applying a change of one client account, in microseconds. */
function measureChangeApply(accounts: number): number {
  const applier = createApplierWithAccounts(accounts);
  let version = accounts;
  return measureUs(COMMANDS_PER_STEP, () => {
    for (let index = 0; index < COMMANDS_PER_STEP; index++) {
      version += 1;
      applier.apply(buildAccountChange(index % accounts, version));
    }
  });
}

/** Creates a wallet in which a request of each client account waits for tokens. */
function createWallet(accounts: number): GrantWallet {
  const wallet = new GrantWallet({ instance: 'entry-1', incarnation: new Uint8Array(16) });
  for (let index = 0; index < accounts; index++) {
    wallet.addWaiter(`account-${index}`, 1_000);
  }
  return wallet;
}

/** Builds and encodes the next grant exchange of the wallet. */
function encodeExchange(wallet: GrantWallet): SyncGrantsCommand | undefined {
  const command = wallet.buildSync(0);
  if (command !== undefined) {
    toBinary(
      CommandSchema,
      create(CommandSchema, { body: { case: 'syncGrants', value: command } }),
    );
  }
  return command;
}

/** Measures building and encoding a grant exchange at an entry, in microseconds. */
function measureExchangeBuild(accounts: number): number {
  return computeUpperMedian(
    Array.from({ length: EXCHANGE_SAMPLES }, () => {
      const wallet = createWallet(accounts);
      const startedAt = performance.now();
      encodeExchange(wallet);
      return (performance.now() - startedAt) * 1_000;
    }),
  );
}

/** Measures the replicated state by number of client accounts and claims. */
export function measureState(): ISlope[] {
  return [
    {
      name: 'control state memory',
      unit: 'KB',
      per: 'client account',
      points: ACCOUNT_COUNTS.map((size) => ({
        size,
        value: measureKilobytes(() => createApplierWithAccounts(size)),
      })),
    },
    {
      name: 'configuration change (apply)',
      unit: 'us',
      per: 'client account',
      points: ACCOUNT_COUNTS.map((size) => ({ size, value: measureChangeApply(size) })),
    },
    {
      name: 'grant exchange (apply)',
      unit: 'us',
      per: 'account in the exchange',
      points: EXCHANGED_ACCOUNT_COUNTS.map((size) => ({ size, value: measureExchangeApply(size) })),
    },
    {
      name: 'grant exchange (build and encode at an entry)',
      unit: 'us',
      per: 'account in the exchange',
      points: EXCHANGED_ACCOUNT_COUNTS.map((size) => ({ size, value: measureExchangeBuild(size) })),
    },
    {
      name: 'grant exchange on the wire',
      unit: 'bytes',
      per: 'account in the exchange',
      points: EXCHANGED_ACCOUNT_COUNTS.map((size) => ({
        size,
        value: new CommandApplier().encode(buildExchange(size, 1)).length,
      })),
    },
    {
      name: 'claim memory',
      unit: 'KB',
      per: 'claim',
      points: CLAIM_COUNTS.map((size) => ({
        size,
        value: measureKilobytes(() => createApplierWithClaims(size)),
      })),
    },
    {
      name: 'claim (apply)',
      unit: 'us',
      per: 'claim held',
      points: CLAIM_COUNTS.map((size) => ({ size, value: measureClaimApply(size) })),
    },
    {
      name: 'snapshot',
      unit: 'us',
      per: 'claim held',
      points: CLAIM_COUNTS.map((size) => {
        const { state } = createApplierWithClaims(size);
        return { size, value: measureUs(1, () => void state.snapshot()) };
      }),
    },
  ];
}
