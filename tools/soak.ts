/**
 * Soak test: runs a deployment under random load and random faults, and checks the invariants from what
 * clients, operators and targets recorded outside the program. Load and faults follow from a seed.
 */
import { readFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { Deployment } from './harness/Deployment.js';
import { BREAKS, findBreak } from './soak/Breaks.js';
import { FaultSchedule } from './soak/FaultSchedule.js';
import { FinalChecks } from './soak/FinalChecks.js';
import { INVARIANTS, Invariants, type Invariant } from './soak/Invariants.js';
import { AccountLoad } from './soak/Load.js';
import { Network } from './soak/Network.js';
import { Operator } from './soak/Operator.js';
import { ACCOUNTS, buildPlan } from './soak/Plan.js';
import { Random } from './soak/Random.js';
import { Records, type ISoakKey } from './soak/Records.js';
import { report } from './soak/Report.js';
import { StatusWatch } from './soak/StatusWatch.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '60' },
    break: { type: 'string' },
    faults: { type: 'string' },
    'expect-violation': { type: 'boolean', default: false },
    'list-breaks': { type: 'boolean', default: false },
    'keep-logs': { type: 'boolean', default: false },
  },
});

/** Client account whose keys are withdrawn while its streams are open. */
const WITHDRAWN_ACCOUNT = 'brac';

/** Probability that a request of this account still carries the previous key. */
const PREVIOUS_KEY_PROBABILITY = 0.3;

/** Longest wait for the open requests after the load has stopped. */
const OPEN_REQUESTS_TIMEOUT_MS = 60_000;

const STALL_CHECK_INTERVAL_MS = 50;

/** One run: starts load and faults on a deployment, checks the invariants and prints the summary. */
class Soak {
  private readonly _records = new Records();
  private readonly _invariants = new Invariants(report, INVARIANTS);
  private readonly _random: Random;
  private readonly _operator: Operator;
  private readonly _network: Network;
  private readonly _watch: StatusWatch;
  private readonly _schedule: FaultSchedule;
  private readonly _keys = new Map<string, ISoakKey>();
  private _previousKey: ISoakKey | undefined;
  /**
   * Longest time for which this process did not run, measured as the delay of a timer. After a long stall, the
   * time limits of the checks can fail without a fault of the program.
   */
  private _longestStallMs = 0;

  constructor(
    private readonly _deployment: Deployment,
    private readonly _seed: number,
    private readonly _durationSeconds: number,
    faultKinds: readonly string[],
  ) {
    this._random = new Random(_seed);
    const operatorRandom = new Random(_seed + 1);
    this._operator = new Operator(_deployment, this._records, this._invariants, operatorRandom);
    this._network = new Network(_deployment);
    const secret = readFileSync(_deployment.secretFile, 'utf8').trim();
    this._watch = new StatusWatch(_deployment, this._operator, this._invariants, secret);
    this._schedule = new FaultSchedule(new Random(_seed + 2), report, faultKinds);
  }

  /** True if at least one of these invariants was violated. */
  public hasViolation(names: readonly Invariant[]): boolean {
    return names.some((name) => this._invariants.isViolated(name));
  }

  /** Runs load and faults, then the final checks; returns true if no invariant was violated. */
  public async run(): Promise<boolean> {
    await this._prepare();
    const stopLoad = new AbortController();
    const stopWatch = new AbortController();
    const statusWatch = this._watch.run(stopWatch.signal);
    const stallTimer = this._startStallTimer();
    await delay(1_000);
    const loads = ACCOUNTS.map((account, index) =>
      new AccountLoad(
        account,
        {
          deployment: this._deployment,
          records: this._records,
          listReadyEntries: () => this._watch.listReadyEntries(),
          getKey: (id) => this._getKey(id),
        },
        new Random(this._seed * 100 + index),
      ).run(stopLoad.signal),
    );
    const stopFaults = AbortSignal.timeout(this._durationSeconds * 1_000);
    await this._schedule.run(this._buildFaultContext(), stopFaults);
    this._network.restoreAll();
    stopLoad.abort();
    report('load stopped');
    await Promise.race([
      Promise.all(loads),
      delay(OPEN_REQUESTS_TIMEOUT_MS, undefined, { ref: false }),
    ]);
    stopWatch.abort();
    clearInterval(stallTimer);
    await statusWatch;
    return this._finish();
  }

  /** Starts a timer that measures how late it fires; the caller clears it. */
  private _startStallTimer(): NodeJS.Timeout {
    let dueAt = performance.now() + STALL_CHECK_INTERVAL_MS;
    return setInterval(() => {
      this._longestStallMs = Math.max(this._longestStallMs, performance.now() - dueAt);
      dueAt = performance.now() + STALL_CHECK_INTERVAL_MS;
    }, STALL_CHECK_INTERVAL_MS);
  }

