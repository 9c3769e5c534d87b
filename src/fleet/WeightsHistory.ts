/** Records which versions of a model's weights were named, and when this process learned of each. */

/** A version becomes the required one long before this many newer versions are named. */
const MAX_VERSIONS_PER_MODEL = 32;

interface INamedVersion {
  readonly version: number;
  readonly learnedAt: number;
}

/** Keeps the last named weights versions of each model. */
export class WeightsHistory {
  private readonly _versionsByModel = new Map<string, INamedVersion[]>();

  /** Records a named version; false if it is not newer than all known ones. */
  public record(model: string, version: number, now: number): boolean {
    const versions = this._versionsByModel.get(model) ?? [];
    if (version <= (versions.at(-1)?.version ?? 0)) {
      return false;
    }
    versions.push({ version, learnedAt: now });
    this._versionsByModel.set(model, versions.slice(-MAX_VERSIONS_PER_MODEL));
    return true;
  }

  /** When this process learned of the newest named version; undefined if none was named. */
  public getNewestLearnedAt(model: string): number | undefined {
    return this._versionsByModel.get(model)?.at(-1)?.learnedAt;
  }

  /** Newest named version; undefined if none was named. */
  public getNewest(model: string): number | undefined {
    return this._versionsByModel.get(model)?.at(-1)?.version;
  }

  /**
   * Time for which requests may still begin on a held version, if they may for `limitMs` after this process
   * learned of the first newer one: infinite while there is none, zero or less once the time is over.
   */
  public getUsableMs(model: string, held: number, limitMs: number, now: number): number {
    const versions = this._versionsByModel.get(model) ?? [];
    const next = versions.find(({ version }) => version > held);
    return next === undefined ? Number.POSITIVE_INFINITY : next.learnedAt + limitMs - now;
  }
}
