/** Reports the quotas of one process to the hub, one report after the other, and applies the leases it grants. */
import { create } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { describeError, type ILog } from '../common/Log.js';
import { sleep } from '../common/Tasks.js';
import {
  LeaseRequestSchema,
  type LeaseRequest,
  type LeaseResponse,
  type QuotaGrant,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IEntryRun } from './QuotaPool.js';
import type { IWalletReport, QuotaWallet } from './QuotaWallet.js';

/** The report of quotas within an exchange. */
export interface IQuotaReportInFlight {
  readonly sequence: bigint;
  readonly lines: readonly IWalletReport[];
  /** Must be called when the exchange has ended, also if it failed. */
  readonly end: () => void;
}

/**
 * Each report states the leases that the process holds, and an answer replaces them. A report must therefore
 * not be built before the answer to the one before has been applied, or the hub would count a lease too low.
 */
export class LeaseReporter {
  private _sequence = 0n;
  /** Ends with the report in flight; undefined if there is none. */
  private _inFlight: Promise<void> | undefined;
  private _request: Promise<void> | undefined;

  constructor(
    private readonly _wallet: QuotaWallet,
    private readonly _run: IEntryRun,
    /** Sends a request to the hub; undefined if none is known. */
    private readonly _callHub: (request: LeaseRequest) => Promise<LeaseResponse | undefined>,
    private readonly _clock: IClock,
    private readonly _log: ILog,
  ) {}

  /**
   * Asks the hub for larger leases for the requests that lack tokens, and waits for its answer. Returns at the
   * timeout or if aborted. Concurrent callers share a request.
   */
  public async requestLeases(timeoutMs: number, signal: AbortSignal): Promise<void> {
    this._request ??= this._sendRequest().finally(() => {
      this._request = undefined;
    });
    const controller = new AbortController();
    void this._request.then(() => {
      controller.abort();
    });
    await sleep(timeoutMs, controller.signal, signal);
  }

  /** Begins the report within an exchange. It is empty while another report is in flight. */
  public beginReport(clientAccounts: readonly string[], now: number): IQuotaReportInFlight {
    this._sequence += 1n;
    const sequence = this._sequence;
    if (this._inFlight !== undefined) {
      return { sequence, lines: [], end: () => undefined };
    }
    const lines = this._wallet.report(clientAccounts, now);
    return { sequence, lines, end: this._beginFlight() };
  }

  /** Applies the hub's answer to a report that was sent at `reportedAt`. */
  public applyGrants(grants: readonly QuotaGrant[], reportedAt: number, now: number): void {
    for (const { clientAccount, lease, waitMs } of grants) {
      this._wallet.applyLease(clientAccount, lease, waitMs, reportedAt, now);
    }
  }

  private async _sendRequest(): Promise<void> {
    while (this._inFlight !== undefined) {
      await this._inFlight;
    }
    const sentAt = this._clock.now();
    const quotas = this._wallet.reportShortfalls(sentAt);
    if (quotas.length === 0) {
      return;
    }
    this._sequence += 1n;
    const fields = { ...this._run, reportSequence: this._sequence };
    const request = create(LeaseRequestSchema, { ...fields, quotas });
    const end = this._beginFlight();
    try {
      const answer = await this._callHub(request);
      if (answer?.leads === true) {
        this.applyGrants(answer.grants, sentAt, this._clock.now());
      } else {
        this._handleNoAnswer('no leader answered');
      }
    } catch (error) {
      this._handleNoAnswer(describeError(error));
    } finally {
      end();
    }
  }

  /** Requests are refused until an exchange succeeds; else each would ask again at once while it may wait. */
  private _handleNoAnswer(reason: string): void {
    this._log.debug('lease request failed', { reason });
    this._wallet.setHubReachable(false);
  }

  private _beginFlight(): () => void {
    let resolveFlight = (): void => undefined;
    this._inFlight = new Promise<void>((resolve) => {
      resolveFlight = resolve;
    });
    return () => {
      this._inFlight = undefined;
      resolveFlight();
    };
  }
}