  /**
   * Starts the deployment, publishes its services, issues the keys and waits until all entries serve.
   */
  private async _prepare(): Promise<void> {
    const deployment = this._deployment;
    await deployment.start();
    await deployment.waitFor('a control leader', async () => {
      const status = await deployment.runOperator(['status', '--json']);
      return status.code === 0 && status.stdout.includes('"leader"');
    });
    const published = await this._operator.publish();
    if (published.code !== 0) {
      throw new Error(`publish failed: ${published.stderr}`);
    }
    for (const { id } of ACCOUNTS) {
      const key = await this._operator.giveKey(id);
      if (key !== undefined) {
        this._keys.set(id, key);
      }
    }
    const probeKey = this._getProbeKey();
    for (const entry of deployment.listEntries()) {
      await deployment.waitUntilServed(entry, probeKey.text);
    }
    report(`deployment serves; logs are in ${deployment.folder}`);
  }

  private _getProbeKey(): ISoakKey {
    const key = this._keys.get('pag');
    if (key === undefined) {
      throw new Error('no key was issued for client account "pag"');
    }
    return key;
  }

  private _getKey(account: string): ISoakKey | undefined {
    const isPreviousKey =
      account === WITHDRAWN_ACCOUNT && this._random.next() < PREVIOUS_KEY_PROBABILITY;
    return isPreviousKey && this._previousKey !== undefined
      ? this._previousKey
      : this._keys.get(account);
  }

  private _buildFaultContext(): Parameters<FaultSchedule['run']>[0] {
    return {
      deployment: this._deployment,
      network: this._network,
      operator: this._operator,
      records: this._records,
      invariants: this._invariants,
      random: new Random(this._seed + 3),
      probeKey: this._getProbeKey(),
      report,
      replaceKey: () => this._replaceKey(),
      isOnlyControlFault: () => this._schedule.isOnlyControlFault(),
    };
  }

  private async _replaceKey(): Promise<ISoakKey | undefined> {
    const newKey = await this._operator.giveKey(WITHDRAWN_ACCOUNT);
    if (newKey === undefined) {
      return undefined;
    }
    this._previousKey = this._keys.get(WITHDRAWN_ACCOUNT);
    this._keys.set(WITHDRAWN_ACCOUNT, newKey);
    return this._previousKey;
  }

  /** Runs the final checks and prints the summary; returns true if no invariant was violated. */
  private _finish(): boolean {
    const checks = new FinalChecks(this._deployment, this._records, this._invariants);
    checks.checkAll(ACCOUNTS);
    const isPassed = this._invariants.violations === 0;
    const summary = {
      seed: this._seed,
      seconds: this._durationSeconds,
      break: values.break,
      requests: this._records.requests.length,
      answered: this._records.requests.filter(({ result }) => result.status === 200).length,
      timedOut: this._records.requests.filter(({ result }) => result.end === 'timeout').length,
      effects: checks.effects.length,
      invariants: this._invariants,
      faults: Object.fromEntries([...this._schedule.countsByKind].sort()),
      rateRefusals: checks.countRateRefusals(ACCOUNTS),
      wrongfulRefusals: checks.countWrongfulRefusals(ACCOUNTS),
      usePercent: checks.measureUsePercent(ACCOUNTS, this._durationSeconds),
      orderMs: checks.measureOrderMs(),
      longestStallMs: Math.round(this._longestStallMs),
      ok: isPassed,
    };
    if (!isPassed) {
      const breakOption = values.break === undefined ? '' : ` --break ${values.break}`;
      const command = `npm run soak -- --seed ${this._seed} --seconds ${this._durationSeconds}${breakOption}`;
      report(`to repeat: ${command}`);
    }
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    return isPassed;
  }
}

/** Returns the exit code. */
async function runSoak(): Promise<number> {
  const selectedBreak = values.break === undefined ? undefined : findBreak(values.break);
  const faultKinds = values.faults?.split(',') ?? selectedBreak?.faultKinds ?? [];
  const deployment = await Deployment.create(buildPlan(selectedBreak?.name));
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      void deployment.stop().finally(() => process.exit(1));
    });
  }
  let isPassed = false;
  let hasExpectedViolation = false;
  try {
    const soak = new Soak(deployment, Number(values.seed), Number(values.seconds), faultKinds);
    isPassed = await soak.run();
    hasExpectedViolation = soak.hasViolation(selectedBreak?.expectedViolations ?? INVARIANTS);
  } finally {
    await deployment.stop();
  }
  if (isPassed && !values['keep-logs']) {
    deployment.deleteFolder();
  }
  if (!values['expect-violation']) {
    return isPassed ? 0 : 1;
  }
  process.stdout.write(`${hasExpectedViolation ? '' : 'no '}violation found as expected\n`);
  return hasExpectedViolation ? 0 : 1;
}

if (values['list-breaks']) {
  for (const { name, summary } of BREAKS) {
    process.stdout.write(`${name}: ${summary}\n`);
  }
} else {
  runSoak().then(
    (code) => process.exit(code),
    (error: unknown) => {
      report(String(error));
      process.exit(1);
    },
  );
}
