/** Polls the entries' status: versions never go back, and accepted changes are in force. */
import { setTimeout as delay } from 'node:timers/promises';
import { RpcClients } from '../../src/common/Rpc.js';
import { RosterService } from '../../src/gen/redwingwharf/v1/control_pb.js';
import type { Deployment } from '../harness/Deployment.js';
import type { Invariants } from './Invariants.js';
import type { Operator } from './Operator.js';

const POLL_INTERVAL_MS = 200;
const POLL_TIMEOUT_MS = 1_000;

/** Time in which an accepted change is in force everywhere. */
const IN_FORCE_MS = 4_000;

export class StatusWatch {
  private readonly _clients: RpcClients;
  private readonly _ready = new Set<string>();
  /** Highest version seen in the current life of each entry. */
  private readonly _seen = new Map<string, { readonly pid: number; readonly version: number }>();

  constructor(
    private readonly _deployment: Deployment,
    private readonly _operator: Operator,
    private readonly _invariants: Invariants,
    secret: string,
  ) {
    this._clients = new RpcClients(secret);
  }

  public listReadyEntries(): string[] {
    return [...this._ready];
  }

  public async run(signal: AbortSignal): Promise<void> {
    const entries = this._deployment.listEntries();
    await Promise.all(entries.map((entry) => this._watchEntry(entry, signal)));
    this._clients.dispose();
  }

  private async _watchEntry(entry: string, signal: AbortSignal): Promise<void> {
    const client = this._clients.get(RosterService, this._deployment.getInternalAddress(entry));
    while (!signal.aborted) {
      const pid = this._deployment.getChild(entry)?.pid ?? 0;
      const sentAt = performance.now();
      try {
        const status = await client.getEntryStatus({}, { timeoutMs: POLL_TIMEOUT_MS });
        if (pid === this._deployment.getChild(entry)?.pid) {
          this._checkStatus(entry, pid, sentAt, status.ready, Number(status.version));
        }
        this._setReady(entry, status.ready);
      } catch {
        this._setReady(entry, false);
      }
      await delay(POLL_INTERVAL_MS);
    }
  }

  private _setReady(entry: string, isReady: boolean): void {
    if (isReady) {
      this._ready.add(entry);
    } else {
      this._ready.delete(entry);
    }
  }

  private _checkStatus(
    entry: string,
    pid: number,
    sentAt: number,
    isReady: boolean,
    version: number,
  ): void {
    const seen = this._seen.get(entry);
    if (seen?.pid === pid) {
      this._invariants.check('f_configuration', version >= seen.version, () => {
        return `${entry} went back from version ${seen.version} to ${version}`;
      });
    }
    this._seen.set(entry, { pid, version });
    if (!isReady) {
      // It refuses keyed requests, so an old copy does no harm.
      return;
    }
    const due = this._operator.accepted.filter(({ at }) => at + IN_FORCE_MS <= sentAt);
    const expected = Math.max(0, ...due.map((change) => change.version));
    this._invariants.check('f_configuration', version >= expected, () => {
      return `${entry} serves version ${version}, ${expected} was accepted over 4 s ago`;
    });
  }
}
