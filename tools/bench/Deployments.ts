/** Simulated deployments, modelled on the workloads of docs/design.md 1.2. */

/** One level of the tree of shared prompt prefixes. */
export interface IPrefixLevel {
  /** Branches below each prefix of the level above. */
  readonly branches: number;
  readonly minChunks: number;
  readonly maxChunks: number;
}

/** Fleet, prompts and traffic of one simulated deployment. */
export interface IDeployment {
  readonly name: string;
  readonly service: string;
  readonly engines: number;
  readonly entries: number;
  readonly dataCentres: number;
  /** Requests per second over the whole fleet when each client account uses exactly its rate. */
  readonly requestsPerSecond: number;
  /** KV-cache memory of one engine, for cached prefixes and requests in progress, in chunks. */
  readonly engineCapacityChunks: number;
  readonly prefillTokensPerMs: number;
  readonly levels: readonly IPrefixLevel[];
  /**
   * Weights of 0, 1, 2... whole chunks that follow the shared prefix and occur in one prompt only.
   */
  readonly uniqueChunkWeights: readonly number[];
  /** Largest number of prompt tokens after the last whole chunk. */
  readonly maxPartialChunkTokens: number;
  readonly minOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Exponent of the Zipf distribution of prefix popularity: larger is more skewed. */
  readonly zipfExponent: number;
  /** Interval at which the popularity ranks of the prefixes are shuffled. */
  readonly popularityShiftIntervalMs: number;
}

/** Fraction of the rate of the whole fleet that each client account is entitled to. */
export const ACCOUNT_RATE_SHARES = [0.35, 0.3, 0.15, 0.12, 0.08];

/** Index of the client account that sends at `FLOODING_RATE_FACTOR` times its rate. */
export const FLOODING_ACCOUNT = 2;
export const FLOODING_RATE_FACTOR = 5;

/** Fraction of its rate that every other client account uses on average. */
export const NORMAL_RATE_FRACTION = 0.8;

/** Burst capacity of a client account, as the time in which its rate yields these tokens. */
export const BURST_CAPACITY_MS = 20_000;

/** Time after its arrival at which a request expires in the queue or counts as failed. */
export const REQUEST_TIMEOUT_MS = 15_000;

/** Deployments by name; the name is the value of the option `--deployment`. */
export const DEPLOYMENTS: Readonly<Record<string, IDeployment>> = {
  authority: {
    name: 'authority',
    service: 'assessor',
    engines: 13,
    entries: 3,
    dataCentres: 4,
    requestsPerSecond: 22,
    engineCapacityChunks: 100,
    prefillTokensPerMs: 16,
    levels: [
      { branches: 2, minChunks: 3, maxChunks: 5 },
      { branches: 5, minChunks: 2, maxChunks: 4 },
      { branches: 4, minChunks: 1, maxChunks: 3 },
    ],
    uniqueChunkWeights: [0.35, 0.3, 0.2, 0.15],
    maxPartialChunkTokens: 1_900,
    minOutputTokens: 50,
    maxOutputTokens: 300,
    zipfExponent: 1.1,
    popularityShiftIntervalMs: 20_000,
  },
  franchise: {
    name: 'franchise',
    service: 'lace',
    engines: 6,
    entries: 3,
    dataCentres: 3,
    requestsPerSecond: 14,
    engineCapacityChunks: 70,
    prefillTokensPerMs: 16,
    levels: [
      { branches: 2, minChunks: 2, maxChunks: 4 },
      { branches: 4, minChunks: 1, maxChunks: 3 },
      { branches: 4, minChunks: 1, maxChunks: 3 },
    ],
    uniqueChunkWeights: [0.8, 0.2],
    maxPartialChunkTokens: 1_900,
    minOutputTokens: 30,
    maxOutputTokens: 200,
    zipfExponent: 1.1,
    popularityShiftIntervalMs: 20_000,
  },
};
