/**
 * Finds the prompt parts and the requests that crash targets. A target that crashes breaks all of its requests, so each
 * crash puts blame on the parts of every request that had not settled there, and on the request itself, which may come
 * again. A settled response clears its parts, and a successful one the request too.
 */

/** Time for which a crash counts as evidence, and so the time for which a part stays in quarantine at first. */
const EVIDENCE_LIFETIME_MS = 600_000;

/** Blame and crashes from which parts are quarantined. A crash divides one unit of blame among its requests. */
const MIN_BLAME = 1.5;
const MIN_BLAMED_CRASHES = 2;

/**
 * Crashes from which parts, and requests, are quarantined however many other requests broke with them. A sound request
 * seldom comes again at two further targets that crash.
 */
const SUFFICIENT_CRASHES = 4;
const SUFFICIENT_REQUEST_CRASHES = 3;

/** A quarantine that is renewed after its end lasts this many times as long as the one before. */
const RENEWAL_FACTOR = 4;

/** Bounds of the memory. */
const MAX_CRASHES = 64;
const MAX_REQUESTS_PER_CRASH = 64;
const MAX_PARTS_PER_REQUEST = 16;
const MAX_RESTORED = 64;
const MAX_FORMER = 64;

/** A request that broke when its target crashed. Parts are hashes. */
export interface IBrokenRequest {
  /** Identifies the attempt; a repeated report counts once. */
  readonly attempt: number;
  readonly target: string;
  /** Start time of the target; each start can end in one crash only. */
  readonly born: number;
  /** The parts that other requests may have too and that are not known to be sound. */
  readonly parts: readonly number[];
  /** What only repetitions of the request have too; 0 if it is known to be sound. */
  readonly request: number;
  /** The last part of the prompt, which only requests of one session have; 0 without a prompt. */
  readonly prompt: number;
  /** What requests with other prompts may have too, if theirs is not part of the content; 0 if it is known to be sound. */
  readonly content: number;
}

/** Parts under suspicion. If they are quarantined, requests that have all of them are refused. */
export interface ISuspectParts {
  readonly parts: readonly number[];
  readonly quarantined: boolean;
}

/**
 * Why parts are quarantined: for the blame that they got, or for the number of crashes alone, which sound parts reach too
 * if many requests have them while no response settles.
 */
export type QuarantineStrength = 'blamed' | 'counted';

interface ISuspectRequest {
  readonly parts: Set<number>;
  /** 0 once the request or a repetition was answered with success. */
  request: number;
  readonly prompt: number;
  /** 0 without a prompt, or once a request with the content was answered with success. */
  content: number;
}

interface ICrash {
  readonly at: number;
  /** Requests with suspect parts by attempt. */
  readonly requests: Map<number, ISuspectRequest>;
}

/** Parts that occurred in exactly the same crashes. */
interface IBlamed {
  readonly parts: readonly number[];
  readonly crashes: readonly ICrash[];
}

interface IFormer {
  readonly parts: Set<number>;
  /** Time for which the quarantine lasted. */
  readonly lifetimeMs: number;
}

interface IRestored extends IFormer {
  readonly at: number;
}

/**
 * Collects reports of broken requests and decides which parts to quarantine. Of parts that occurred in exactly the
 * same crashes any one may be to blame, so only a request that has all of them is refused; if one request caused all
 * of them, only its repetitions are.
 *
 * @example
 * evidence.add({ attempt: 1, target: 'i-1', born: 100, parts: [7], request: 9, prompt: 8, content: 5 }, now);
 * const suspects = evidence.list(now);
 */
export class CrashEvidence {
  /** By target and its start time, oldest first. */
  private readonly _crashes = new Map<string, ICrash>();
  private _blamed: readonly IBlamed[] = [];
  /** True if `_blamed` is to be decided anew. */
  private _isStale = false;
  /** Quarantined without reports: by an earlier hub, or renewed. */
  private _restored: IRestored[] = [];
  /** Quarantines that have ended. The next crash shows that they still hold. */
  private _former: IFormer[] = [];
  private _revision = 0;

  /**
   * @param _hasAllReports false at a process that has its own reports only: it does not know which other requests broke,
   *   so that a request is quarantined by the number of its crashes alone
   */
  constructor(private readonly _hasAllReports = true) {}

  /** Increases with each change of the list. */
  public get revision(): number {
    return this._revision;
  }

