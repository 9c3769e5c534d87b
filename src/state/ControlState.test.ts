import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  ClientAccountSchema,
  CommandResultSchema,
  CommandSchema,
  type CommandResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import { ControlState, SYNC_RETENTION_MS } from './ControlState.js';

type Body = NonNullable<MessageInitShape<typeof CommandSchema>['body']>;

const SEED = 20_261_204;

function encodeCommand(timeMs: number, body: Body): Uint8Array {
  return toBinary(CommandSchema, create(CommandSchema, { timeMs: BigInt(timeMs), body }));
}

function buildAccountChange(version: number, burstTokens: number, id = 'lab'): Body {
  const account = create(ClientAccountSchema, { id, tokensPerSecond: 100, burstTokens });
  const value = burstTokens > 0 ? toBinary(ClientAccountSchema, account) : new Uint8Array();
  const items = [{ key: `clientAccount/${id}`, value }];
  const operationId = `op-${version}`;
  return { case: 'change', value: { operationId, version: BigInt(version), items } };
}

interface ISyncOptions {
  readonly incarnation?: number;
  readonly wanted?: number;
  readonly spentGrant?: number;
  readonly refund?: number;
}

function buildSync(sequence: number, options: ISyncOptions = {}): Body {
  const { incarnation = 1, wanted = 100, spentGrant, refund } = options;
  const reports =
    spentGrant === undefined ? [] : [{ grantId: BigInt(spentGrant), spentTokens: wanted }];
  const refunds =
    refund === undefined ? [] : [{ clientAccount: 'lab', epoch: BigInt(refund), tokens: 30.5 }];
  return {
    case: 'syncGrants',
    value: {
      instance: 'entry-1',
      incarnation: Uint8Array.of(incarnation),
      sequence: BigInt(sequence),
      requests: [{ clientAccount: 'lab', reports, wantedTokens: wanted }],
      refunds,
    },
  };
}

class Applier {
  public readonly state = new ControlState();
  private _index = 0;

  public apply(timeMs: number, body: Body): CommandResult['body'] {
    this._index += 1;
    const result = this.state.apply(encodeCommand(timeMs, body), this._index);
    return fromBinary(CommandResultSchema, result).body;
  }

  public sync(timeMs: number, sequence: number, options: ISyncOptions = {}): number | undefined {
    const body = this.apply(timeMs, buildSync(sequence, options));
    return body.case === 'syncGrants' ? body.value.grants[0]?.tokens : undefined;
  }
}

/** Commands of all kinds, on few keys so that they often refer to the same ones. */
const commandBody: fc.Arbitrary<Body> = fc.oneof(
  fc
    .tuple(fc.nat(12), fc.nat(3), fc.constantFrom('lab', 'mill'))
    .map(([version, burst, id]) => buildAccountChange(version, burst * 333.3, id)),
  fc
    .tuple(fc.nat(30), fc.nat(2), fc.nat(40), fc.integer({ min: 118, max: 160 }))
    .map(([sequence, incarnation, spentGrant, refund]) =>
      buildSync(sequence, { incarnation, wanted: 10 * spentGrant, spentGrant, refund }),
    ),
  fc.tuple(fc.nat(5), fc.nat(2), fc.nat(2)).map(([key, digest, replacesAttempt]): Body => ({
    case: 'claim',
    value: {
      key: { clientAccount: 'lab', service: 'desk', idempotencyKey: `${key}` },
      bodyDigest: Uint8Array.of(digest === 2 ? 1 : 0),
      binding: { target: `t${digest}`, sidecarIncarnation: Uint8Array.of(1) },
      replacesAttempt,
      requestId: `r${key}${digest}`,
    },
  })),
  fc
    .tuple(fc.nat(60), fc.integer({ min: 1, max: 2 }), fc.boolean())
    .map(([claimId, attempt, unknown]): Body => ({
      case: 'settleClaim',
      value: {
        claimId: BigInt(claimId),
        attempt,
        unknown,
        answer: { status: 200, headers: { b: '1', a: '2' }, body: new Uint8Array(claimId) },
      },
    })),
  fc.tuple(fc.nat(4), fc.boolean()).map(([target, release]): Body => ({
    case: 'loadSlot',
    value: { target: `t${target}`, sidecarIncarnation: Uint8Array.of(1), release },
  })),
);

