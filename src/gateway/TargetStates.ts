/** What this entry knows of each target from its own requests. */
import type { TargetRecord, TargetWork } from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';
import type { IToldLoad } from './Types.js';

/** Tokens beyond which a stream is expected to last for seconds on a busy engine (about 40 ms a token). */
export const LONG_STREAM_TOKENS = 100;

/** A target that failed is left alone for this long, doubled with each further failure. */
const FIRST_REST_MS = 250;
const LONGEST_REST_MS = 4_000;

/** Failures in a row before a target is left alone; a single one may be chance. */
const FAILURES_BEFORE_REST = 2;

/** A target that turned a request away as full is left alone for this long. */
const BUSY_REST_MS = 150;

/** Age beyond which a told load says nothing. */
const LOAD_KEPT_MS = 1_000;

/** Weight of one answer in a target's slowness, and its bounds. */
const SLOWNESS_WEIGHT = 0.15;
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 4;

/** Without answers a target's slowness is forgotten with this time constant. */
const SLOWNESS_KEPT_MS = 4_000;

/** Own record of one start of a target. */
export interface ITargetState {
  readonly born: number;
  /** Hash of the address, for rendezvous hashing. */
  readonly addressCode: number;
  /** Weights that the target holds, and since when this entry knows; its cache was empty then. */
  weights: string;
  weightsAt: number;
  /** Own requests in progress. */
  open: number;
  /** Prompt tokens of own requests that have no first event yet. */
  pendingTokens: number;
  /** Own streams in progress that were expected to last. */
  longStreams: number;
  /** Time to the first byte as a multiple of what was expected, averaged over the last answers. */
  slowness: number;
  slownessAt: number;
  failures: number;
  restUntil: number;
  /** Time of the last sign of life: any byte of any answer. */
  aliveAt: number;
  load: (IToldLoad & { readonly at: number }) | undefined;
}

export class TargetStates {
  private readonly _states = new Map<string, ITargetState>();

  public ensure(target: TargetRecord, now: number): ITargetState {
    const weights = target.models.map(({ name, version }) => `${name}@${version}`).join();
    let state = this._states.get(target.id);
    if (state?.born !== target.born) {
      state = {
        born: target.born,
        addressCode: hashText(target.address),
        weights,
        weightsAt: now,
        open: 0,
        pendingTokens: 0,
        longStreams: 0,
        slowness: 1,
        slownessAt: Number.NEGATIVE_INFINITY,
        failures: 0,
        restUntil: 0,
        aliveAt: Number.NEGATIVE_INFINITY,
        load: undefined,
      };
      this._states.set(target.id, state);
    } else if (state.weights !== weights) {
      state.weights = weights;
      state.weightsAt = now;
    }
    return state;
  }

  /** Own work for the exchange with the hub. */
  public listOpen(): Pick<TargetWork, 'id' | 'open' | 'pendingTokens' | 'longStreams'>[] {
    return [...this._states]
      .filter(([, state]) => state.open > 0)
      .map(([id, { open, pendingTokens, longStreams }]) => ({
        id,
        open,
        pendingTokens,
        longStreams,
      }));
  }

  public forget(id: string): void {
    const state = this._states.get(id);
    if (state?.open === 0) {
      this._states.delete(id);
    }
  }
}

export function noteGood(state: ITargetState): void {
  state.failures = 0;
  state.restUntil = 0;
}

/** Counts a failure; several in a row take the target out for a while. */
export function noteFailure(state: ITargetState, now: number): void {
  state.failures += 1;
  const doublings = state.failures - FAILURES_BEFORE_REST;
  if (doublings >= 0) {
    state.restUntil = now + Math.min(LONGEST_REST_MS, FIRST_REST_MS * 2 ** doublings);
  }
}

/** A target that can't be reached at all is left alone at once. */
export function noteUnreachable(state: ITargetState, now: number): void {
  state.failures = Math.max(state.failures, FAILURES_BEFORE_REST - 1);
  noteFailure(state, now);
}

/** Counts a refusal of a target that is full or loads weights. */
export function noteBusy(state: ITargetState, now: number): void {
  state.restUntil = Math.max(state.restUntil, now + BUSY_REST_MS);
}

/** How much slower than expected the target answers now. */
export function getSlowness(state: ITargetState, now: number): number {
  return 1 + (state.slowness - 1) * Math.exp(-(now - state.slownessAt) / SLOWNESS_KEPT_MS);
}

/** Learns from the time to the first byte of one answer. */
export function noteFirstByte(
  state: ITargetState,
  expectedMs: number,
  actualMs: number,
  now: number,
): void {
  const ratio = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, actualMs / Math.max(1, expectedMs)));
  const before = getSlowness(state, now);
  state.slowness = before + SLOWNESS_WEIGHT * (ratio - before);
  state.slownessAt = now;
}

export function noteLoad(state: ITargetState, load: IToldLoad, now: number): void {
  state.load = { ...load, at: now };
}

/** The load that the target told lately. */
export function getFreshLoad(state: ITargetState, now: number): IToldLoad | undefined {
  return state.load !== undefined && now - state.load.at <= LOAD_KEPT_MS ? state.load : undefined;
}
