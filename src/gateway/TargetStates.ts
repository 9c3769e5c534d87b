/** Per-target state of this entry: requests in progress, failures, cooldown, response times and load. */
import { clampToUint32 } from '../common/Uint32.js';
import type { TargetRecord, TargetWork } from '../gen/redwingwharf/v1/fleet_pb.js';
import { hashText } from '../policy/TargetTable.js';
import type { IReportedLoad } from './Types.js';

/** Streams with more output tokens last for seconds on a busy engine, which takes about 40 ms a token. */
export const LONG_STREAM_TOKENS = 100;

/** Cooldown of a target after failures; doubles with each further failure up to the maximum. */
const MIN_COOLDOWN_MS = 250;
const MAX_COOLDOWN_MS = 4_000;

/** Consecutive failures that start a cooldown; a single failure may be accidental. */
const FAILURES_BEFORE_COOLDOWN = 2;

/** Cooldown of a target that refused a request because it is full or loads weights. */
const BUSY_COOLDOWN_MS = 150;

/** A longer pause counts as this one, so that no answer puts a target out of use for good. */
const MAX_PAUSE_MS = 300_000;

/** After a pause an entry may have one request more in progress at a target after each step, until the ramp ends. */
const RAMP_STEP_MS = 50;
const RAMP_MS = 2_000;

/** Age beyond which a reported load is ignored. */
const MAX_LOAD_AGE_MS = 1_000;

/** Weight of one sample in the moving average of a target's slowness, and the bounds of a sample. */
const SLOWNESS_SMOOTHING_FACTOR = 0.15;
const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 4;

/** Without new samples the slowness of a target decays towards the usual one with this time constant. */
const SLOWNESS_TIME_CONSTANT_MS = 4_000;

/** Age at which a report of how long work takes says nothing more; spells last about 0.6 s. */
const MAX_SPELL_AGE_MS = 300;

/** Bounds of the effect of such a report. */
const MIN_SPELL_FACTOR = 0.25;
const MAX_SPELL_FACTOR = 10;

/** The usual figure of a target follows its reports in steps, so that spells move it little. */
const USUAL_SMOOTHING_FACTOR = 0.1;
const MAX_USUAL_STEP = 0.3;

/**
 * Slowness that is usual among the targets of a plain service. The time assumed for its requests is the same for all
 * services; without this, a target without samples seems slower or faster than the others by what is assumed wrongly.
 */
interface IUsualSlowness {
  value: number;
}

/** State of one incarnation of a target; a restart begins a new one. */
export interface ITargetState {
  readonly born: number;
  /** Hash of the address, for rendezvous hashing. */
  readonly addressHash: number;
  /** Weights that the target holds, and when this entry learned of them; the cache was empty then. */
  weights: string;
  weightsSince: number;
  /** Requests of this entry in progress. */
  open: number;
  /** Prompt tokens of this entry's requests that have not received a first byte. */
  pendingTokens: number;
  /** Streams of this entry in progress that were expected to exceed `LONG_STREAM_TOKENS`. */
  longStreams: number;
  /** Requests of this entry in progress with suspect prompt parts. */
  suspects: number;
  /** Moving average of the ratio of actual to expected time to the first byte. */
  slowness: number;
  slownessUpdatedAt: number;
  /** Undefined for an engine, whose expected times come from its data sheet. */
  readonly usualSlowness: IUsualSlowness | undefined;
  /** Consecutive failures. */
  failures: number;
  cooldownUntil: number;
  /** Until when the target wants no requests of this entry. */
  pausedUntil: number;
  /** True once the target has stated that it leaves: it gets no further requests. */
  isLeaving: boolean;
  /** When the target last sent a byte of any response to this entry. */
  lastActivityAt: number;
  /** True from when the target counted as silent until it sends a byte. */
  isSilent: boolean;
  load: (IReportedLoad & { readonly at: number }) | undefined;
  /** The figure that the target usually reports for how long work takes, in percent. */
  usualPercent: number;
}

/** Holds the state of each target by its id. */
export class TargetStates {
  private readonly _states = new Map<string, ITargetState>();
  /** By service. */
  private readonly _usualSlowness = new Map<string, IUsualSlowness>();

  /** Returns the state of the target's current incarnation, and creates it if there is none. */
  public ensure(target: TargetRecord, now: number): ITargetState {
    const weights = target.models.map(({ name, version }) => `${name}@${version}`).join();
    let state = this._states.get(target.id);
    if (state?.born !== target.born) {
      state = {
        born: target.born,
        addressHash: hashText(target.address),
        weights,
        weightsSince: now,
        open: 0,
        pendingTokens: 0,
        longStreams: 0,
        suspects: 0,
        slowness: 1,
        slownessUpdatedAt: Number.NEGATIVE_INFINITY,
        usualSlowness:
          target.models.length > 0 ? undefined : this._ensureUsualSlowness(target.service),
        failures: 0,
        cooldownUntil: 0,
        pausedUntil: Number.NEGATIVE_INFINITY,
        isLeaving: false,
        lastActivityAt: Number.NEGATIVE_INFINITY,
        isSilent: false,
        load: undefined,
        usualPercent: 100,
      };
      this._states.set(target.id, state);
    } else if (state.weights !== weights) {
      state.weights = weights;
      state.weightsSince = now;
    }
    return state;
  }

  /** Targets with requests of this entry in progress, as reported to the hub. */
  public listOpen(): Pick<TargetWork, 'id' | 'open' | 'pendingTokens' | 'longStreams'>[] {
    return [...this._states]
      .filter(([, state]) => state.open > 0)
      .map(([id, { open, pendingTokens, longStreams }]) => ({
        id,
        open,
        pendingTokens: clampToUint32(pendingTokens),
        longStreams: clampToUint32(longStreams),
      }));
  }