describe('ControlState', () => {
  it('continues from a snapshot with identical bytes, so that a restarted member never diverges', () => {
    const step = fc.record({ body: commandBody, afterMs: fc.oneof(fc.nat(300), fc.nat(40_000)) });
    const property = fc.property(
      fc.array(step, { maxLength: 120, size: 'max' }),
      fc.nat(120),
      (steps, restoreAt) => {
        const original = new ControlState();
        let restored: ControlState | undefined;
        let timeMs = 0;
        for (const [position, { body, afterMs }] of steps.entries()) {
          if (position === restoreAt) {
            restored = new ControlState();
            restored.restore(original.snapshot());
          }
          timeMs += afterMs;
          const command = encodeCommand(timeMs, body);
          const result = original.apply(command, position + 1);
          if (restored !== undefined) {
            expect(restored.apply(command, position + 1)).toEqual(result);
          }
        }
        if (restored !== undefined) {
          expect(Buffer.compare(restored.snapshot(), original.snapshot())).toBe(0);
        }
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 300 });
  });

  it('answers a repeated exchange with the recorded result and ignores a late one', () => {
    const applier = new Applier();
    applier.apply(0, buildAccountChange(1, 1_000));
    expect(applier.sync(0, 2, { wanted: 100 })).toBe(100);
    expect(applier.sync(50, 2, { wanted: 100 })).toBe(100);
    expect(applier.sync(50, 1, { wanted: 900 })).toBeUndefined();
    // Only one grant of 100 tokens is outstanding.
    expect(applier.sync(50, 1, { incarnation: 2, wanted: 1_000 })).toBe(900);
  });

  it('refunds only once when an exchange is applied again after its record expired', () => {
    const applier = new Applier();
    applier.apply(0, buildAccountChange(1, 100_000));
    applier.sync(0, 1, { wanted: 50_000 });
    applier.sync(500, 2, { wanted: 50_000, spentGrant: 2 });
    // The bucket is not full when epoch 121 begins, so a refund for that epoch takes effect.
    applier.sync(2_000, 3, { wanted: 50_000, spentGrant: 3, refund: 121 });
    const saved = applier.state.snapshot();
    const lateMs = SYNC_RETENTION_MS + 2_000;
    const [late, idle] = [121, undefined].map((refund) => {
      const state = new ControlState();
      state.restore(saved);
      const options = refund === undefined ? { wanted: 0 } : { wanted: 0, refund };
      state.apply(encodeCommand(lateMs, buildSync(3, options)), 5);
      return state.apply(encodeCommand(lateMs, buildSync(4, { wanted: 100_000 })), 6);
    });
    expect(late).toEqual(idle);
  });

  it('never moves logical time back, so that a leader whose clock is behind refills nothing twice', () => {
    const applier = new Applier();
    applier.apply(10_000, buildAccountChange(1, 1_000));
    applier.sync(10_000, 1, { wanted: 1_000 });
    applier.sync(10_000, 2, { wanted: 0, spentGrant: 2 });
    applier.apply(3_000, { case: 'loadSlot', value: { target: 't' } });
    expect(applier.state.timeMs).toBe(10_000);
    expect(applier.sync(10_000, 3, { wanted: 1_000 })).toBe(0);
  });

  it('treats undecodable bytes as a command without effect, so that no member stops', () => {
    const state = new ControlState();
    expect(state.apply(Uint8Array.of(255, 255, 255), 1)).toHaveLength(0);
    expect(state.revision).toBe(1);
  });

  it('notifies listeners once for each accepted change and after a restore', () => {
    const applier = new Applier();
    const notifications: number[] = [];
    applier.state.onItemsChange(({ revision, items }) =>
      notifications.push(revision, items.length),
    );
    applier.apply(0, buildAccountChange(1, 1_000));
    applier.apply(0, buildAccountChange(1, 1_000));
    applier.apply(0, buildAccountChange(1, 2_000));
    applier.state.restore(applier.state.snapshot());
    expect(notifications).toEqual([1, 1, 3, 1]);
    expect(applier.state.version).toBe(1);
    expect(applier.state.listChangedSince(0).items).toHaveLength(1);
  });
});
