/** Replicated state machine of the control members: applies the commands of the log (design 3.2). */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Emitter, type IEvent } from '../common/Lifecycle.js';
import type { IStateMachine } from '../consensus/Types.js';
import {
  ClientAccountSchema,
  CommandResultSchema,
  CommandSchema,
  StateSnapshotSchema,
  SyncGrantsResultSchema,
  SyncSnapshotSchema,
  type Change,
  type ChangeResult,
  type ClaimKey,
  type ClaimResult,
  type ClientAccount,
  type Command,
  type CommandResult,
  type Item,
  type SyncGrantsCommand,
  type SyncGrantsResult,
  type SyncSnapshot,
} from '../gen/redwingwharf/v1/state_pb.js';
import { RETAINED_EPOCHS, EPOCH_MS } from './AccountLedger.js';
import { Changes } from './Changes.js';
import { Claims } from './Claims.js';
import { buildEntryId } from './EntryProcess.js';
import { Items, type IChangedItems } from './Items.js';
import { Ledger } from './Ledger.js';
import { LoadSlots } from './LoadSlots.js';

/** Key prefix of the items that hold the limits of client accounts. */
const CLIENT_ACCOUNT_PREFIX = 'clientAccount/';

/**
 * Logical time for which the last exchange of an entry process is retained. After that, all refunds in
 * it are older than the retained epochs, so that applying it again would refund nothing.
 */
export const SYNC_RETENTION_MS = (RETAINED_EPOCHS + 5) * EPOCH_MS;

/** Items that changed by one command, or all items after a restore. */
export interface IItemsChange {
  readonly revision: number;
  readonly items: readonly Item[];
}

/** Returns undefined for bytes that do not decode; all members apply those as a command without effect. */
function decodeCommand(bytes: Uint8Array): Command | undefined {
  try {
    return fromBinary(CommandSchema, bytes);
  } catch {
    return undefined;
  }
}

function decodeClientAccount(value: Uint8Array): ClientAccount | undefined {
  try {
    return fromBinary(ClientAccountSchema, value);
  } catch {
    return undefined;
  }
}

/**
 * Holds items, changes, ledgers, claims and load slots. It is deterministic: members that applied the
 * same commands have the same state.
 *
 * @example
 * const state = new ControlState();
 * const result = fromBinary(CommandResultSchema, state.apply(command, index));
 */
export class ControlState implements IStateMachine {
  private readonly _items = new Items();
  private readonly _changes = new Changes();
  private readonly _claims = new Claims();
  private readonly _loadSlots = new LoadSlots();
  /** Last exchange of each entry process, in the order of logical time. */
  private readonly _syncs = new Map<string, SyncSnapshot>();
  private readonly _itemsChangeEmitter = new Emitter<IItemsChange>();
  private _timeMs = 0;
  private _revision = 0;

  /** Fires after a command that changed items, and after a restore. */
  public readonly onItemsChange: IEvent<IItemsChange> = this._itemsChangeEmitter.onFire;

  constructor(private readonly _ledger: Ledger = new Ledger()) {}

  /** Log index of the last applied command. */
  public get revision(): number {
    return this._revision;
  }

  /** Version of the last accepted change. */
  public get version(): number {
    return this._changes.version;
  }

  /** Logical time of the last applied command in milliseconds. */
  public get timeMs(): number {
    return this._timeMs;
  }

  /** Returns the item, or undefined when it does not exist or was deleted. */
  public getItem(key: string): Item | undefined {
    return this._items.get(key);
  }

  /** Lists the items whose key begins with the prefix. */
  public listItems(prefix: string): Item[] {
    return this._items.list(prefix);
  }

  /** Lists the changes for a reader at a revision, or a full copy when it is too far behind. */
  public listChangedSince(revision: number): IChangedItems {
    return this._items.listChangedSince(revision);
  }

  /** Returns the recorded state of a claim without changing it, or undefined when there is none. */
  public getClaim(key: ClaimKey, requestId: string): ClaimResult | undefined {
    return this._claims.get(key, requestId);
  }

  /** Applies an encoded command at a log index and returns the encoded result. */
  public apply(command: Uint8Array, index: number): Uint8Array {
    this._revision = index;
    // Decoded byte fields share the buffer. Without a copy, stored fields would retain a whole batch.
    const decoded = decodeCommand(new Uint8Array(command));
    const result =
      decoded === undefined ? create(CommandResultSchema) : this._runCommand(decoded, index);
    return toBinary(CommandResultSchema, result);
  }

