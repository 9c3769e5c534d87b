/**
 * Generates the arrivals of one run. They depend on the deployment and the seed only, never on the
 * policy, so that policies can be compared.
 */
import { digestSha256, encodeHex } from '../../src/common/Hashes.js';
import { CHUNK_TOKENS } from '../../src/policy/PrefixChain.js';
import type { ChainHash, IRandom } from '../../src/policy/Types.js';
import {
  ACCOUNT_RATE_SHARES,
  FLOODING_ACCOUNT,
  FLOODING_RATE_FACTOR,
  NORMAL_RATE_FRACTION,
  type IDeployment,
} from './Deployments.js';
import { createRandom, sampleExponential, sampleWeightedIndex, sampleInteger } from './Random.js';

/** One request that arrives at an entry. */
export interface IArrival {
  /** Simulated time in milliseconds. */
  readonly at: number;
  readonly id: string;
  /** Index of the entry that the load balancer selects. */
  readonly entryIndex: number;
  readonly accountIndex: number;
  readonly chain: readonly ChainHash[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
}

/** Arrivals of one run, ordered by time, and the rates of the client accounts. */
export interface IWorkload {
  readonly arrivals: readonly IArrival[];
  /** Rate limit of each client account in tokens per millisecond. */
  readonly tokenRatesPerMs: readonly number[];
  /** Number of distinct chunks in the shared prefixes of all client accounts. */
  readonly sharedChunks: number;
}

/** Node of the tree of shared prompt prefixes of one client account. */
interface IPrefixNode {
  /** Hashes of all chunks from the start of the prompt to the end of this node. */
  readonly chain: readonly ChainHash[];
  readonly children: readonly IPrefixNode[];
  /** Popularity rank among the siblings, 0 for the most popular; shuffled during the run. */
  rank: number;
}

function hashChunk(parent: string, label: string): ChainHash {
  return encodeHex(digestSha256(parent, label)).slice(0, 32);
}

function extendChain(
  chain: readonly ChainHash[],
  label: string,
  chunks: number,
): readonly ChainHash[] {
  const extended = [...chain];
  for (let i = 0; i < chunks; i += 1) {
    extended.push(hashChunk(extended[extended.length - 1] ?? 'salt', `${label}/${i}`));
  }
  return extended;
}

function buildNodes(
  deployment: IDeployment,
  random: IRandom,
  parent: readonly ChainHash[],
  label: string,
  depth: number,
): IPrefixNode[] {
  const level = deployment.levels[depth];
  if (level === undefined) {
    return [];
  }
  return Array.from({ length: level.branches }, (_, rank) => {
    const path = `${label}/${rank}`;
    const chunks = sampleInteger(random, level.minChunks, level.maxChunks);
    const chain = extendChain(parent, path, chunks);
    return { chain, children: buildNodes(deployment, random, chain, path, depth + 1), rank };
  });
}

/** Assigns new random popularity ranks to the nodes and their descendants. */
function shuffleRanks(nodes: readonly IPrefixNode[], random: IRandom): void {
  const ranks = nodes.map((_, rank) => rank);
  for (const node of nodes) {
    node.rank = ranks.splice(Math.floor(random() * ranks.length), 1)[0] ?? 0;
    shuffleRanks(node.children, random);
  }
}

function sampleLeaf(
  nodes: readonly IPrefixNode[],
  zipfExponent: number,
  random: IRandom,
): IPrefixNode {
  const weights = nodes.map((node) => (node.rank + 1) ** -zipfExponent);
  const node = nodes[sampleWeightedIndex(random, weights)];
  if (node === undefined) {
    throw new Error(
      'a prefix level of the deployment has no branches; each level needs at least one',
    );
  }
  return node.children.length === 0 ? node : sampleLeaf(node.children, zipfExponent, random);
}

function countChunks(nodes: readonly IPrefixNode[], parentChunks: number): number {
  return nodes.reduce(
    (sum, node) =>
      sum + node.chain.length - parentChunks + countChunks(node.children, node.chain.length),
    0,
  );
}

/** Generates the arrivals of one client account. */
class AccountTraffic {
  private readonly _roots: readonly IPrefixNode[];
  private readonly _random: IRandom;
  private _popularityShifts = 0;

  constructor(
    private readonly _deployment: IDeployment,
    private readonly _accountIndex: number,
    seed: number,
  ) {
    const label = `account-${_accountIndex}`;
    // The tree belongs to the deployment, so its seed is fixed: the seed of the run changes
    // arrivals only.
    this._roots = buildNodes(_deployment, createRandom(1, label), [], label, 0);
    this._random = createRandom(seed, `traffic-${_accountIndex}`);
  }

  public get sharedChunks(): number {
    return countChunks(this._roots, 0);
  }

  /** Generates arrivals until `endMs`, at exponentially distributed intervals. */
  public generate(endMs: number, meanIntervalMs: number): IArrival[] {
    const arrivals: IArrival[] = [];
    let at = sampleExponential(this._random, meanIntervalMs);
    while (at < endMs) {
      while (at >= this._popularityShifts * this._deployment.popularityShiftIntervalMs) {
        shuffleRanks(this._roots, this._random);
        this._popularityShifts += 1;
      }
      arrivals.push(this._generateArrival(at, arrivals.length));
      at += sampleExponential(this._random, meanIntervalMs);
    }
    return arrivals;
  }

  private _generateArrival(at: number, sequence: number): IArrival {
    const deployment = this._deployment;
    const id = `${this._accountIndex}-${sequence}`;
    const leaf = sampleLeaf(this._roots, deployment.zipfExponent, this._random);
    const uniqueChunks = sampleWeightedIndex(this._random, deployment.uniqueChunkWeights);
    const chain = extendChain(leaf.chain, id, uniqueChunks);
    const partialChunkTokens = sampleInteger(this._random, 100, deployment.maxPartialChunkTokens);
    return {
      at,
      id,
      entryIndex: sampleInteger(this._random, 0, deployment.entries - 1),
      accountIndex: this._accountIndex,
      chain,
      promptTokens: chain.length * CHUNK_TOKENS + partialChunkTokens,
      outputTokens: sampleInteger(
        this._random,
        deployment.minOutputTokens,
        deployment.maxOutputTokens,
      ),
      priority: this._random() < 0.1 ? 1 : 0,
    };
  }
}

/** Generates the arrivals of all client accounts until `endMs`. */
export function generateWorkload(deployment: IDeployment, seed: number, endMs: number): IWorkload {
  const arrivals: IArrival[] = [];
  const tokenRatesPerMs: number[] = [];
  let sharedChunks = 0;
  for (const [accountIndex, share] of ACCOUNT_RATE_SHARES.entries()) {
    const traffic = new AccountTraffic(deployment, accountIndex, seed);
    const ratedIntervalMs = 1_000 / (deployment.requestsPerSecond * share);
    const rateFraction =
      accountIndex === FLOODING_ACCOUNT ? FLOODING_RATE_FACTOR : NORMAL_RATE_FRACTION;
    const accountArrivals = traffic.generate(endMs, ratedIntervalMs / rateFraction);
    const tokens = accountArrivals.reduce(
      (sum, item) => sum + item.promptTokens + item.outputTokens,
      0,
    );
    tokenRatesPerMs.push(tokens / Math.max(1, accountArrivals.length) / ratedIntervalMs);
    for (const arrival of accountArrivals) {
      arrivals.push(arrival);
    }
    sharedChunks += traffic.sharedChunks;
  }
  arrivals.sort((a, b) => a.at - b.at);
  return { arrivals, tokenRatesPerMs, sharedChunks };
}
