/** Arrivals of one run. They depend on the deployment and the seed only, never on the policy. */
import { digestSha256, encodeHex } from '../../src/common/Hashes.js';
import { CHUNK_TOKENS } from '../../src/policy/PrefixChain.js';
import type { ChainHash, IRandom } from '../../src/policy/Types.js';
import {
  ACCOUNT_SHARES,
  FLOODING_ACCOUNT,
  FLOODING_FACTOR,
  NORMAL_USE,
  type IDeployment,
} from './Deployments.js';
import { createRandom, sampleExponential, sampleIndex, sampleInteger } from './Random.js';

export interface IArrival {
  readonly at: number;
  readonly id: string;
  /** Number of the entry that the load balancer selects. */
  readonly entry: number;
  readonly account: number;
  readonly chain: readonly ChainHash[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
}

export interface IWorkload {
  readonly arrivals: readonly IArrival[];
  /** Rate of each account in tokens per millisecond. */
  readonly ratesPerMs: readonly number[];
  /** Distinct shared chunks. */
  readonly sharedChunks: number;
}

/** A node of the tree of shared prefixes of one account. */
interface IPrefixNode {
  /** Chain from the first chunk to the end of this node. */
  readonly chain: readonly ChainHash[];
  readonly children: readonly IPrefixNode[];
  /** Popularity rank among the siblings; shifted in the course of the run. */
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

/** Gives the siblings new popularity ranks. */
function shuffleRanks(nodes: readonly IPrefixNode[], random: IRandom): void {
  const ranks = nodes.map((_, rank) => rank);
  for (const node of nodes) {
    node.rank = ranks.splice(Math.floor(random() * ranks.length), 1)[0] ?? 0;
    shuffleRanks(node.children, random);
  }
}

function sampleLeaf(nodes: readonly IPrefixNode[], skew: number, random: IRandom): IPrefixNode {
  const weights = nodes.map((node) => (node.rank + 1) ** -skew);
  const node = nodes[sampleIndex(random, weights)];
  if (node === undefined) {
    throw new Error('the deployment has a level without branches');
  }
  return node.children.length === 0 ? node : sampleLeaf(node.children, skew, random);
}

function countChunks(nodes: readonly IPrefixNode[], parentChunks: number): number {
  return nodes.reduce(
    (sum, node) =>
      sum + node.chain.length - parentChunks + countChunks(node.children, node.chain.length),
    0,
  );
}

class AccountTraffic {
  private readonly _roots: readonly IPrefixNode[];
  private readonly _random: IRandom;
  private _shifts = 0;

  constructor(
    private readonly _deployment: IDeployment,
    private readonly _account: number,
    seed: number,
  ) {
    const label = `account-${_account}`;
    // The tree is part of the deployment: seeds change arrivals only.
    this._roots = buildNodes(_deployment, createRandom(1, label), [], label, 0);
    this._random = createRandom(seed, `traffic-${_account}`);
  }

  public get sharedChunks(): number {
    return countChunks(this._roots, 0);
  }

  /** Arrivals with the given mean gap until the end. */
  public generate(endMs: number, meanGapMs: number): IArrival[] {
    const arrivals: IArrival[] = [];
    let at = sampleExponential(this._random, meanGapMs);
    while (at < endMs) {
      while (at >= this._shifts * this._deployment.shiftMs) {
        shuffleRanks(this._roots, this._random);
        this._shifts += 1;
      }
      arrivals.push(this._generateOne(at, arrivals.length));
      at += sampleExponential(this._random, meanGapMs);
    }
    return arrivals;
  }

  private _generateOne(at: number, count: number): IArrival {
    const deployment = this._deployment;
    const id = `${this._account}-${count}`;
    const leaf = sampleLeaf(this._roots, deployment.skew, this._random);
    const unique = sampleIndex(this._random, deployment.uniqueChunkWeights);
    const chain = extendChain(leaf.chain, id, unique);
    const tail = sampleInteger(this._random, 100, deployment.maxTailTokens);
    return {
      at,
      id,
      entry: sampleInteger(this._random, 0, deployment.entries - 1),
      account: this._account,
      chain,
      promptTokens: chain.length * CHUNK_TOKENS + tail,
      outputTokens: sampleInteger(
        this._random,
        deployment.minOutputTokens,
        deployment.maxOutputTokens,
      ),
      priority: this._random() < 0.1 ? 1 : 0,
    };
  }
}

/** Generates the arrivals of one run. */
export function generateWorkload(deployment: IDeployment, seed: number, endMs: number): IWorkload {
  const arrivals: IArrival[] = [];
  const ratesPerMs: number[] = [];
  let sharedChunks = 0;
  for (const [account, share] of ACCOUNT_SHARES.entries()) {
    const traffic = new AccountTraffic(deployment, account, seed);
    const ratedGapMs = 1_000 / (deployment.requestsPerSecond * share);
    const use = account === FLOODING_ACCOUNT ? FLOODING_FACTOR : NORMAL_USE;
    const own = traffic.generate(endMs, ratedGapMs / use);
    const tokens = own.reduce((sum, item) => sum + item.promptTokens + item.outputTokens, 0);
    ratesPerMs.push(tokens / Math.max(1, own.length) / ratedGapMs);
    for (const arrival of own) {
      arrivals.push(arrival);
    }
    sharedChunks += traffic.sharedChunks;
  }
  arrivals.sort((a, b) => a.at - b.at);
  return { arrivals, ratesPerMs, sharedChunks };
}
