/** Engines of known speeds and entries that decide with late figures, for tests of the models of response times. */
import { create } from '@bufbuild/protobuf';
import { buildTarget } from '../fleet/Fixtures.js';
import { ServiceModelHub } from '../fleet/ServiceModelHub.js';
import { ServiceModels } from '../fleet/ServiceModels.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  TargetModelSchema,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { Placement } from './Placement.js';
import type { IPlacementRequest, IPlacementTarget } from './PlacementRequest.js';
import { PromptHolders } from './PromptHolders.js';
import { TargetModel } from './TargetModel.js';
import { recordLoad, TargetStates, type ITargetState } from './TargetStates.js';

/** Figures of one kind of engine. */
export interface IEngineKind {
  readonly tokensPerMs: number;
  readonly stepMs: number;
  readonly stepPerRunningMs: number;
  readonly firstTokenMs: number;
  readonly chunkTokens: number;
  /** Speeds of the targets, by turns. */
  readonly speeds: readonly number[];
  /** Part of the targets that is slower by `spellFactor`, changing each `spellMs`. */
  readonly spellShare: number;
  readonly spellMs: number;
  readonly spellFactor: number;
  /** Whether the targets report how long work takes at the moment. */
  readonly reportsSpells: boolean;
}

export const KIND_A: IEngineKind = {
  tokensPerMs: 56.9,
  stepMs: 3.09,
  stepPerRunningMs: 0.102,
  firstTokenMs: 13,
  chunkTokens: 1_024,
  speeds: [0.55, 1.2, 1.2, 1.2],
  spellShare: 0.15,
  spellMs: 600,
  spellFactor: 2.5,
  reportsSpells: true,
};

export const KIND_B: IEngineKind = {
  tokensPerMs: 110,
  stepMs: 6.08,
  stepPerRunningMs: 0.0413,
  firstTokenMs: 0,
  chunkTokens: 2_048,
  speeds: [1, 1, 1.3],
  spellShare: 0,
  spellMs: 600,
  spellFactor: 1,
  reportsSpells: false,
};

/** Returns numbers from 0 to 1 that are the same in each run. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** An engine that computes prompts one after the other. */
class Engine {
  public requests = 0;
  public busyMs = 0;
  private _freeAt = 0;
  private _runningUntil: number[] = [];
  private readonly _held = new Map<string, number>();

  constructor(
    private readonly _kind: IEngineKind,
    public readonly index: number,
    public readonly record: TargetRecord,
  ) {}

  public get speed(): number {
    return this._kind.speeds[this.index % this._kind.speeds.length] ?? 1;
  }

  public getSpell(now: number): number {
    const { spellShare, spellMs, spellFactor } = this._kind;
    const random = createRandom(this.index * 7_919 + Math.floor(now / spellMs));
    return random() < spellShare ? spellFactor : 1;
  }

  /** Takes a request; returns when the first byte comes and when the response ends. */
  public take(
    request: IPlacementRequest,
    now: number,
  ): { readonly firstAt: number; readonly endsAt: number } {
    const { tokensPerMs, stepMs, stepPerRunningMs, firstTokenMs, chunkTokens } = this._kind;
    const shared = request.parts.slice(0, -1);
    const missed = shared.filter(({ id }) => now - (this._held.get(id) ?? -Infinity) > 8_000);
    const tokens = [...missed, ...request.parts.slice(-1)].reduce(
      (sum, part) => sum + part.tokens,
      0,
    );
    shared.forEach(({ id }) => this._held.set(id, now));
    const startsAt = Math.max(now, this._freeAt);
    this._runningUntil = this._runningUntil.filter((at) => at > startsAt);
    const step = stepMs + stepPerRunningMs * this._runningUntil.length;
    const factor = this.getSpell(startsAt) / this.speed;
    const prefillMs = (tokens / tokensPerMs + Math.ceil(tokens / chunkTokens) * step) * factor;
    this._freeAt = startsAt + prefillMs;
    this.busyMs += prefillMs;
    this.requests += 1;
    const firstAt = this._freeAt + firstTokenMs * factor;
    const endsAt = firstAt + request.outputTokens * step * factor;
    this._runningUntil.push(endsAt);
    return { firstAt, endsAt };
  }
}

