/** Chooses from where a target fetches shared parts of a prompt that it lacks. */
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IHolding } from './PromptHolders.js';
import type { IPromptPart } from './Types.js';

/** Targets of each version that are considered as sources, so that the work does not grow with the fleet. */
const MAX_SOURCES = 3;

/** A source from which less is expected is not named; one that lacks the parts costs a millisecond. */
const MIN_GAINED_TOKENS = 50;

/** Where a target fetches shared parts. */
export type PromptSource =
  { readonly kind: 'target'; readonly record: TargetRecord } | { readonly kind: 'store' };

/** What a target is expected to have of the shared parts before it reads. */
export interface ISupply {
  readonly source: PromptSource | undefined;
  /** Shared tokens that are expected to be fetched. */
  readonly movedTokens: number;
  /** Shared tokens that are expected to be read again. */
  readonly missedTokens: number;
}

/** The targets of each version that are expected to hold most, best first. */
export function listSources(
  holdings: readonly IHolding[],
  parts: readonly IPromptPart[],
): ReadonlyMap<number, readonly IHolding[]> {
  const sources = new Map<number, IHolding[]>();
  const ordered = holdings
    .filter((holding) => !holding.isDoubtful)
    .map((holding) => ({ holding, tokens: sumExpected(parts, holding.chances) }))
    .filter(({ tokens }) => tokens >= MIN_GAINED_TOKENS)
    .sort((left, right) => right.tokens - left.tokens);
  for (const { holding } of ordered) {
    const same = sources.get(holding.version) ?? [];
    if (same.length < MAX_SOURCES) {
      same.push(holding);
      sources.set(holding.version, same);
    }
  }
  return sources;
}

/** `storedParts` is the number of leading shared parts that the store holds for the target's weights. */
export function chooseSource(
  holding: IHolding,
  sources: readonly IHolding[],
  parts: readonly IPromptPart[],
  storedParts: number,
): ISupply {
  const all = parts.reduce((sum, part) => sum + part.tokens, 0);
  const held = sumExpected(parts, holding.chances);
  let best: ISupply = { source: undefined, movedTokens: 0, missedTokens: all - held };
  const consider = (source: PromptSource, chances: readonly number[]): void => {
    const reached = sumExpected(parts, joinChances(holding.chances, chances));
    if (reached - held >= MIN_GAINED_TOKENS && all - reached < best.missedTokens) {
      best = { source, movedTokens: reached - held, missedTokens: all - reached };
    }
  };
  const others = sources.filter((other) => other !== holding);
  // Of equal ones the first is kept: engines' links are faster than the store's, a guess comes last.
  for (const other of others.filter(({ seenParts }) => seenParts > 0)) {
    consider({ kind: 'target', record: other.target.record }, other.chances);
  }
  consider(
    { kind: 'store' },
    parts.map((_, i) => (i < storedParts ? 1 : 0)),
  );
  for (const other of others.filter(({ seenParts }) => seenParts === 0)) {
    consider({ kind: 'target', record: other.target.record }, other.chances);
  }
  // An engine may have dropped what it is expected to hold. A source that is not needed costs nothing.
  return { ...best, source: best.source ?? pickSpare(others, storedParts) };
}

function pickSpare(others: readonly IHolding[], storedParts: number): PromptSource | undefined {
  if (storedParts > 0) {
    return { kind: 'store' };
  }
  const seen = others.find(({ seenParts }) => seenParts > 0);
  return seen && { kind: 'target', record: seen.target.record };
}

/** For each part the chance that at least one of two holders has it. */
function joinChances(own: readonly number[], other: readonly number[]): readonly number[] {
  return own.map((chance, i) => 1 - (1 - chance) * (1 - (other[i] ?? 0)));
}

function sumExpected(parts: readonly IPromptPart[], chances: readonly number[]): number {
  return parts.reduce((sum, part, i) => sum + part.tokens * (chances[i] ?? 0), 0);
}
