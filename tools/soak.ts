/** Long randomised run: faults and load drawn from a seed, checked by a ledger outside the program. */
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

/** Account whose keys are withdrawn while its streams run. */
const WITHDRAWN_ACCOUNT = 'brac';

/** Share of its requests that still carry the former key. */
const FORMER_KEY_SHARE = 0.3;

const QUIET_TIMEOUT_MS = 60_000;

const STALL_INTERVAL_MS = 50;

/** State of one run. */
class Soak {
  private readonly _records = new Records();
  private readonly _invariants = new Invariants(report, INVARIANTS);
  private readonly _random: Random;
  private readonly _operator: Operator;
  private readonly _network: Network;
  private readonly _watch: StatusWatch;
  private readonly _schedule: FaultSchedule;
  private readonly _keys = new Map<string, ISoakKey>();
  private _formerKey: ISoakKey | undefined;
  /** Longest time for which this process got no processor; the limits in the checks suffer from it. */
  private _longestStallMs = 0;

  constructor(
    private readonly _deployment: Deployment,
    private readonly _seed: number,
    private readonly _seconds: number,
    kinds: readonly string[],
  ) {
    this._random = new Random(_seed);
    const operatorRandom = new Random(_seed + 1);
    this._operator = new Operator(_deployment, this._records, this._invariants, operatorRandom);
    this._network = new Network(_deployment);
    const secret = readFileSync(_deployment.secretFile, 'utf8').trim();
    this._watch = new StatusWatch(_deployment, this._operator, this._invariants, secret);
    this._schedule = new FaultSchedule(new Random(_seed + 2), report, kinds);
  }

  /** True when one of these invariants was violated. */
  public hasViolated(names: readonly Invariant[]): boolean {
    return names.some((name) => this._invariants.isViolated(name));
  }

  /** Runs load and faults, then checks; returns true when every invariant held. */
  public async run(): Promise<boolean> {
    await this._prepare();
    const stopLoad = new AbortController();
    const stopWatch = new AbortController();
    const watching = this._watch.run(stopWatch.signal);
    const stallTimer = this._watchStalls();
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
    const stopFaults = AbortSignal.timeout(this._seconds * 1_000);
    await this._schedule.run(this._buildFaultContext(), stopFaults);
    this._network.restoreAll();
    stopLoad.abort();
    report('load ends');
    await Promise.race([Promise.all(loads), delay(QUIET_TIMEOUT_MS, undefined, { ref: false })]);
    stopWatch.abort();
    clearInterval(stallTimer);
    await watching;
    return this._finish();
  }

  private _watchStalls(): NodeJS.Timeout {
    let dueAt = performance.now() + STALL_INTERVAL_MS;
    return setInterval(() => {
      this._longestStallMs = Math.max(this._longestStallMs, performance.now() - dueAt);
      dueAt = performance.now() + STALL_INTERVAL_MS;
    }, STALL_INTERVAL_MS);
  }

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
    const probe = this._getProbeKey();
    for (const entry of deployment.listEntries()) {
      await deployment.waitForAnswer(entry, probe.text);
    }
    report(`deployment serves; logs are in ${deployment.folder}`);
  }

  private _getProbeKey(): ISoakKey {
    const key = this._keys.get('pag');
    if (key === undefined) {
      throw new Error('no key was given');
    }
    return key;
  }

  private _getKey(account: string): ISoakKey | undefined {
    const isFormer = account === WITHDRAWN_ACCOUNT && this._random.next() < FORMER_KEY_SHARE;
    return isFormer && this._formerKey !== undefined ? this._formerKey : this._keys.get(account);
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
      isAlone: () => this._schedule.isAlone(),
    };
  }

  private async _replaceKey(): Promise<ISoakKey | undefined> {
    const next = await this._operator.giveKey(WITHDRAWN_ACCOUNT);
    if (next === undefined) {
      return undefined;
    }
    this._formerKey = this._keys.get(WITHDRAWN_ACCOUNT);
    this._keys.set(WITHDRAWN_ACCOUNT, next);
    return this._formerKey;
  }

  private _finish(): boolean {
    const checks = new FinalChecks(this._deployment, this._records, this._invariants);
    checks.checkAll(ACCOUNTS);
    const isKept = this._invariants.violations === 0;
    const summary = {
      seed: this._seed,
      seconds: this._seconds,
      break: values.break,
      requests: this._records.requests.length,
      answered: this._records.requests.filter(({ result }) => result.status === 200).length,
      timedOut: this._records.requests.filter(({ result }) => result.end === 'timeout').length,
      effects: checks.effects.length,
      invariants: this._invariants,
      faults: Object.fromEntries([...this._schedule.counts].sort()),
      rateRefusals: checks.countRefusals(ACCOUNTS),
      wrongfulRefusals: checks.countWrongfulRefusals(ACCOUNTS),
      usePercent: checks.measureUse(ACCOUNTS, this._seconds),
      orderMs: checks.measureOrders(),
      longestStallMs: Math.round(this._longestStallMs),
      ok: isKept,
    };
    if (!isKept) {
      const breakOption = values.break === undefined ? '' : ` --break ${values.break}`;
      const command = `npm run soak -- --seed ${this._seed} --seconds ${this._seconds}${breakOption}`;
      report(`to repeat: ${command}`);
    }
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    return isKept;
  }
}

async function runSoak(): Promise<number> {
  const chosen = values.break === undefined ? undefined : findBreak(values.break);
  const kinds = values.faults?.split(',') ?? chosen?.faults ?? [];
  const deployment = await Deployment.create(buildPlan(chosen?.name));
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      void deployment.stop().finally(() => process.exit(1));
    });
  }
  let isKept = false;
  let isExpected = false;
  try {
    const soak = new Soak(deployment, Number(values.seed), Number(values.seconds), kinds);
    isKept = await soak.run();
    isExpected = soak.hasViolated(chosen?.expected ?? INVARIANTS);
  } finally {
    await deployment.stop();
  }
  if (isKept && !values['keep-logs']) {
    deployment.deleteFolder();
  }
  if (!values['expect-violation']) {
    return isKept ? 0 : 1;
  }
  process.stdout.write(`${isExpected ? '' : 'no '}violation found as expected\n`);
  return isExpected ? 0 : 1;
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
