/** Replicated state: client accounts, grants, claims, changes and snapshots. */
import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import {
  ClientAccountSchema,
  CommandSchema,
  type SyncGrantsCommand,
} from '../../src/gen/redwingwharf/v1/state_pb.js';
import { GrantWallet } from '../../src/admission/GrantWallet.js';
import { ControlState } from '../../src/state/ControlState.js';
import { computeMedian, measureKilobytes, measureUs, type ISlope } from './Measure.js';

type Body = NonNullable<MessageInitShape<typeof CommandSchema>['body']>;

const ACCOUNT_COUNTS = [100, 960, 4_000] as const;
const GRANT_COUNTS = [1, 10, 100, 960] as const;
const CLAIM_COUNTS = [1_000, 10_000, 40_000] as const;
const EXCHANGES = 50;
const CLAIMS = 1_000;

/** Applies commands with rising index and time. */
class Applier {
  public readonly state = new ControlState();
  private _index = 0;

  public apply(body: Body): void {
    this._index += 1;
    const command = create(CommandSchema, { timeMs: BigInt(this._index), body });
    this.state.apply(toBinary(CommandSchema, command), this._index);
  }

  /** Encodes first, so that only the application is timed. */
  public encode(body: Body): Uint8Array {
    return toBinary(CommandSchema, create(CommandSchema, { timeMs: BigInt(this._index), body }));
  }

  public applyEncoded(command: Uint8Array): void {
    this._index += 1;
    this.state.apply(command, this._index);
  }
}

function buildAccount(index: number, version: number): Body {
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

function createApplier(accounts: number): Applier {
  const applier = new Applier();
  for (let index = 0; index < accounts; index++) {
    applier.apply(buildAccount(index, index + 1));
  }
  return applier;
}

function buildExchange(accounts: number, sequence: number): Body {
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

function buildClaim(index: number): Body {
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

function measureExchange(accounts: number): number {
  const applier = createApplier(960);
  let sequence = 0;
  return computeMedian(
    Array.from({ length: EXCHANGES }, () => {
      sequence += 1;
      const command = applier.encode(buildExchange(accounts, sequence));
      return measureUs(1, () => {
        applier.applyEncoded(command);
      });
    }),
  );
}

function createClaims(count: number): Applier {
  const applier = createApplier(1);
  for (let index = 0; index < count; index++) {
    applier.apply(buildClaim(index));
  }
  return applier;
}

function measureClaim(count: number): number {
  const applier = createClaims(count);
  let next = count;
  return measureUs(CLAIMS, () => {
    for (let index = 0; index < CLAIMS; index++) {
      next += 1;
      applier.applyEncoded(applier.encode(buildClaim(next)));
    }
  });
}

function measureChange(accounts: number): number {
  const applier = createApplier(accounts);
  let version = accounts;
  return measureUs(CLAIMS, () => {
    for (let index = 0; index < CLAIMS; index++) {
      version += 1;
      applier.apply(buildAccount(index % accounts, version));
    }
  });
}

/** Wallet that holds grants of some accounts and exchanges them. */
function createWallet(accounts: number): GrantWallet {
  const wallet = new GrantWallet({ instance: 'entry-1', incarnation: new Uint8Array(16) });
  for (let index = 0; index < accounts; index++) {
    wallet.addWaiter(`account-${index}`, 1_000);
  }
  return wallet;
}

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

function measureWallet(accounts: number): number {
  return computeMedian(
    Array.from({ length: EXCHANGES }, () => {
      const wallet = createWallet(accounts);
      const startedAt = performance.now();
      encodeExchange(wallet);
      return (performance.now() - startedAt) * 1_000;
    }),
  );
}

export function measureState(): ISlope[] {
  return [
    {
      name: 'control state memory',
      unit: 'KB',
      per: 'client account',
      points: ACCOUNT_COUNTS.map((size) => ({
        size,
        value: measureKilobytes(() => createApplier(size)),
      })),
    },
    {
      name: 'configuration change (apply)',
      unit: 'us',
      per: 'client account',
      points: ACCOUNT_COUNTS.map((size) => ({ size, value: measureChange(size) })),
    },
    {
      name: 'grant exchange (apply)',
      unit: 'us',
      per: 'account in the exchange',
      points: GRANT_COUNTS.map((size) => ({ size, value: measureExchange(size) })),
    },
    {
      name: 'grant exchange (build and encode at an entry)',
      unit: 'us',
      per: 'account in the exchange',
      points: GRANT_COUNTS.map((size) => ({ size, value: measureWallet(size) })),
    },
    {
      name: 'grant exchange on the wire',
      unit: 'bytes',
      per: 'account in the exchange',
      points: GRANT_COUNTS.map((size) => ({
        size,
        value: new Applier().encode(buildExchange(size, 1)).length,
      })),
    },
    {
      name: 'claim memory',
      unit: 'KB',
      per: 'claim',
      points: CLAIM_COUNTS.map((size) => ({
        size,
        value: measureKilobytes(() => createClaims(size)),
      })),
    },
    {
      name: 'claim (apply)',
      unit: 'us',
      per: 'claim held',
      points: CLAIM_COUNTS.map((size) => ({ size, value: measureClaim(size) })),
    },
    {
      name: 'snapshot',
      unit: 'us',
      per: 'claim held',
      points: CLAIM_COUNTS.map((size) => {
        const { state } = createClaims(size);
        return { size, value: measureUs(1, () => void state.snapshot()) };
      }),
    },
  ];
}