/** One process that accepts requests. */
class Entry {
  public readonly models = new ServiceModels();
  public readonly states = new TargetStates();
  public readonly placement: Placement;
  public others = new Map<string, { open: number; pendingTokens: number }>();
  public nextExchangeAt: number;
  private _epoch = '';

  constructor(seed: number, learns: boolean) {
    const random = createRandom(seed);
    this.nextExchangeAt = random() * 150;
    this.placement = new Placement(
      'zg-a',
      new PromptHolders(),
      new TargetModel(learns ? this.models : undefined),
      random,
    );
  }

  /** Reports to the hub and takes its answer. */
  public exchange(hub: ServiceModelHub, epoch: string, now: number): void {
    const request = create(ExchangeRequestSchema, { takesRequests: true, epoch: this._epoch });
    const response = create(ExchangeResponseSchema, { epoch });
    this.models.addReport(request, now);
    hub.exchange(request, response, now);
    const isNewEpoch = this._epoch !== epoch;
    this._epoch = epoch;
    this.models.applyResponse(response, { request, isNewEpoch, sentAt: now, now });
    this.models.setHubReachable(true, now);
  }
}

export interface ISimulationOptions {
  readonly kind: IEngineKind;
  readonly targets: number;
  readonly entries: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Time from which requests count. */
  readonly measureFromMs: number;
  readonly learns?: boolean;
  readonly subjects?: number;
  readonly buildRequest: (index: number, random: () => number) => IPlacementRequest;
}

export interface ISimulationResult {
  /** Ratios of expected to measured time to the first byte, in the order of the requests that count. */
  readonly ratios: readonly number[];
  readonly firstByteMs: readonly number[];
  readonly requestsByTarget: readonly number[];
  readonly busyMsByTarget: readonly number[];
  readonly speeds: readonly number[];
  readonly models: readonly ServiceModels[];
}

