/**
 * Compares routing policies on simulated engines and prints their figures.
 *
 * npm run bench -- --deployment authority|franchise --policy NAME --seed N [--seeds M]
 *   [--seconds S] [--faults on|off] [--load FACTOR]
 *   [--notices evicted|used] [--compare] [--explain-tail] [--decision-times]
 */
import { parseArgs } from 'node:util';
import { measureDecisionTimes } from './bench/DecisionTimes.js';
import { DEPLOYMENTS, type IDeployment } from './bench/Deployments.js';
import type { IRunFigures } from './bench/Measures.js';
import type { PolicyName } from '../src/policy/CreatePolicy.js';
import { POLICY_NAMES } from './bench/Policies.js';
import {
  checkObjectives,
  formatObjectiveChecks,
  formatResult,
  formatTable,
  summariseRuns,
} from './bench/Report.js';
import { explainTail, type ITailSample } from './bench/Tail.js';
import { runOnce } from './bench/Simulation.js';

/** Command-line options; a run of `--decision-times` has none. */
interface IBenchOptions {
  readonly deployment: IDeployment;
  readonly policy: PolicyName;
  readonly seeds: readonly number[];
  readonly seconds: number;
  readonly hasFaults: boolean;
  readonly hasUseNotices: boolean;
  readonly isComparison: boolean;
  readonly isTailExplained: boolean;
}

/** Parses the command line; returns undefined if only decision times are to be measured. */
function readOptions(): IBenchOptions | undefined {
  const { values } = parseArgs({
    options: {
      deployment: { type: 'string', default: 'authority' },
      policy: { type: 'string', default: 'default' },
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '120' },
      faults: { type: 'string', default: 'off' },
      load: { type: 'string', default: '1' },
      notices: { type: 'string', default: 'used' },
      compare: { type: 'boolean', default: false },
      'explain-tail': { type: 'boolean', default: false },
      'decision-times': { type: 'boolean', default: false },
    },
  });
  if (values['decision-times']) {
    return undefined;
  }
  const deployment = DEPLOYMENTS[values.deployment];
  const policy = POLICY_NAMES.find((name) => name === values.policy);
  if (deployment === undefined || policy === undefined) {
    const names = `${Object.keys(DEPLOYMENTS).join(', ')}; policies: ${POLICY_NAMES.join(', ')}`;
    throw new Error(`unknown deployment or policy; deployments: ${names}`);
  }
  const first = Number(values.seed);
  const requestsPerSecond = deployment.requestsPerSecond * Number(values.load);
  return {
    deployment: { ...deployment, requestsPerSecond },
    policy,
    seeds: Array.from({ length: Number(values.seeds) }, (_, index) => first + index),
    seconds: Number(values.seconds),
    hasFaults: values.faults === 'on',
    hasUseNotices: values.notices === 'used',
    isComparison: values.compare,
    isTailExplained: values['explain-tail'],
  };
}

function runSeeds(options: IBenchOptions, policy: PolicyName | 'oracle'): IRunFigures[] {
  const tailSamples: ITailSample[] | undefined = options.isTailExplained ? [] : undefined;
  const runs = options.seeds.map((seed) => runOnce({ ...options, policy, seed, tailSamples }));
  if (tailSamples !== undefined) {
    console.log(`${policy}: ${explainTail(tailSamples)}`);
  }
  return runs;
}

function main(): void {
  const options = readOptions();
  if (options === undefined) {
    console.log(JSON.stringify(measureDecisionTimes()));
    return;
  }
  const names = options.isComparison
    ? [...POLICY_NAMES, 'oracle' as const]
    : [options.policy, 'oracle' as const];
  const runsByPolicy = new Map(names.map((name) => [name as string, runSeeds(options, name)]));
  console.log(formatTable(runsByPolicy));
  if (options.isComparison) {
    console.log(formatObjectiveChecks(checkObjectives(runsByPolicy, options.hasFaults)));
  }
  const context = {
    deployment: options.deployment.name,
    policy: options.policy,
    seeds: options.seeds,
    seconds: options.seconds,
    faults: options.hasFaults ? 'on' : 'off',
    notices: options.hasUseNotices ? 'used' : 'evicted',
    requestsPerSecond: options.deployment.requestsPerSecond,
  };
  const policy = summariseRuns(runsByPolicy.get(options.policy) ?? []);
  console.log(formatResult(context, policy, summariseRuns(runsByPolicy.get('oracle') ?? [])));
}

main();
