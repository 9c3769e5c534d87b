/** Polls the status of the entries and checks the configuration versions that they serve. */
import { setTimeout as delay } from 'node:timers/promises';
import { RpcClients } from '../../src/common/Rpc.js';
import { RosterService } from '../../src/gen/redwingwharf/v1/control_pb.js';
import type { Deployment } from '../harness/Deployment.js';
import type { Invariants } from './Invariants.js';
import type { Operator } from './Operator.js';

const POLL_INTERVAL_MS = 200;
const POLL_TIMEOUT_MS = 1_000;

/** Time after which an accepted change must be in force at all ready entries. */
const IN_FORCE_DEADLINE_MS = 4_000;

/**
 * Checks that the configuration version of an entry never decreases while its process runs, and that accepted
 * changes come into force in time. Also records which entries are ready.
 */
export class StatusWatch {
  private readonly _clients: RpcClients;
  private readonly _ready = new Set<string>();
  /** Version in the last status of each entry, with the process that reported it. */
  private readonly _lastVersions = new Map<
    string,
    { readonly pid: number; readonly version: number }
  >();

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

  /** Polls until the signal is aborted. */
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
    const last = this._lastVersions.get(entry);
    if (last?.pid === pid) {
      this._invariants.check('f_configuration', version >= last.version, () => {
        return `the version of ${entry} decreased from ${last.version} to ${version}`;
      });
    }
    this._lastVersions.set(entry, { pid, version });
    if (!isReady) {
      // An entry that is not ready refuses requests with a key, so an outdated configuration does no harm.
      return;
    }
    const dueChanges = this._operator.acceptedChanges.filter(
      ({ acceptedAt }) => acceptedAt + IN_FORCE_DEADLINE_MS <= sentAt,
    );
    const expected = Math.max(0, ...dueChanges.map((change) => change.version));
    this._invariants.check('f_configuration', version >= expected, () => {
      return `${entry} serves version ${version}, but version ${expected} was accepted more than 4 s before`;
    });
  }
}
