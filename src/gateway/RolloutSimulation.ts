/** Runs a rollout without a network: one hub, many entries and targets that answer by a script, in simulated time. */
import { create, toBinary } from '@bufbuild/protobuf';
import { SILENT_LOG } from '../common/Log.js';
import { Metrics } from '../common/Metrics.js';
import type { IHubPart } from '../fleet/ExchangePart.js';
import { buildTarget, NO_SPENDING } from '../fleet/Fixtures.js';
import { FleetHub } from '../fleet/FleetHub.js';
import { FleetState } from '../fleet/FleetState.js';
import { DEFAULT_ROLLOUT_BOUNDS, type IRolloutBounds } from '../fleet/RolloutBudget.js';
import { RolloutController } from '../fleet/RolloutController.js';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FleetCommandSchema,
  RolloutState,
  type FleetCommand,
  type Rollout,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { RolloutGate } from './RolloutGate.js';

const SERVICE = 'lace';
const TICK_MS = 5;
const CONTROL_INTERVAL_MS = 50;
const ROUND_TRIP_MS = 40;
const EXPECTED_MS = 100;
const LONGEST_STREAM_MS = 5_000;

/** How the new version answers a request, given what share of the requests it gets at that time. */
export interface INewVersion {
  readonly failureRate?: number;
  readonly slowness?: number;
  /** The faults show only from this share on. */
  readonly fromShare?: number;
  /** The faults show only on this route. */
  readonly onRoute?: string;
}

export interface ISimulation {
  readonly durationMs?: number;
  /** Requests a second of all entries together. */
  readonly rate?: number;
  readonly newVersion?: INewVersion;
  /** Part of the requests by route; must add up to 1. */
  readonly routes?: Readonly<Record<string, number>>;
  /** Failure rate of all versions by route. */
  readonly usualFailures?: Readonly<Record<string, number>>;
  /** Time from the order until targets of the new version are ready. */
  readonly readyAfterMs?: number;
  readonly seed?: number;
  readonly bounds?: Partial<IRolloutBounds>;
  /** Time without a leader that begins when the rollout reaches the step; then another one leads. */
  readonly leaderLoss?: { readonly atStep: number; readonly gapMs: number };
  /** All processes end and start again when the rollout reaches the step. */
  readonly restart?: { readonly atStep: number; readonly gapMs: number };
  /** One entry exchanges nothing from when the rollout reaches the step. */
  readonly isolation?: { readonly atStep: number; readonly lastsMs: number };
  /** Time until which the simulation runs at most. */
  readonly limitMs?: number;
}

export interface ISimulationResult {
  readonly rollout: Rollout;
  readonly endedAt: number;
  /** Requests of the service, and those at the new version, until the end of the duration. */
  readonly requests: number;
  readonly exposed: number;
  readonly bad: number;
  /** When the 50th bad response was received, and when the last request was sent to the new version. */
  readonly fiftiethBadAt: number | undefined;
  readonly lastSentAt: number;
  /** Steps with the time at which each began. */
  readonly steps: ReadonlyMap<number, number>;
  /** Requests that were open at old targets when the rollout ended. */
  readonly openAtOld: number;
}

interface ISimulatedEntry {
  gate: RolloutGate;
  incarnation: number;
  readonly rate: number;
  nextExchangeAt: number;
  nextRequestAt: number;
  openAtOld: number;
}

/**
 * Simulates one rollout.
 *
 * @example
 * const { rollout, exposed } = await simulateRollout({ newVersion: { failureRate: 0.4, fromShare: 0.6 } });
 */
export async function simulateRollout(setup: ISimulation): Promise<ISimulationResult> {
  return new Simulation(setup).run();
}

