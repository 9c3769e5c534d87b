/**
 * Load pattern: clients take streams up at several entries while targets of three software versions come, break and go,
 * and leaders and entries are replaced. Guards against streams that are joined from the text of two versions, and against
 * streams that are given up although their version is served.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { isAborted, sleep } from '../common/Tasks.js';
import { StreamFleet, type Entry, type ISimulatedTarget } from '../fleet/StreamOriginsHarness.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { OK_HEAD, RecordingSink, runCall, ScriptedTargetClient } from './Fixtures.js';
import type { ICall, IDispatch, ITargetExchange, ITargetListener } from './Types.js';

const EVENT_COUNT = 6;
const EVENT_INTERVAL_MS = 30;
const ENTRY_COUNT = 3;
const TICK_MS = 125;
const DEADLINE_MS = 4_000;
const MAX_TRIES = 6;
const VERSIONS = ['v1', 'v2', 'v3'] as const;

/** When a run at a target breaks: after so many events. */
type TakeBreak = () => number;

/** Targets that send numbered events with their version, until they break or stop. */
class VersionedTargetClient extends ScriptedTargetClient {
  constructor(
    private readonly _fleet: StreamFleet,
    private readonly _takeBreak: TakeBreak,
  ) {
    super([]);
  }

  public override send(
    target: TargetRecord,
    _call: ICall,
    dispatch: IDispatch,
    listener: ITargetListener,
  ): ITargetExchange {
    this.sent.push({ target: target.id, dispatch });
    const simulated = this._fleet.targets.find(({ record }) => record.id === target.id);
    const exchange = new AbortController();
    const gate = { isPaused: false };
    void runTarget(simulated, dispatch, listener, exchange.signal, gate, this._takeBreak());
    return {
      wasSent: true,
      pause: () => {
        gate.isPaused = true;
      },
      resume: () => {
        gate.isPaused = false;
      },
      abort: () => {
        exchange.abort();
      },
    };
  }
}

async function runTarget(
  target: ISimulatedTarget | undefined,
  { resumeAfter = 0 }: IDispatch,
  listener: ITargetListener,
  signal: AbortSignal,
  gate: { readonly isPaused: boolean },
  breakAfter: number,
): Promise<void> {
  await sleep(EVENT_INTERVAL_MS, signal);
  if (target === undefined || hasStopped(target)) {
    listener.onError('connection refused', false);
    return;
  }
  listener.onHead(OK_HEAD);
  for (let sent = 0, id = resumeAfter + 1; id <= EVENT_COUNT; sent += 1, id += 1) {
    await sleep(EVENT_INTERVAL_MS, signal);
    while (gate.isPaused && !isAborted(signal)) {
      await sleep(5, signal);
    }
    if (isAborted(signal)) {
      return;
    }
    if (hasStopped(target) || sent === breakAfter) {
      listener.onError('reset', true);
      return;
    }
    listener.onData(Buffer.from(`id: ${id}\ndata: ${target.record.softwareVersion}\n\n`));
  }
  listener.onEnd();
}

function hasStopped({ isAlive }: ISimulatedTarget): boolean {
  return !isAlive;
}

/** What a client has received over all its tries. */
interface IClient {
  readonly name: string;
  readonly received: { readonly id: number; readonly version: string }[];
  firstAttempt: string | undefined;
  tries: number;
  isComplete: boolean;
}

class Simulation {
  public readonly fleet: StreamFleet;
  public readonly clients: IClient[] = [];
  private readonly _calls = new Map<Entry, Set<AbortController>>();

  constructor(private readonly _takeChoice: () => number) {
    this.fleet = new StreamFleet(ENTRY_COUNT, { now: () => Date.now() });
  }

  public async run(ms: number): Promise<void> {
    for (const end = Date.now() + ms; Date.now() < end;) {
      await this.fleet.tick();
      await vi.advanceTimersByTimeAsync(TICK_MS);
    }
  }

