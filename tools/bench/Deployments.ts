/** The deployments of the bench, after the workloads of docs/design.md 1.2. */

/** One level of the tree of shared prefixes. */
export interface IPrefixLevel {
  /** Branches below each prefix of the level above. */
  readonly branches: number;
  readonly minChunks: number;
  readonly maxChunks: number;
}

export interface IDeployment {
  readonly name: string;
  readonly service: string;
  readonly engines: number;
  readonly entries: number;
  readonly dataCentres: number;
  /** Requests/s over the whole fleet while each account keeps to its rate. */
  readonly requestsPerSecond: number;
  /** Cache and working memory of one engine, in chunks. */
  readonly engineChunks: number;
  readonly prefillTokensPerMs: number;
  readonly levels: readonly IPrefixLevel[];
  /** Unique whole chunks behind the shared prefix, by weight of 0, 1, 2... chunks. */
  readonly uniqueChunkWeights: readonly number[];
  readonly maxTailTokens: number;
  readonly minOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Exponent of the popularity: larger is more skewed. */
  readonly skew: number;
  /** Interval after which the popularity of the prefixes changes. */
  readonly shiftMs: number;
}

/** Share of each account in the rates; the account at `FLOODING_ACCOUNT` exceeds its rate. */
export const ACCOUNT_SHARES = [0.35, 0.3, 0.15, 0.12, 0.08];
export const FLOODING_ACCOUNT = 2;
export const FLOODING_FACTOR = 5;

/** Part of its rate that a well-behaved account uses on average. */
export const NORMAL_USE = 0.8;

/** Bursts hold the tokens of this time at the account's rate. */
export const BURST_MS = 20_000;

/** Time for a request until it is given up. */
export const REQUEST_DEADLINE_MS = 15_000;

export const DEPLOYMENTS: Readonly<Record<string, IDeployment>> = {
  authority: {
    name: 'authority',
    service: 'assessor',
    engines: 13,
    entries: 3,
    dataCentres: 4,
    requestsPerSecond: 22,
    engineChunks: 100,
    prefillTokensPerMs: 16,
    levels: [
      { branches: 2, minChunks: 3, maxChunks: 5 },
      { branches: 5, minChunks: 2, maxChunks: 4 },
      { branches: 4, minChunks: 1, maxChunks: 3 },
    ],
    uniqueChunkWeights: [0.35, 0.3, 0.2, 0.15],
    maxTailTokens: 1_900,
    minOutputTokens: 50,
    maxOutputTokens: 300,
    skew: 1.1,
    shiftMs: 20_000,
  },
  franchise: {
    name: 'franchise',
    service: 'lace',
    engines: 6,
    entries: 3,
    dataCentres: 3,
    requestsPerSecond: 14,
    engineChunks: 70,
    prefillTokensPerMs: 16,
    levels: [
      { branches: 2, minChunks: 2, maxChunks: 4 },
      { branches: 4, minChunks: 1, maxChunks: 3 },
      { branches: 4, minChunks: 1, maxChunks: 3 },
    ],
    uniqueChunkWeights: [0.8, 0.2],
    maxTailTokens: 1_900,
    minOutputTokens: 30,
    maxOutputTokens: 200,
    skew: 1.1,
    shiftMs: 20_000,
  },
};