class Simulation {
  private _now = 0;
  private readonly _random: () => number;
  private readonly _state = new FleetState();
  private _controller: RolloutController;
  private _hub: FleetHub | undefined;
  private _part: IHubPart | undefined;
  private _term = 0;
  private readonly _entries: ISimulatedEntry[];
  private readonly _events: { readonly at: number; readonly run: () => void }[] = [];
  private readonly _oldTarget = buildTarget({ id: 'old', softwareVersion: 'v1' });
  private readonly _newTarget = buildTarget({
    id: 'new',
    address: '10.1.0.2:8000',
    softwareVersion: 'v2',
  });
  private _requests = 0;
  private _exposed = 0;
  private _bad = 0;
  private _fiftiethBadAt: number | undefined;
  private _lastSentAt = 0;
  private readonly _recent: { readonly at: number; readonly isNew: boolean }[] = [];
  private readonly _steps = new Map<number, number>();
  private _nextRequest = 0;
  private _isIsolatedUntil = -1;
  private readonly _done = new Set<string>();

  constructor(private readonly _setup: ISimulation) {
    let seed = _setup.seed ?? 1;
    this._random = (): number => {
      // The generator of Park and Miller.
      seed = (seed * 48_271) % 2_147_483_647;
      return seed / 2_147_483_647;
    };
    for (let i = 0; i < 20; i += 1) {
      this._random();
    }
    this._controller = this._createController();
    const rate = _setup.rate ?? 200;
    // Twelve small entries, and ten that share the rest.
    const small = Math.min(5, rate / 22);
    const rates = Array.from({ length: 22 }, (_, i) => (i < 12 ? small : (rate - 12 * small) / 10));
    this._entries = rates.map((entryRate) => ({
      gate: this._createGate(() => undefined),
      incarnation: 0,
      rate: entryRate,
      nextExchangeAt: this._random() * 150,
      nextRequestAt: this._random() * (1_000 / entryRate),
      openAtOld: 0,
    }));
    for (const entry of this._entries) {
      entry.gate = this._createGate(() => entry);
    }
  }

  public async run(): Promise<ISimulationResult> {
    const { durationMs = 15_000, readyAfterMs = 700 } = this._setup;
    this._startHub();
    this._apply({
      case: 'startRollout',
      value: { id: 'r', service: SERVICE, to: 'v2', durationMs },
    });
    const limit = this._setup.limitMs ?? durationMs + 8_000;
    let endedAt = Infinity;
    let openAtOld = 0;
    // After the end the entries go on for a while, to see what they still send.
    while (this._now < Math.min(limit, Math.max(durationMs, endedAt + 3_000))) {
      this._runEvents();
      this._startFaults();
      if (this._now >= readyAfterMs) {
        this._hub?.announce(this._newTarget, this._now);
      }
      this._hub?.announce(this._oldTarget, this._now);
      for (const entry of this._entries) {
        this._advance(entry);
      }
      if (this._now % CONTROL_INTERVAL_MS === 0) {
        await this._controller.executeStep(this._now, new AbortController().signal);
      }
      const rollout = this._getRollout();
      if (!this._steps.has(rollout.step)) {
        this._steps.set(rollout.step, this._now);
      }
      if (rollout.state !== RolloutState.RUNNING && endedAt === Infinity) {
        endedAt = this._now;
        openAtOld = this._entries.reduce((sum, entry) => sum + entry.openAtOld, 0);
      }
      this._now += TICK_MS;
    }
    return {
      rollout: this._getRollout(),
      endedAt,
      requests: this._requests,
      exposed: this._exposed,
      bad: this._bad,
      fiftiethBadAt: this._fiftiethBadAt,
      lastSentAt: this._lastSentAt,
      steps: this._steps,
      openAtOld,
    };
  }

  private _getRollout(): Rollout {
    const rollout = this._state.rollouts.get(SERVICE);
    if (rollout === undefined) {
      throw new Error('the rollout is not known');
    }
    return rollout;
  }

  private _createGate(getEntry: () => ISimulatedEntry | undefined): RolloutGate {
    return new RolloutGate({
      countOpenAtOthers: () => getEntry()?.openAtOld ?? 0,
      metrics: new Metrics(),
    });
  }