  public startClient(): void {
    const name = `c${this.clients.length}`;
    const client = { name, received: [], firstAttempt: undefined, tries: 0, isComplete: false };
    this.clients.push(client);
    void this._runClient(client);
  }

  /** One try of a client; resolves with the time after which to try again. */
  public async tryOnce(client: IClient, entry: Entry, takeBreak: TakeBreak): Promise<number> {
    client.tries += 1;
    const id = `${client.name}/${client.tries}`;
    const last = client.received.at(-1);
    const connection = new AbortController();
    const calls = this._calls.get(entry) ?? new Set<AbortController>();
    this._calls.set(entry, calls.add(connection));
    const sink = new RecordingSink();
    const write = sink.write.bind(sink);
    sink.write = (chunk) => {
      if (!connection.signal.aborted) {
        client.firstAttempt ??= id;
        for (const match of Buffer.from(chunk)
          .toString()
          .matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)) {
          client.received.push({ id: Number(match[1]), version: match[2] ?? '' });
        }
      }
      return write(chunk);
    };
    await runCall([], {
      call: {
        id,
        deadlineMs: DEADLINE_MS,
        resumeAfter: last?.id,
        resumes: last === undefined ? undefined : client.firstAttempt,
        signal: connection.signal,
      },
      route: { maxAttempts: 3 },
      targets: 0,
      prepareView: (view) => {
        this._prepareView(view, entry);
      },
      origins: entry.origins,
      client: new VersionedTargetClient(this.fleet, takeBreak),
      sink,
    });
    calls.delete(connection);
    client.isComplete = sink.ending === 'end' && !connection.signal.aborted;
    return sink.retryAfterMs ?? 100;
  }

  /** Replaces all processes at once: connections of clients break, and memories are lost. */
  public restartAll(hasSavedTargets: boolean): void {
    for (const calls of this._calls.values()) {
      calls.forEach((connection) => {
        connection.abort();
      });
    }
    this._calls.clear();
    this.fleet.restartAll(hasSavedTargets);
  }

  private async _runClient(client: IClient): Promise<void> {
    while (client.tries < MAX_TRIES && !client.isComplete) {
      const entry = this.fleet.entries[this._takeChoice() % ENTRY_COUNT];
      if (entry !== undefined) {
        const takeBreak = (): number => this._takeChoice() % (EVENT_COUNT + 3);
        await sleep(await this.tryOnce(client, entry, takeBreak));
      }
    }
  }

  private _prepareView(view: FleetView, entry: Entry): void {
    view.hubAnsweredAt = entry.leader === undefined ? Number.NEGATIVE_INFINITY : performance.now();
    vi.spyOn(view, 'getVersionBase').mockImplementation((service) =>
      entry.versions.get(service, Date.now()),
    );
    for (const { record, isAlive } of this.fleet.targets) {
      if (isAlive) {
        view.applyTarget(record);
      }
    }
  }
}

type Step = 'client' | 'start' | 'stop' | 'replace_leader' | 'restart_all' | 'cut' | 'heal';

interface IStep {
  readonly step: Step;
  readonly choice: number;
  readonly ms: number;
}

function executeStep(simulation: Simulation, { step, choice }: IStep): void {
  const { fleet } = simulation;
  const entry = fleet.entries[choice % ENTRY_COUNT];
  switch (step) {
    case 'client':
      for (let i = 0; i <= choice % 4; i += 1) {
        simulation.startClient();
      }
      break;
    case 'start':
      fleet.startTarget(VERSIONS[choice % VERSIONS.length] ?? '', choice >> 2);
      break;
    case 'stop': {
      const alive = fleet.targets.filter(({ isAlive }) => isAlive);
      const target = alive[choice % alive.length];
      if (target !== undefined && alive.length > 1) {
        fleet.stopTarget(target, choice % 2 === 0);
      }
      break;
    }
    case 'replace_leader':
      fleet.replaceLeader(new Set([choice % ENTRY_COUNT]));
      break;
    case 'restart_all':
      simulation.restartAll(choice % 2 === 0);
      break;
    case 'cut':
    case 'heal':
      if (entry !== undefined) {
        fleet.setReachable(entry, step === 'heal');
      }
      break;
  }
}