  /** Number of crashes of which the cause is not ruled out. */
  public get crashCount(): number {
    return this._crashes.size;
  }

  public add(broken: IBrokenRequest, now: number): void {
    const { attempt, target, born, parts, request, prompt, content } = broken;
    const key = `${target}/${born}`;
    const crash = this._crashes.get(key) ?? {
      at: now,
      requests: new Map<number, ISuspectRequest>(),
    };
    const isFull = crash.requests.size >= MAX_REQUESTS_PER_CRASH;
    const isSound = parts.length === 0 && request === 0 && content === 0;
    if (isSound || isFull || crash.requests.has(attempt)) {
      return;
    }
    const suspectParts = new Set(parts.slice(0, MAX_PARTS_PER_REQUEST));
    crash.requests.set(attempt, { parts: suspectParts, request, prompt, content });
    this._crashes.set(key, crash);
    this._renew(crash, now);
    this._dropSurplus();
    this._invalidate();
  }

  /** Clears the parts of a response that has settled; true if any of them was under suspicion. */
  public clear(parts: readonly number[]): boolean {
    let hasChanged = false;
    for (const part of parts) {
      for (const [key, { requests }] of this._crashes) {
        for (const [attempt, request] of requests) {
          hasChanged = clearPart(request, part) || hasChanged;
          if (request.parts.size === 0 && request.request === 0 && request.content === 0) {
            requests.delete(attempt);
          }
        }
        if (requests.size === 0) {
          this._crashes.delete(key);
        }
      }
      for (const { parts: kept } of [...this._restored, ...this._former]) {
        hasChanged = kept.delete(part) || hasChanged;
      }
    }
    if (hasChanged) {
      this._restored = this._restored.filter((restored) => restored.parts.size > 0);
      this._former = this._former.filter((former) => former.parts.size > 0);
      this._invalidate();
    }
    return hasChanged;
  }

  /** The quarantined parts, and all other suspects in one entry. */
  public list(now: number): readonly ISuspectParts[] {
    this._expire(now);
    this._decide();
    const lists = [...this._blamed, ...this._restored].map(({ parts }) => [...parts]);
    const different = new Map(lists.map((parts) => [formatParts(parts), parts]));
    const quarantined = [...different.values()].map((parts) => ({ parts, quarantined: true }));
    const suspects = new Set([
      ...[...this._crashes.values()].flatMap(({ requests }) =>
        [...requests.values()].flatMap(({ parts }) => [...parts]),
      ),
      ...listRepeatedRequests([...this._crashes.values()]),
    ]);
    return suspects.size === 0
      ? quarantined
      : [...quarantined, { parts: [...suspects], quarantined: false }];
  }

  /** Restores what an earlier hub quarantined; its reasons are not known any more. */
  public restore(suspects: readonly ISuspectParts[], now: number): void {
    for (const { parts, quarantined } of suspects) {
      if (quarantined && parts.length > 0) {
        this._restored.push({ parts: new Set(parts), at: now, lifetimeMs: EVIDENCE_LIFETIME_MS });
      }
    }
    this._restored = this._restored.slice(-MAX_RESTORED);
    this._invalidate();
  }

  /** How parts are quarantined that are listed in one entry; undefined if they are not. */
  public findQuarantine(parts: readonly number[], now: number): QuarantineStrength | undefined {
    this._expire(now);
    this._decide();
    const key = formatParts(parts);
    const blamed = this._blamed.find((entry) => formatParts(entry.parts) === key);
    if (blamed === undefined) {
      const isRestored = this._restored.some((entry) => formatParts([...entry.parts]) === key);
      return isRestored ? 'blamed' : undefined;
    }
    const shares = blamed.crashes.map(({ requests }) => {
      const withParts = [...requests.values()].filter((request) => request.parts.size > 0);
      return 1 / Math.max(1, withParts.length);
    });
    return shares.reduce((sum, share) => sum + share, 0) >= MIN_BLAME ? 'blamed' : 'counted';
  }

  /** Number of crashes with which a request with all of the parts broke. */
  public countCrashes(parts: readonly number[]): number {
    const crashes = [...this._crashes.values()];
    return crashes.filter((crash) => listRequestsWith(crash, parts).length > 0).length;
  }

  /** True if a request with all of the parts broke with a target later than a time. */
  public hasCrashedSince(parts: readonly number[], since: number): boolean {
    return [...this._crashes.values()].some(
      (crash) => crash.at > since && listRequestsWith(crash, parts).length > 0,
    );
  }

