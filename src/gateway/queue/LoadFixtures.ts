/** A few engines, clients and an entry for tests of patterns of load, on a clock of their own. */
import { ServiceQueue, type IWaitingRequest } from './ServiceQueue.js';
import type { IAssessedTarget, ICompetition } from './AdmissionDecision.js';

const STEP_MS = 5;
const IDLE_MS = 25;
const CHECK_INTERVAL_MS = 50;

/** Tokens that an engine prefills in a millisecond. */
const SPEED = 55;

/** A kind of request that arrives at a constant rate. */
export interface ILoad {
  readonly name: string;
  readonly account?: string;
  readonly priority: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Prompt tokens to compute. */
  readonly tokens: number;
  /** Part of the prefill speed of all engines that the requests take. */
  readonly share: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** What became of the requests of one name, as parts of their number. */
export interface IResult {
  readonly count: number;
  readonly onTime: number;
  readonly late: number;
  readonly lost: number;
  /** Requests that were refused twice. */
  readonly refusedTwice: number;
  readonly longestRetryFactor: number;
}

interface IClient {
  readonly load: ILoad;
  readonly id: string;
  readonly startedAt: number;
  attempts: number;
  firstByteAt: number | undefined;
  isLost: boolean;
}

interface IJob {
  readonly client: IClient;
  readonly settle: () => void;
  left: number;
}

interface IEngine {
  readonly jobs: IJob[];
  isGone: boolean;
}

export interface IScenario {
  readonly engines: number;
  readonly loads: readonly ILoad[];
  readonly untilMs: number;
  /** Engines that end at a time; their requests go on at others. */
  readonly loss?: { readonly atMs: number; readonly engines: number };
  /** Decides at once in place of the queue: the Retry-After, or undefined to serve. */
  readonly decide?: (
    expectedMs: number,
    serviceMs: number,
    objectiveMs: number,
  ) => number | undefined;
  /** Called for each refusal. */
  readonly onRefuse?: (client: string, retryAfterMs: number, now: number) => void;
}

/**
 * Engines compute the most urgent prompts first. The entry expects that they compute them in order of arrival, as the
 * placement does. A client comes back once, after a Retry-After of at most a third of the time that it has left.
 */
export function runLoads(scenario: IScenario): ReadonlyMap<string, IResult> {
  const { loads, untilMs, loss, decide, onRefuse } = scenario;
  const engines: IEngine[] = Array.from({ length: scenario.engines }, () => ({
    jobs: [],
    isGone: false,
  }));
  const queue = new ServiceQueue();
  const clients: IClient[] = [];
  const due: { at: number; client: IClient }[] = [];
  const lastRetryFactors = new Map<string, number>();
  for (const load of loads) {
    const intervalMs = load.tokens / (load.share * scenario.engines * SPEED);
    for (let at = load.fromMs; at < load.toMs; at += intervalMs) {
      const id = `${load.name}-${clients.length}`;
      const client = {
        load,
        id,
        startedAt: at,
        attempts: 0,
        firstByteAt: undefined,
        isLost: false,
      };
      clients.push(client);
      due.push({ at, client });
    }
  }
  const countBacklog = ({ jobs }: IEngine): number => jobs.reduce((sum, { left }) => sum + left, 0);
  const findEngine = (): IEngine =>
    engines
      .filter(({ isGone }) => !isGone)
      .reduce((best, other) => (countBacklog(other) < countBacklog(best) ? other : best));
  const assess = (load: ILoad): IAssessedTarget => {
    const backlogTokens = countBacklog(findEngine());
    const serviceMs = IDLE_MS + load.tokens / SPEED;
    const expectedMs = serviceMs + backlogTokens / SPEED;
    return { expectedMs, serviceMs, tokens: load.tokens, backlogTokens, hasQueue: false };
  };
  const send = (client: IClient, now: number): void => {
    const { priority, account = '', tokens } = client.load;
    const settle = queue.load.begin(priority, account, tokens, now);
    findEngine().jobs.push({ client, settle, left: client.load.tokens });
  };
  const refuse = (client: IClient, retryAfterMs: number, now: number): void => {
    const leftMs = client.startedAt + client.load.deadlineMs - now;
    onRefuse?.(client.id, retryAfterMs, now);
    const factor = retryAfterMs / leftMs;
    lastRetryFactors.set(
      client.load.name,
      Math.max(lastRetryFactors.get(client.load.name) ?? 0, factor),
    );
    if (client.attempts >= 2 || factor > 1 / 3) {
      client.isLost = true;
    } else {
      due.push({ at: now + retryAfterMs, client });
    }
  };
  const arrive = (client: IClient, now: number): void => {
    const { load } = client;
    client.attempts += 1;
    const target = assess(load);
    if (decide !== undefined) {
      const retryAfterMs = decide(target.expectedMs, target.serviceMs, load.objectiveMs);
      if (retryAfterMs === undefined) {
        send(client, now);
      } else {
        refuse(client, retryAfterMs, now);
      }
      return;
    }
    const request: IWaitingRequest = {
      id: `${client.id}/${client.attempts}`,
      priority: load.priority,
      account: load.account ?? load.name,
      objectiveMs: load.objectiveMs,
      arrivedAt: now,
      deadlineAt: client.startedAt + load.deadlineMs,
      assess: () => assess(load),
    };
    queue.load.recordArrival(load.priority, load.objectiveMs, load.tokens, now);
    const decision = queue.decide(request, target, now);
    switch (decision.kind) {
      case 'serve':
        send(client, now);
        return;
      case 'refuse':
        queue.load.recordRefusal(load.tokens, now + decision.retryAfterMs, now);
        refuse(client, decision.retryAfterMs, now);
        return;
      case 'wait':
        queue.add(
          request,
          target,
          decision,
          (outcome) => {
            if (outcome.kind === 'serve') {
              send(client, clock);
            } else {
              queue.load.recordRefusal(load.tokens, clock + outcome.retryAfterMs, clock);
              refuse(client, outcome.retryAfterMs, clock);
            }
          },
          now,
        );
    }
  };
  let clock = 0;
  for (; clock < untilMs; clock += STEP_MS) {
    const now = clock;
    if (now === loss?.atMs) {
      for (const engine of engines.slice(0, loss.engines)) {
        engine.isGone = true;
        for (const job of engine.jobs.splice(0)) {
          findEngine().jobs.push(job);
        }
      }
    }
    let hasEnded = false;
    for (const engine of engines) {
      hasEnded = runEngine(engine, now) || hasEnded;
    }
    if (hasEnded || now % CHECK_INTERVAL_MS === 0) {
      while (queue.next(now)) {
        // Each call counts the load of the request that was sent before.
      }
    }
    due.sort((left, right) => left.at - right.at);
    const arriving = due.filter(({ at }) => at <= now);
    due.splice(0, arriving.length);
    for (const { client } of arriving) {
      arrive(client, now);
    }
  }
  return summarise(loads, clients, lastRetryFactors);
}

function runEngine({ jobs }: IEngine, now: number): boolean {
  let tokens = STEP_MS * SPEED;
  let hasEnded = false;
  while (tokens > 0 && jobs.length > 0) {
    const job = jobs.reduce((best, other) =>
      other.client.load.priority < best.client.load.priority ? other : best,
    );
    const done = Math.min(tokens, job.left);
    job.left -= done;
    tokens -= done;
    if (job.left <= 0) {
      jobs.splice(jobs.indexOf(job), 1);
      job.client.firstByteAt = now + IDLE_MS;
      job.settle();
      hasEnded = true;
    }
  }
  return hasEnded;
}

function summarise(
  loads: readonly ILoad[],
  clients: readonly IClient[],
  retryFactors: ReadonlyMap<string, number>,
): ReadonlyMap<string, IResult> {
  return new Map(
    [...new Set(loads.map(({ name }) => name))].map((name) => {
      const own = clients.filter(({ load }) => load.name === name);
      const countPart = (isCounted: (client: IClient) => boolean): number =>
        own.filter(isCounted).length / own.length;
      const takesMs = ({ firstByteAt, startedAt }: IClient): number =>
        (firstByteAt ?? Number.POSITIVE_INFINITY) - startedAt;
      const onTime = countPart((client) => takesMs(client) <= client.load.objectiveMs);
      const answered = countPart((client) => takesMs(client) <= client.load.deadlineMs);
      const result: IResult = {
        count: own.length,
        onTime,
        late: answered - onTime,
        lost: 1 - answered,
        refusedTwice: countPart((client) => client.attempts >= 2 && client.isLost),
        longestRetryFactor: retryFactors.get(name) ?? 0,
      };
      return [name, result];
    }),
  );
}

/**
 * The rule before the queue: refuses a request that is expected later than 0.8 of its objective, whatever its urgency and the
 * time that it has left. The figures of the tests are compared with it.
 */
export function refuseByObjective(
  expectedMs: number,
  serviceMs: number,
  objectiveMs: number,
): number | undefined {
  const limitMs = Math.max(objectiveMs * 0.8, serviceMs + objectiveMs * 0.4);
  return expectedMs <= limitMs
    ? undefined
    : Math.min(1_500, Math.max(150, expectedMs - objectiveMs));
}

export const NO_COMPETITION: ICompetition = {
  queueShare: 1,
  urgentObjectiveMs: undefined,
  hasOnTimeFirst: false,
  hasLateFirst: false,
  hasOthersElsewhere: false,
  tokensAhead: 0,
  returningTokens: 0,
  throughput: 0,
  arrivalRate: 0,
  urgentRate: 0,
};