const STEP = fc.record<IStep>({
  step: fc.oneof(
    { weight: 6, arbitrary: fc.constant<Step>('client') },
    { weight: 4, arbitrary: fc.constantFrom<Step>('start', 'stop') },
    {
      weight: 3,
      arbitrary: fc.constantFrom<Step>('replace_leader', 'restart_all', 'cut', 'heal'),
    },
  ),
  choice: fc.nat(10_000),
  ms: fc.integer({ min: 0, max: 900 }),
});

beforeEach(() => {
  const toFake = [
    'setTimeout',
    'clearTimeout',
    'setInterval',
    'clearInterval',
    'Date',
    'performance',
  ] as const;
  vi.useFakeTimers({ now: 1_000_000, toFake: [...toFake] });
});

afterEach(() => {
  vi.useRealTimers();
});

/** Takes up each stream that has begun after some of its events, at each entry, and checks that it can go on. */
async function checkTakeUps(simulation: Simulation): Promise<number> {
  const { fleet } = simulation;
  for (const entry of fleet.entries) {
    fleet.setReachable(entry, true);
  }
  await simulation.run(3_000);
  const alive = new Set(
    fleet.targets.filter(({ isAlive }) => isAlive).map(({ record }) => record.softwareVersion),
  );
  const begun = simulation.clients.filter(({ received }) => received.length > 0);
  const copies = begun.flatMap((client) =>
    simulation.fleet.entries.map((entry, i) => ({
      entry,
      client: { ...client, name: `${client.name}/${i}`, received: client.received.slice(0, 3) },
    })),
  );
  const tries = copies.map(({ client, entry }) =>
    simulation.tryOnce(client, entry, () => EVENT_COUNT),
  );
  await simulation.run(DEADLINE_MS);
  await Promise.all(tries);
  for (const { client } of copies) {
    checkEvents(client);
    const version = client.received[0]?.version ?? '';
    if (alive.has(version) !== client.isComplete) {
      expect.fail(`${client.name} of ${version}, complete: ${String(client.isComplete)}`);
    }
  }
  return copies.filter(({ client }) => client.isComplete).length;
}

function checkEvents({ name, received }: IClient): void {
  const versions = new Set(received.map(({ version }) => version));
  if (versions.size > 1) {
    expect.fail(`${name} got events of ${[...versions].join(' and ')}`);
  }
  expect(received.map(({ id }) => id)).toEqual(received.map((_, i) => i + 1));
}

describe('streams that clients take up at any entry', () => {
  it(
    'hold events of one version each, and go on while it is served and a leader answers',
    { timeout: 120_000 },
    async () => {
      const totals = { takeUps: 0, versions: new Set<string>() };
      await fc.assert(
        fc.asyncProperty(
          fc.array(STEP, { minLength: 8, maxLength: 16 }),
          fc.array(fc.nat(10_000), { minLength: 20, maxLength: 20 }),
          async (steps, choices) => {
            let next = 0;
            const simulation = new Simulation(() => {
              next += 1;
              return (choices[next % choices.length] ?? 0) + next;
            });
            simulation.fleet.startTarget('v1');
            simulation.fleet.startTarget('v1', 1);
            await simulation.run((choices[0] ?? 0) % 2 === 0 ? 3_000 : 300);
            for (const step of steps) {
              executeStep(simulation, step);
              await simulation.run(step.ms);
              simulation.clients.forEach(checkEvents);
            }
            totals.takeUps += await checkTakeUps(simulation);
            simulation.clients.forEach(checkEvents);
            for (const { received } of simulation.clients) {
              received.forEach(({ version }) => totals.versions.add(version));
            }
          },
        ),
        { numRuns: 60 },
      );
      expect(totals.takeUps).toBeGreaterThan(20);
      expect(totals.versions.size).toBe(VERSIONS.length);
    },
  );
});