  /** Renews the quarantine of parts, also if no crash that is known is a reason for it. */
  public renew(parts: readonly number[], now: number, lifetimeMs: number): void {
    const key = formatParts(parts);
    const others = this._restored.filter((entry) => formatParts([...entry.parts]) !== key);
    this._restored = [...others, { parts: new Set(parts), at: now, lifetimeMs }];
    this._restored = this._restored.slice(-MAX_RESTORED);
    this._invalidate();
  }

  private _expire(now: number): void {
    const oldest = now - EVIDENCE_LIFETIME_MS;
    const expired = [...this._crashes].filter(([, { at }]) => at < oldest);
    const ended = this._restored.filter(({ at, lifetimeMs }) => at < now - lifetimeMs);
    if (expired.length === 0 && ended.length === 0) {
      return;
    }
    this._decide();
    const blamedBefore = this._blamed;
    for (const [key] of expired) {
      this._crashes.delete(key);
    }
    this._restored = this._restored.filter((restored) => !ended.includes(restored));
    this._invalidate();
    this._decide();
    const kept = new Set(this._blamed.map(({ parts }) => formatParts(parts)));
    const endedBlamed = blamedBefore
      .filter(({ parts }) => !kept.has(formatParts(parts)))
      .map(({ parts }) => ({ parts: new Set(parts), lifetimeMs: EVIDENCE_LIFETIME_MS }));
    this._former = [...this._former, ...endedBlamed, ...ended].slice(-MAX_FORMER);
  }

  /** Renews the quarantines that have ended if a request with all of their parts broke again. */
  private _renew(crash: ICrash, now: number): void {
    const renewed = this._former.filter(
      ({ parts }) => listRequestsWith(crash, [...parts]).length > 0,
    );
    for (const { parts, lifetimeMs } of renewed) {
      this._restored.push({ parts, at: now, lifetimeMs: RENEWAL_FACTOR * lifetimeMs });
    }
    this._former = this._former.filter((former) => !renewed.includes(former));
  }

  /** Drops the oldest crashes beyond the bound, first those that are no reason for a quarantine. */
  private _dropSurplus(): void {
    if (this._crashes.size <= MAX_CRASHES) {
      return;
    }
    this._decide();
    const reasons = new Set(this._blamed.flatMap(({ crashes }) => crashes));
    const isReason = ([, crash]: readonly [string, ICrash]): boolean => reasons.has(crash);
    const all = [...this._crashes];
    const ranked = [...all.filter((entry) => !isReason(entry)), ...all.filter(isReason)];
    for (const [key] of ranked.slice(0, Math.max(0, all.length - MAX_CRASHES))) {
      this._crashes.delete(key);
    }
  }

  private _invalidate(): void {
    this._isStale = true;
    this._revision += 1;
  }

  /** Decides which parts to quarantine if reports have changed. A crash that these explain puts no blame on other parts. */
  private _decide(): void {
    if (!this._isStale) {
      return;
    }
    this._isStale = false;
    const blamed: IBlamed[] = [];
    let unexplained = [...this._crashes.values()];
    for (;;) {
      const worst = findWorst(unexplained, this._hasAllReports);
      if (worst === undefined) {
        break;
      }
      const { parts } = worst;
      blamed.push(worst);
      unexplained = unexplained.filter((crash) => listRequestsWith(crash, parts).length === 0);
    }
    this._blamed = blamed;
  }
}

/**
 * The parts with the most crashes among those with enough blame; undefined if there are none. Parts that occurred in the
 * same crashes but never in one request are left out: the next crash tells them apart. Contents come last, as requests
 * with many prompts may have them.
 */
function findWorst(crashes: readonly ICrash[], hasAllReports: boolean): IBlamed | undefined {
  const candidates = [...sumBlame(crashes, hasAllReports)].filter(
    ([, { blame, crashes: own, sufficientCrashes }]) =>
      own.length >= sufficientCrashes || (own.length >= MIN_BLAMED_CRASHES && blame >= MIN_BLAME),
  );
  candidates.sort(
    ([, left], [, right]) =>
      Number(left.isContent) - Number(right.isContent) ||
      right.crashes.length - left.crashes.length,
  );
  for (const [, { crashes: worst, isContent }] of candidates) {
    const tied = candidates
      .filter(([, entry]) => entry.isContent === isContent && hasSameItems(entry.crashes, worst))
      .map(([part]) => part);
    const requests = worst.flatMap((crash) => listRequestsWith(crash, tied));
    if (requests.length > 0) {
      const own = [
        ...findCommon(requests.map(({ request }) => request)),
        ...findCommon(requests.map(({ prompt }) => prompt)),
      ];
      return { parts: [...new Set([...tied, ...own])], crashes: worst };
    }
  }
  return undefined;
}