interface IEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Has entries choose targets with the figures that they would have, and returns how the requests were spread. */
export function simulatePlacement(options: ISimulationOptions): ISimulationResult {
  const { kind, durationMs, measureFromMs } = options;
  const random = createRandom(1);
  const engines = Array.from({ length: options.targets }, (_, index) => {
    const record = buildTarget({ id: `i-${index}`, address: `10.1.0.${index}:8000` });
    record.models = [create(TargetModelSchema, { name: 'm', version: 1n })];
    return new Engine(kind, index, record);
  });
  const entries = Array.from(
    { length: options.entries },
    (_, index) => new Entry(index + 100, options.learns !== false),
  );
  const hub = new ServiceModelHub({ hub: { epoch: 'hub/1' }, startedAt: 0 });
  const events: IEvent[] = [];
  let order = 0;
  const schedule = (at: number, run: () => void): void => {
    const event = { at, order: (order += 1), run };
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((events[middle]?.at ?? 0) <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    events.splice(low, 0, event);
  };
  const ratios: number[] = [];
  const firstByteMs: number[] = [];
  const runExchange = (entry: Entry, now: number): void => {
    const others = new Map<string, { open: number; pendingTokens: number }>();
    for (const other of entries.filter((item) => item !== entry)) {
      for (const { id, open, pendingTokens } of other.states.listOpen()) {
        const sum = others.get(id) ?? { open: 0, pendingTokens: 0 };
        sum.open += open;
        sum.pendingTokens += pendingTokens;
        others.set(id, sum);
      }
    }
    // The answer is in force half an interval later than it was made.
    schedule(now + 50, () => {
      entry.others = others;
    });
    entry.exchange(hub, 'hub/1', now);
    schedule(now + 100 + 100 * random(), () => {
      runExchange(entry, lastAt);
    });
  };
  let lastAt = 0;
  const listTargets = (entry: Entry, now: number): IPlacementTarget[] =>
    engines.map(({ record }) => ({
      record,
      state: entry.states.ensure(record, -60_000 + Math.min(0, now)),
      othersOpen: entry.others.get(record.id)?.open ?? 0,
      othersPendingTokens: entry.others.get(record.id)?.pendingTokens ?? 0,
      weightsUsableMs: Number.POSITIVE_INFINITY,
    }));
  const sendRequest = (index: number, now: number): void => {
    const entry = entries[Math.floor(random() * entries.length)];
    const request = options.buildRequest(index, random);
    const placed = entry?.placement.choose(
      request,
      listTargets(entry, now),
      { isHeld: () => false },
      now,
    );
    const engine = engines.find(({ record }) => record.id === placed?.target.id);
    if (entry === undefined || placed === undefined || engine === undefined) {
      throw new Error('no target was chosen');
    }
    const state: ITargetState = entry.states.ensure(engine.record, now);
    const pendingTokens = Math.round(placed.missedTokens + (request.parts.at(-1)?.tokens ?? 0));
    state.open += 1;
    state.pendingTokens += pendingTokens;
    const { firstAt, endsAt } = engine.take(request, now);
    schedule(firstAt, () => {
      state.pendingTokens -= pendingTokens;
      const slownessPercent = kind.reportsSpells ? 100 * engine.getSpell(firstAt) : undefined;
      recordLoad(state, { running: 0, waiting: 0, slots: 64, slownessPercent }, firstAt);
      entry.placement.recordReading(request, engine.record, firstAt);
      entry.placement.recordFirstByte(placed, state, firstAt - now, true, firstAt);
      if (now >= measureFromMs) {
        ratios.push(placed.expectedMs / (firstAt - now));
        firstByteMs.push(firstAt - now);
      }
    });
    schedule(endsAt, () => {
      state.open -= 1;
    });
  };
  for (const entry of entries) {
    schedule(entry.nextExchangeAt, () => {
      runExchange(entry, lastAt);
    });
  }
  const intervalMs = 1_000 / options.requestsPerSecond;
  let at = 0;
  for (let index = 0; at < durationMs; index += 1) {
    at += -intervalMs * Math.log(1 - random());
    const sentAt = at;
    schedule(sentAt, () => {
      sendRequest(index, sentAt);
    });
  }
  schedule(measureFromMs, () => {
    for (const engine of engines) {
      engine.requests = 0;
      engine.busyMs = 0;
    }
  });
  while (events[0] !== undefined && events[0].at < durationMs) {
    const event = events.shift();
    lastAt = event?.at ?? 0;
    event?.run();
  }
  return {
    ratios,
    firstByteMs,
    requestsByTarget: engines.map(({ requests }) => requests),
    busyMsByTarget: engines.map(({ busyMs }) => busyMs),
    speeds: engines.map(({ speed }) => speed),
    models: entries.map(({ models }) => models),
  };
}

/** A request whose prompt has shared parts of one of some subjects and own tokens. */
export function buildPrompt(
  subject: number,
  sharedTokens: number,
  ownTokens: number,
  outputTokens: number,
  latencyObjectiveMs: number,
): IPlacementRequest {
  const common = { id: 'common', tokens: Math.round(sharedTokens * 0.4) };
  const shared = { id: `subject-${subject}`, tokens: sharedTokens - common.tokens };
  return {
    parts: [common, shared, { id: 'own', tokens: ownTokens }],
    promptTokens: sharedTokens + ownTokens,
    outputTokens,
    latencyObjectiveMs,
    isolationKey: undefined,
    isEngine: true,
    model: 'm',
    wantedVersion: undefined,
  };
}

export function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}