  private _createController(): RolloutController {
    const controller = new RolloutController(
      { bounds: { ...DEFAULT_ROLLOUT_BOUNDS, ...this._setup.bounds } },
      { table: undefined },
      { now: () => this._now },
      new Metrics(),
      SILENT_LOG,
    );
    controller.attach({
      getHub: () => this._hub,
      getConfirmationAgeMs: () => 0,
      submit: (command) => {
        this._state.apply(toBinary(FleetCommandSchema, command));
        return Promise.resolve({ kind: 'committed' });
      },
    });
    return controller;
  }

  private _apply(body: Parameters<typeof createCommand>[0]): void {
    this._state.apply(toBinary(FleetCommandSchema, createCommand(body)));
  }

  private _startHub(): void {
    this._term += 1;
    const quota = { windowMs: 8_000, excessRatio: 0, toleranceTokens: 0 };
    this._hub = new FleetHub(
      `leader/${this._term}`,
      { announceIntervalMs: 1_200, quota, processStartedAt: 0, log: SILENT_LOG },
      this._now,
      NO_SPENDING,
    );
    const context = { hub: this._hub, state: this._state, startedAt: this._now };
    this._controller = this._createController();
    this._part = this._controller.createHubPart(context);
  }

  private _schedule(delayMs: number, run: () => void): void {
    this._events.push({ at: this._now + delayMs, run });
  }

  private _runEvents(): void {
    const due = this._events.filter(({ at }) => at <= this._now);
    if (due.length > 0) {
      const later = this._events.filter(({ at }) => at > this._now);
      this._events.splice(0, this._events.length, ...later);
      for (const { run } of due.sort((left, right) => left.at - right.at)) {
        run();
      }
    }
  }

  /** Starts the faults of the set-up when the rollout reaches their step. */
  private _startFaults(): void {
    const { leaderLoss, restart, isolation } = this._setup;
    const { step } = this._getRollout();
    if (leaderLoss !== undefined && step >= leaderLoss.atStep && this._begin('leader')) {
      this._hub = undefined;
      this._part = undefined;
      this._schedule(leaderLoss.gapMs, () => {
        this._startHub();
      });
    }
    if (restart !== undefined && step >= restart.atStep && this._begin('restart')) {
      this._hub = undefined;
      this._part = undefined;
      for (const entry of this._entries) {
        entry.gate = this._createGate(() => entry);
        entry.incarnation += 1;
        entry.nextRequestAt = Infinity;
        entry.openAtOld = 0;
      }
      this._schedule(restart.gapMs, () => {
        const copy = this._state.snapshot();
        this._state.restore(copy);
        this._startHub();
        for (const entry of this._entries) {
          // An entry without a configuration takes no requests, and the hub sends both together.
          this._exchange(entry);
          entry.nextRequestAt = this._now + ROUND_TRIP_MS;
        }
      });
    }
    if (isolation !== undefined && step >= isolation.atStep && this._begin('isolation')) {
      this._isIsolatedUntil = this._now + isolation.lastsMs;
    }
  }

  private _begin(fault: string): boolean {
    const isFirst = !this._done.has(fault);
    this._done.add(fault);
    return isFirst;
  }

  private _advance(entry: ISimulatedEntry): void {
    if (this._now >= entry.nextExchangeAt) {
      entry.nextExchangeAt = this._now + ROUND_TRIP_MS + 110 * (0.75 + this._random() * 0.5);
      const isIsolated = entry === this._entries[20] && this._now < this._isIsolatedUntil;
      if (!isIsolated) {
        this._exchange(entry);
      }
    }
    while (this._now >= entry.nextRequestAt) {
      entry.nextRequestAt += (-Math.log(this._random()) * 1_000) / entry.rate;
      this._send(entry);
    }
  }

  private _exchange(entry: ISimulatedEntry): void {
    const { gate } = entry;
    const sentAt = this._now;
    const request = create(ExchangeRequestSchema, {
      node: `entry-${this._entries.indexOf(entry)}`,
      incarnation: String(entry.incarnation),
      takesRequests: true,
    });
    gate.addReport(request, sentAt);
    this._schedule(ROUND_TRIP_MS / 2, () => {
      if (this._part === undefined) {
        return;
      }
      const response = create(ExchangeResponseSchema, {
        targets: [...(this._hub?.listTargets() ?? [])],
      });
      this._part.exchange(request, response, this._now);
      this._schedule(ROUND_TRIP_MS / 2, () => {
        if (entry.gate === gate) {
          gate.applyResponse(response, { request, isNewEpoch: false, sentAt, now: this._now });
        }
      });
    });
  }

