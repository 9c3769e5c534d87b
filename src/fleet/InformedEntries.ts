/** Which entries have learned that a base version is not in force any more, as the hub knows it. */
import { CUT_OFF_TRUST_MS } from './SoftwareVersions.js';

/** Reports that the base of a service is not named, as the entries have received them. */
interface IWithdrawal {
  /** First revision of the hub's versions without the base. */
  readonly revision: number;
  /** When each entry was first known to have that revision or a later one. */
  readonly informedAt: Map<string, number>;
}

/**
 * An entry that has not learned of the end of a base may begin streams of it without a record, for `CUT_OFF_TRUST_MS` after
 * the last answer that it got. A revision that an entry reports back is one that it has surely received.
 *
 * @example
 * entries.recordReport('10.1.0.1:9000', 4, now);
 * const canAttribute = entries.hasAll('lace', rebaseDelayMs, now);
 */
export class InformedEntries {
  private readonly _reportedAt = new Map<string, number>();
  private readonly _withdrawals = new Map<string, IWithdrawal>();
  private _inherited: ReadonlySet<string> | undefined;

  constructor(private readonly _startedAt: number) {}

  /** Sets the services that had a base when the hub started; later calls change nothing. */
  public setInherited(services: Iterable<string>): void {
    this._inherited ??= new Set(services);
  }

  /** Called when the hub stops naming the base of a service, with the first revision that does not name it. */
  public recordWithdrawal(service: string, revision: number): void {
    this._withdrawals.set(service, { revision, informedAt: new Map() });
  }

  /** @param revision the one that the entry has received from this hub; undefined if it has none */
  public recordReport(node: string, revision: number | undefined, now: number): void {
    this._reportedAt.set(node, now);
    if (revision === undefined) {
      return;
    }
    for (const { revision: withdrawn, informedAt } of this._withdrawals.values()) {
      if (revision >= withdrawn && !informedAt.has(node)) {
        informedAt.set(node, now);
      }
    }
  }

  /**
   * True if no client takes up a stream any more that began without a record under an earlier base of a service.
   *
   * @param rebaseDelayMs time after which no client takes up a stream any more
   */
  public hasAll(service: string, rebaseDelayMs: number, now: number): boolean {
    const forgetMs = CUT_OFF_TRUST_MS + rebaseDelayMs;
    // An entry that was cut off before this hub started is not known here.
    if (this._inherited?.has(service) === true && now - this._startedAt < forgetMs) {
      return false;
    }
    const withdrawal = this._withdrawals.get(service);
    if (withdrawal === undefined) {
      return true;
    }
    for (const [node, reportedAt] of this._reportedAt) {
      if (now - reportedAt >= forgetMs) {
        this._reportedAt.delete(node);
        continue;
      }
      const informedAt = withdrawal.informedAt.get(node);
      if (informedAt === undefined || now - informedAt < rebaseDelayMs) {
        return false;
      }
    }
    return true;
  }
}
