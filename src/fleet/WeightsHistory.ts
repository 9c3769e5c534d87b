/** Which versions of a model's weights were named, and since when they are known here. */

/** Versions of one model that are kept; a version is due long before so many newer ones are named. */
const MAX_VERSIONS = 32;

interface INamed {
  readonly version: number;
  readonly knownAt: number;
}

export class WeightsHistory {
  private readonly _models = new Map<string, INamed[]>();

  /** True if the version is newer than all known ones. */
  public note(model: string, version: number, now: number): boolean {
    const named = this._models.get(model) ?? [];
    if (version <= (named.at(-1)?.version ?? 0)) {
      return false;
    }
    named.push({ version, knownAt: now });
    this._models.set(model, named.slice(-MAX_VERSIONS));
    return true;
  }

  /** Newest named version; undefined if none was named. */
  public getNewest(model: string): number | undefined {
    return this._models.get(model)?.at(-1)?.version;
  }

  /** Newest version that has been known for a time: a request may no longer begin on an older one. */
  public getDue(model: string, knownForMs: number, now: number): number {
    const named = this._models.get(model) ?? [];
    return named.findLast(({ knownAt }) => now - knownAt >= knownForMs)?.version ?? 0;
  }
}
