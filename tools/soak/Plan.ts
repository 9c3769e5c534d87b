/** Deployment plan, client accounts and load of the soak. */
import { FRANCHISE_ENTRIES, FRANCHISE_SERVICES } from '../harness/Franchise.js';
import type { IDeploymentPlan } from '../harness/Deployment.js';

const SERVICES = ['lace', 'order-desk'];

/** A client account, its limits and the load that its clients send. */
export interface ISoakAccount {
  readonly id: string;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Mean number of requests per second. */
  readonly requestsPerSecond: number;
  /** Mean number of non-repeatable orders per second. */
  readonly ordersPerSecond: number;
  /** True if it also sends a burst after a large reservation of which most is refunded. */
  readonly hasRefundBursts?: boolean;
  /** True if most prompts begin with the long shared system prompt. */
  readonly hasLongPrompts: boolean;
}

export const ACCOUNTS: readonly ISoakAccount[] = [
  {
    id: 'pag',
    tokensPerSecond: 60_000,
    burstTokens: 200_000,
    requestsPerSecond: 6,
    ordersPerSecond: 2,
    hasLongPrompts: true,
  },
  // Its clients send about four times the rate.
  {
    id: 'lepoglava',
    tokensPerSecond: 1_500,
    burstTokens: 4_500,
    requestsPerSecond: 20,
    ordersPerSecond: 0,
    hasLongPrompts: false,
  },
  {
    id: 'hvar',
    tokensPerSecond: 5_000,
    burstTokens: 15_000,
    requestsPerSecond: 1,
    ordersPerSecond: 6,
    hasLongPrompts: false,
  },
  {
    id: 'mljet',
    tokensPerSecond: 2_000,
    burstTokens: 8_000,
    requestsPerSecond: 0.2,
    ordersPerSecond: 0,
    hasLongPrompts: false,
    hasRefundBursts: true,
  },
  // Its keys are withdrawn repeatedly during the run.
  {
    id: 'brac',
    tokensPerSecond: 20_000,
    burstTokens: 60_000,
    requestsPerSecond: 4,
    ordersPerSecond: 1,
    hasLongPrompts: true,
  },
  // Its rate is changed during the run; these are the highest values.
  {
    id: 'cres',
    tokensPerSecond: 4_000,
    burstTokens: 12_000,
    requestsPerSecond: 6,
    ordersPerSecond: 0,
    hasLongPrompts: false,
  },
];

const FAKE_ENGINE_ARGS = ['--evict-ms', '8000', '--decode-ms', '8'];

function buildEngineTarget(number: number, dataCentre: string): IDeploymentPlan['targets'][number] {
  return {
    id: `lace-${number}`,
    service: 'lace',
    kind: 'engine',
    model: 'lace-1',
    dataCentre,
    fakeArgs: FAKE_ENGINE_ARGS,
  };
}

/** Target that does not run from the start; the fault `new_target` starts it. */
export const LATE_TARGET_ID = 'lace-3';

/** Builds the plan of the deployment; `breakName` is the mechanism of the program to disable, if any. */
export function buildPlan(breakName: string | undefined): IDeploymentPlan {
  return {
    region: 'hr-central',
    entries: FRANCHISE_ENTRIES,
    targets: [
      buildEngineTarget(1, 'hr-a'),
      buildEngineTarget(2, 'hr-b'),
      buildEngineTarget(3, 'hr-c'),
      { id: 'desk-1', service: 'order-desk', kind: 'plain', dataCentre: 'hr-b' },
      { id: 'desk-2', service: 'order-desk', kind: 'plain', dataCentre: 'hr-c' },
    ],
    lateTargets: [LATE_TARGET_ID],
    program: 'dist/redwingwharf-test.cjs',
    preload: './dist/tools/network.cjs',
    environment: breakName === undefined ? {} : { REDWINGWHARF_BREAK: breakName },
    operatorFiles: {
      ...FRANCHISE_SERVICES,
      accounts: {
        clientAccounts: ACCOUNTS.map(({ id, tokensPerSecond, burstTokens }) => ({
          id,
          tokensPerSecond,
          burstTokens,
          services: SERVICES,
        })),
      },
    },
  };
}