interface IBlame {
  blame: number;
  readonly crashes: ICrash[];
  readonly sufficientCrashes: number;
  readonly isContent: boolean;
}

/**
 * Blame by part and by request. The parts of a crash share it with all requests that have such parts; a request and its
 * repetitions together share it with all others that broke. Contents are judged by the number of crashes alone.
 */
function sumBlame(crashes: readonly ICrash[], hasAllReports: boolean): ReadonlyMap<number, IBlame> {
  const byPart = new Map<number, IBlame>();
  const addBlame = (
    crash: ICrash,
    parts: Iterable<number>,
    blame: number,
    sufficientCrashes: number,
    isContent = false,
  ): void => {
    for (const part of parts) {
      const entry = byPart.get(part) ?? { blame: 0, crashes: [], sufficientCrashes, isContent };
      entry.blame += blame;
      entry.crashes.push(crash);
      byPart.set(part, entry);
    }
  };
  for (const crash of crashes) {
    const requests = [...crash.requests.values()];
    const withParts = requests.filter(({ parts }) => parts.size > 0);
    const parts = new Set(withParts.flatMap((request) => [...request.parts]));
    addBlame(crash, parts, 1 / withParts.length, SUFFICIENT_CRASHES);
    const hashes = listRequestHashes(crash);
    const soundCount = requests.filter(({ request }) => request === 0).length;
    const share = hasAllReports ? 1 / (hashes.size + soundCount) : 0;
    addBlame(crash, hashes, share, SUFFICIENT_REQUEST_CRASHES);
    addBlame(crash, listContents(crash), 0, SUFFICIENT_REQUEST_CRASHES, true);
  }
  return byPart;
}

/** The requests of a crash that are not known to be sound. */
function listRequestHashes({ requests }: ICrash): ReadonlySet<number> {
  return new Set([...requests.values()].map(({ request }) => request).filter((hash) => hash !== 0));
}

/** Contents of the requests with prompts that are not known to be sound. */
function listContents({ requests }: ICrash): ReadonlySet<number> {
  return new Set([...requests.values()].map(({ content }) => content).filter((hash) => hash !== 0));
}

/** Requests and contents that broke in several crashes. The others are too many to tell all processes of them. */
function listRepeatedRequests(crashes: readonly ICrash[]): readonly number[] {
  const counts = new Map<number, number>();
  const hashes = crashes.flatMap((crash) => [...listRequestHashes(crash), ...listContents(crash)]);
  for (const hash of hashes) {
    counts.set(hash, (counts.get(hash) ?? 0) + 1);
  }
  return [...counts].flatMap(([hash, count]) => (count >= MIN_BLAMED_CRASHES ? [hash] : []));
}

/** The requests of a crash that had all of some parts; these may include a request itself, its prompt or its content. */
function listRequestsWith(crash: ICrash, parts: readonly number[]): readonly ISuspectRequest[] {
  return [...crash.requests.values()].filter((request) =>
    parts.every(
      (part) =>
        request.parts.has(part) ||
        [request.request, request.prompt, request.content].includes(part),
    ),
  );
}

/** Takes a part, or what stands for the whole request, off a request; true if it was under suspicion. */
function clearPart(request: ISuspectRequest, part: number): boolean {
  const isSuspect = request.parts.has(part) || request.request === part || request.content === part;
  request.parts.delete(part);
  request.request = request.request === part ? 0 : request.request;
  request.content = request.content === part ? 0 : request.content;
  return isSuspect;
}

/** The hash that all requests have, if it is known. */
function findCommon(hashes: readonly number[]): readonly number[] {
  const different = new Set(hashes);
  return different.size === 1 && !different.has(0) ? [...different] : [];
}

/** Equal for lists with the same parts. */
export function formatParts(parts: readonly number[]): string {
  return [...parts].sort((left, right) => left - right).join();
}

function hasSameItems(left: readonly ICrash[], right: readonly ICrash[]): boolean {
  return left.length === right.length && left.every((crash, i) => crash === right[i]);
}