  private _send(entry: ISimulatedEntry): void {
    const { gate, incarnation } = entry;
    const { readyAfterMs = 700, durationMs = 15_000 } = this._setup;
    const route = this._pickRoute();
    gate.recordRequest(SERVICE);
    this._requests += this._now < durationMs ? 1 : 0;
    this._nextRequest += 1;
    const isReady = this._now >= readyAfterMs;
    const candidates = isReady ? [this._oldTarget, this._newTarget] : [this._oldTarget];
    const versions = gate.open(
      SERVICE,
      route,
      `session-${this._nextRequest}`,
      candidates,
      this._now,
    );
    const allowed = candidates.filter((target) => versions?.isAllowed(target) ?? true);
    const preferred = allowed.find((target) => versions?.isPreferred(target) ?? true);
    const target = preferred ?? allowed[0];
    if (target === undefined) {
      return;
    }
    gate.recordSent(target);
    const isNew = target === this._newTarget;
    this._recent.push({ at: this._now, isNew });
    while (this._now - (this._recent[0]?.at ?? this._now) > 500) {
      this._recent.shift();
    }
    if (isNew) {
      this._exposed += this._now < durationMs ? 1 : 0;
      this._lastSentAt = this._now;
    } else {
      entry.openAtOld += 1;
    }
    this._answer(entry, target, route, incarnation);
  }

  /** Schedules the response to a request that was sent now. */
  private _answer(
    entry: ISimulatedEntry,
    target: TargetRecord,
    route: string,
    incarnation: number,
  ): void {
    const { gate } = entry;
    const isNew = target === this._newTarget;
    const isFaulty = isNew && this._isFaulty(route);
    const { failureRate = 0, slowness = 1 } = isFaulty ? (this._setup.newVersion ?? {}) : {};
    const usual = this._setup.usualFailures?.[route] ?? 0;
    const isBad = this._random() < failureRate + usual;
    const firstMs = EXPECTED_MS * slowness * Math.exp((this._random() + this._random() - 1) * 1.2);
    const lengthMs = 300 + this._random() ** 3 * (LONGEST_STREAM_MS - 300);
    const endsAfterMs = isBad ? firstMs : firstMs + lengthMs;
    if (!isBad) {
      this._schedule(firstMs, () => {
        gate.recordAnswer(target, route, { result: 'good', firstMs, expectedMs: EXPECTED_MS });
      });
    }
    this._schedule(endsAfterMs, () => {
      if (entry.incarnation !== incarnation) {
        return;
      }
      entry.openAtOld -= isNew ? 0 : 1;
      if (isBad) {
        const answer = { result: 'bad', firstMs: undefined, expectedMs: EXPECTED_MS } as const;
        gate.recordAnswer(target, route, answer);
      }
      if (isBad && isNew) {
        this._bad += 1;
        this._fiftiethBadAt ??= this._bad === 50 ? this._now : undefined;
      }
    });
  }

  private _isFaulty(route: string): boolean {
    const { fromShare = 0, onRoute = route } = this._setup.newVersion ?? {};
    const isNew = this._recent.filter((item) => item.isNew).length;
    return route === onRoute && isNew / Math.max(1, this._recent.length) >= fromShare * 0.9;
  }

  private _pickRoute(): string {
    let rest = this._random();
    const routes = Object.entries(this._setup.routes ?? { assist: 0.7, look: 0.25, write: 0.05 });
    for (const [route, part] of routes) {
      rest -= part;
      if (rest <= 0) {
        return route;
      }
    }
    return routes[0]?.[0] ?? '';
  }
}

function createCommand(body: {
  readonly case: 'startRollout';
  readonly value: {
    readonly id: string;
    readonly service: string;
    readonly to: string;
    readonly durationMs: number;
  };
}): FleetCommand {
  return create(FleetCommandSchema, { body });
}
