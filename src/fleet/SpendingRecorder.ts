/** Records in the replicated log what client accounts spend and may be leased; acts on the leader only. */
import { create, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import { clampToUint32 } from '../common/Uint32.js';
import type { IReplicatedLog } from '../consensus/Types.js';
import { FleetCommandSchema, type SpendingRecordSchema } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { FleetHub } from './FleetHub.js';
import type { FleetNode } from './FleetNode.js';

/** Interval between two records. */
const RECORD_INTERVAL_MS = 300;

/** Interval at which a new hub looks for the first reports, as its first grants wait for its first record. */
const FIRST_RECORD_POLL_MS = 30;

/** Timeout of one record, after which its outcome counts as unknown. */
const RECORD_TIMEOUT_MS = 900;

/** Records at intervals what the hub's quota pools report, and lets them use the ceilings that are durable. */
export class SpendingRecorder {
  /** The hub that wrote the last record, and when; undefined if the time since then is unknown. */
  private _last: { readonly hub: FleetHub; readonly at: number } | undefined;

  constructor(
    private readonly _node: Pick<FleetNode, 'getHub' | 'getPropagationMs'>,
    private readonly _getLog: () => IReplicatedLog | undefined,
    private readonly _clock: IClock,
  ) {}

  /** Records while this process is the hub, until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const hub = this._node.getHub(this._clock.now());
      if (hub !== undefined) {
        await this._record(hub, this._clock.now(), signal);
      }
      const isNewHub = hub !== undefined && this._last?.hub !== hub;
      await sleep(isNewHub ? FIRST_RECORD_POLL_MS : RECORD_INTERVAL_MS, signal);
    }
  }

  private async _record(hub: FleetHub, now: number, signal: AbortSignal): Promise<void> {
    const accounts = hub.takeRecords(now);
    if (accounts.length === 0) {
      return;
    }
    const record = {
      accounts,
      intervalMs: this._last?.hub === hub ? clampToUint32(now - this._last.at) : 0,
      maxLagMs: this._node.getPropagationMs() + 2 * RECORD_INTERVAL_MS,
    };
    if (await this._propose(record, signal)) {
      hub.raiseCeilings(accounts);
      this._last = { hub, at: now };
    } else {
      // Whether the record counts is unknown, and with it the time between the ones around it.
      this._last = undefined;
    }
  }

  /** True if the record is durable. One with an unknown outcome makes a later hub grant less, never more. */
  private async _propose(
    value: MessageInitShape<typeof SpendingRecordSchema>,
    signal: AbortSignal,
  ): Promise<boolean> {
    const body = { case: 'recordSpending', value } as const;
    const command = toBinary(FleetCommandSchema, create(FleetCommandSchema, { body }));
    const result = await runWithTimeout(signal, RECORD_TIMEOUT_MS, async (limited) =>
      this._getLog()?.propose(command, limited),
    );
    return result?.ok === true;
  }
}