  /** Drops the state of a target unless requests to it are in progress. */
  public remove(id: string): void {
    const state = this._states.get(id);
    if (state?.open === 0) {
      this._states.delete(id);
    }
  }

  private _ensureUsualSlowness(service: string): IUsualSlowness {
    const usual = this._usualSlowness.get(service) ?? { value: 1 };
    this._usualSlowness.set(service, usual);
    return usual;
  }
}

/** Resets the failure count and ends a cooldown. */
export function recordSuccess(state: ITargetState): void {
  state.failures = 0;
  state.cooldownUntil = 0;
}

/** Counts a failure. From `FAILURES_BEFORE_COOLDOWN` consecutive ones on the target gets a cooldown. */
export function recordFailure(state: ITargetState, now: number): void {
  state.failures += 1;
  const doublings = state.failures - FAILURES_BEFORE_COOLDOWN;
  if (doublings >= 0) {
    state.cooldownUntil = now + Math.min(MAX_COOLDOWN_MS, MIN_COOLDOWN_MS * 2 ** doublings);
  }
}

/** Counts a failure of a target that cannot be reached; starts a cooldown at once. */
export function recordUnreachable(state: ITargetState, now: number): void {
  state.failures = Math.max(state.failures, FAILURES_BEFORE_COOLDOWN - 1);
  recordFailure(state, now);
}

/** Starts a cooldown of a target that sends nothing; one that has failed sends no byte that ends it. */
export function recordSilence(state: ITargetState, now: number): void {
  state.isSilent = true;
  recordUnreachable(state, now);
}

/** Records a byte of any response. It ends the cooldown of a silent target, which is sound after all. */
export function recordActivity(state: ITargetState, now: number): void {
  state.lastActivityAt = now;
  if (state.isSilent) {
    state.isSilent = false;
    recordSuccess(state);
  }
}

/** Starts a short cooldown after a refusal by a target that is full or loads weights. */
export function recordBusy(state: ITargetState, now: number): void {
  state.cooldownUntil = Math.max(state.cooldownUntil, now + BUSY_COOLDOWN_MS);
}

/** Starts a pause that a target asked for. Each wish holds to its own end, so the longest one counts. */
export function recordPause(state: ITargetState, pauseMs: number, now: number): void {
  state.pausedUntil = Math.max(state.pausedUntil, now + Math.min(MAX_PAUSE_MS, pauseMs));
}

/**
 * Time until a target takes another request after a pause; 0 if it does now. It gets its share of the waiting requests
 * gradually, not all at once.
 */
export function getPauseMs(state: ITargetState, now: number): number {
  const elapsedMs = now - state.pausedUntil;
  if (elapsedMs < 0) {
    return -elapsedMs;
  }
  const maxOpen = 1 + Math.floor(elapsedMs / RAMP_STEP_MS);
  return elapsedMs >= RAMP_MS || state.open < maxOpen
    ? 0
    : RAMP_STEP_MS - (elapsedMs % RAMP_STEP_MS);
}

/** Slowness of a target of which this entry knows nothing. */
export function getUsualSlowness(state: ITargetState): number {
  return state.usualSlowness?.value ?? 1;
}

/** Ratio of actual to expected time to the first byte, decayed to the given time; 1 is as expected. */
export function getSlowness(state: ITargetState, now: number): number {
  const usual = getUsualSlowness(state);
  const elapsedMs = now - state.slownessUpdatedAt;
  return usual + (state.slowness - usual) * Math.exp(-elapsedMs / SLOWNESS_TIME_CONSTANT_MS);
}

/** Updates the slowness with the time to the first byte of one response. */
export function recordFirstByte(
  state: ITargetState,
  expectedMs: number,
  actualMs: number,
  now: number,
): void {
  const ratio = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, actualMs / Math.max(1, expectedMs)));
  const previous = getSlowness(state, now);
  state.slowness = previous + SLOWNESS_SMOOTHING_FACTOR * (ratio - previous);
  state.slownessUpdatedAt = now;
  const { usualSlowness } = state;
  if (usualSlowness !== undefined) {
    usualSlowness.value += SLOWNESS_SMOOTHING_FACTOR * (ratio - usualSlowness.value);
  }
}

export function recordLoad(state: ITargetState, load: IReportedLoad, now: number): void {
  state.load = { ...load, at: now };
  if (load.slownessPercent !== undefined) {
    const step = Math.log(load.slownessPercent / state.usualPercent);
    const bounded = Math.min(MAX_USUAL_STEP, Math.max(-MAX_USUAL_STEP, step));
    state.usualPercent *= Math.exp(USUAL_SMOOTHING_FACTOR * bounded);
  }
}

/**
 * How much longer work takes than usual on a target, by its last report; decays to 1 within `MAX_SPELL_AGE_MS`, as the
 * figure changes many times a second. A figure that is always high is a lasting difference, not a spell.
 */
export function getSpellFactor(state: ITargetState, now: number): number {
  const percent = state.load?.slownessPercent;
  if (state.load === undefined || percent === undefined) {
    return 1;
  }
  const remaining = 1 - (now - state.load.at) / MAX_SPELL_AGE_MS;
  const factor = Math.min(
    MAX_SPELL_FACTOR,
    Math.max(MIN_SPELL_FACTOR, percent / state.usualPercent),
  );
  return remaining <= 0 ? 1 : factor ** Math.min(1, remaining);
}

/** Load that the target last reported; undefined if it is older than `MAX_LOAD_AGE_MS`. */
export function getRecentLoad(state: ITargetState, now: number): IReportedLoad | undefined {
  return state.load !== undefined && now - state.load.at <= MAX_LOAD_AGE_MS
    ? state.load
    : undefined;
}
