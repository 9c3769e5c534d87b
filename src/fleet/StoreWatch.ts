/** Finds out whether the stores of KV cache answer. Runs on the leader only. */
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { isAborted, runWithLimit, sleep } from '../common/Tasks.js';
import type { FleetHub } from './FleetHub.js';
import type { FleetView } from './FleetView.js';

/** Time for which a store holds a question open while nothing changes. */
const WAIT_MS = 1_000;

/** Limit of one question. */
const CALL_LIMIT_MS = WAIT_MS + 500;

/** Between two questions, so that a store with much news is not asked without pause. */
const PAUSE_MS = 500;

/** Asks a store for its news after a position; rejects if it does not answer. Returns the next position. */
export type StoreQuestion = (
  address: string,
  since: number,
  waitMs: number,
  signal: AbortSignal,
) => Promise<number>;

export class StoreWatch {
  private _since = 0;

  constructor(
    private readonly _view: FleetView,
    private readonly _getHub: (now: number) => FleetHub | undefined,
    private readonly _ask: StoreQuestion,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      const services = this._view.table?.configuration.services ?? [];
      const address = services.find((service) => service.storeAddress !== undefined)?.storeAddress;
      const hub = this._getHub(this._clock.now());
      if (hub !== undefined && address !== undefined) {
        hub.setStore(address, await this._isUp(address, signal));
      }
      await sleep(PAUSE_MS, signal);
    }
  }

  private async _isUp(address: string, signal: AbortSignal): Promise<boolean> {
    try {
      this._since = await runWithLimit(signal, CALL_LIMIT_MS, (limited) =>
        this._ask(address, this._since, WAIT_MS, limited),
      );
      return true;
    } catch (error) {
      this._log.debug('store does not answer', { address, reason: describeError(error) });
      return false;
    }
  }
}