  public snapshot(): Uint8Array {
    const snapshot = create(StateSnapshotSchema, {
      timeMs: BigInt(this._timeMs),
      version: BigInt(this.version),
      revision: BigInt(this._revision),
      compactedRevision: BigInt(this._items.compactedRevision),
      items: this._items.snapshot(),
      changes: this._changes.snapshot(),
      ledgers: this._ledger.snapshot(),
      loadSlots: this._loadSlots.snapshot(),
      syncs: [...this._syncs.values()],
    });
    // Concatenated encoded messages decode as one message with the repeated fields joined.
    const parts = [toBinary(StateSnapshotSchema, snapshot), ...this._claims.snapshot()];
    return new Uint8Array(Buffer.concat(parts));
  }

  public restore(snapshot: Uint8Array): void {
    const saved = fromBinary(StateSnapshotSchema, snapshot);
    this._timeMs = Number(saved.timeMs);
    this._revision = Number(saved.revision);
    this._items.restore(saved.items, Number(saved.compactedRevision));
    this._changes.restore(saved.version, saved.changes);
    this._ledger.restore(saved.ledgers);
    this._claims.restore(saved.claims);
    this._loadSlots.restore(saved.loadSlots);
    this._syncs.clear();
    for (const sync of saved.syncs) {
      this._syncs.set(buildEntryId(sync), sync);
    }
    this._itemsChangeEmitter.fire({ revision: this._revision, items: this.listItems('') });
  }

  private _runCommand(command: Command, index: number): CommandResult {
    // Logical time never goes back, even if a leader's timestamp does.
    this._timeMs = Math.max(this._timeMs, Number(command.timeMs));
    this._items.compact();
    this._claims.compact(this._timeMs);
    this._expireSyncs();
    return create(CommandResultSchema, { body: this._runBody(command.body, index) });
  }

  private _runBody(body: Command['body'], index: number): CommandResult['body'] {
    switch (body.case) {
      case 'change':
        return { case: 'change', value: this._acceptChange(body.value, index) };
      case 'syncGrants':
        return { case: 'syncGrants', value: this._syncGrants(body.value, index) };
      case 'claim':
        return { case: 'claim', value: this._claims.claim(body.value, index, this._timeMs) };
      case 'settleClaim':
        return { case: 'settleClaim', value: this._claims.settle(body.value, this._timeMs) };
      case 'loadSlot':
        return { case: 'loadSlot', value: this._loadSlots.apply(body.value, index, this._timeMs) };
      case undefined:
        return { case: undefined };
    }
  }

  private _acceptChange(change: Change, index: number): ChangeResult {
    const result = this._changes.accept(change, index);
    if (result.outcome.case === 'accepted' && !result.outcome.value.replayed) {
      const items = this._items.applyChanges(change.items, index);
      items.forEach((item) => {
        this._applyLimits(item);
      });
      this._ledger.compact(this._timeMs);
      this._itemsChangeEmitter.fire({ revision: index, items });
    }
    return result;
  }

  private _applyLimits(item: Item): void {
    if (!item.key.startsWith(CLIENT_ACCOUNT_PREFIX)) {
      return;
    }
    const id = item.key.slice(CLIENT_ACCOUNT_PREFIX.length);
    const account = item.deleted ? undefined : decodeClientAccount(item.value);
    if (account === undefined) {
      this._ledger.withdraw(id, this._timeMs);
    } else {
      this._ledger.setLimits(id, account.tokensPerSecond, account.burstTokens, this._timeMs);
    }
  }

  /**
   * Applies each exchange once. A repeated sequence number gets the recorded result; a lower one is a
   * late duplicate and gets an empty result.
   */
  private _syncGrants(command: SyncGrantsCommand, index: number): SyncGrantsResult {
    const entryId = buildEntryId(command);
    const lastSync = this._syncs.get(entryId);
    if (lastSync !== undefined && command.sequence <= lastSync.sequence) {
      const recorded = command.sequence === lastSync.sequence ? lastSync.result : undefined;
      return recorded ?? create(SyncGrantsResultSchema);
    }
    const result = this._ledger.sync(command, index, this._timeMs);
    const { instance, incarnation, sequence } = command;
    const atMs = BigInt(this._timeMs);
    this._syncs.delete(entryId);
    this._syncs.set(
      entryId,
      create(SyncSnapshotSchema, { instance, incarnation, sequence, result, atMs }),
    );
    return result;
  }

  private _expireSyncs(): void {
    for (const [entryId, sync] of this._syncs) {
      if (Number(sync.atMs) + SYNC_RETENTION_MS > this._timeMs) {
        return;
      }
      this._syncs.delete(entryId);
    }
  }
}
