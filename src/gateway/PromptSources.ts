/** Chooses the source from which a target fetches the shared prompt parts that it lacks. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IHolding } from './PromptHolders.js';
import type { IPromptPart } from './Types.js';

/** Candidate sources for each weights version; a bound, so that the effort does not grow with the fleet. */
const MAX_SOURCES = 3;

/** Sources with a smaller expected gain are ignored; a fetch of parts that a source lacks costs 1 ms. */
const MIN_GAINED_TOKENS = 50;

/** Target or store from which a target fetches shared parts. */
export type PromptSource =
  { readonly kind: 'target'; readonly record: TargetRecord } | { readonly kind: 'store' };

/** The chosen source and its expected effect for one target. */
export interface ISourceChoice {
  readonly source: PromptSource | undefined;
  /** Shared tokens that are expected to be fetched. */
  readonly transferredTokens: number;
  /** Shared tokens that are expected to be recomputed. */
  readonly missedTokens: number;
}

/** For each weights version the targets that are expected to hold the most tokens, best first. */
export function listSources(
  holdings: readonly IHolding[],
  parts: readonly IPromptPart[],
): ReadonlyMap<number, readonly IHolding[]> {
  const sources = new Map<number, IHolding[]>();
  const ordered = holdings
    .filter((holding) => !holding.isUnavailable)
    .map((holding) => ({ holding, tokens: sumExpectedTokens(parts, holding.chances) }))
    .filter(({ tokens }) => tokens >= MIN_GAINED_TOKENS)
    .sort((left, right) => right.tokens - left.tokens);
  for (const { holding } of ordered) {
    const listed = sources.get(holding.version) ?? [];
    if (listed.length < MAX_SOURCES) {
      listed.push(holding);
      sources.set(holding.version, listed);
    }
  }
  return sources;
}

/**
 * Chooses the source with the fewest recomputed tokens.
 *
 * @param storedParts number of leading shared parts that the store holds for the target's weights
 */
export function chooseSource(
  holding: IHolding,
  sources: readonly IHolding[],
  parts: readonly IPromptPart[],
  storedParts: number,
): ISourceChoice {
  const totalTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
  const heldTokens = sumExpectedTokens(parts, holding.chances);
  let best: ISourceChoice = {
    source: undefined,
    transferredTokens: 0,
    missedTokens: totalTokens - heldTokens,
  };
  const trySource = (source: PromptSource, chances: readonly number[]): void => {
    const combinedTokens = sumExpectedTokens(parts, mergeChances(holding.chances, chances));
    if (
      combinedTokens - heldTokens >= MIN_GAINED_TOKENS &&
      totalTokens - combinedTokens < best.missedTokens
    ) {
      best = {
        source,
        transferredTokens: combinedTokens - heldTokens,
        missedTokens: totalTokens - combinedTokens,
      };
    }
  };
  const others = sources.filter((other) => other !== holding);
  // Of equal sources the first wins: targets seen to hold the parts, whose links are faster than the
  // store's, then the store, and last the targets that are only assumed to hold them.
  for (const other of others.filter(({ seenParts }) => seenParts > 0)) {
    trySource({ kind: 'target', record: other.target.record }, other.chances);
  }
  trySource(
    { kind: 'store' },
    parts.map((_, i) => (i < storedParts ? 1 : 0)),
  );
  for (const other of others.filter(({ seenParts }) => seenParts === 0)) {
    trySource({ kind: 'target', record: other.target.record }, other.chances);
  }
  // The target may have evicted what it is expected to hold, and an unused source costs nothing.
  return { ...best, source: best.source ?? pickFallback(others, storedParts) };
}

/** Source for the case that the target has evicted parts; undefined if none certainly holds a part. */
function pickFallback(others: readonly IHolding[], storedParts: number): PromptSource | undefined {
  if (storedParts > 0) {
    return { kind: 'store' };
  }
  const seen = others.find(({ seenParts }) => seenParts > 0);
  return seen && { kind: 'target', record: seen.target.record };
}

/** For each part the probability that at least one of two targets holds it. */
function mergeChances(own: readonly number[], other: readonly number[]): readonly number[] {
  return own.map((chance, i) => 1 - (1 - chance) * (1 - (other[i] ?? 0)));
}

/** Expected number of tokens that are held. */
function sumExpectedTokens(parts: readonly IPromptPart[], chances: readonly number[]): number {
  return parts.reduce((sum, part, i) => sum + part.tokens * (chances[i] ?? 0), 0);
}
