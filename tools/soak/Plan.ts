/** Deployment and client accounts of the soak. */
import { FRANCHISE_ENTRIES, FRANCHISE_SERVICES } from '../harness/Franchise.js';
import type { IDeploymentPlan } from '../harness/Deployment.js';

const SERVICES = ['lace', 'order-desk'];

/** A client account with the load that it sends. */
export interface ISoakAccount {
  readonly id: string;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Mean number of requests per second. */
  readonly requestsPerSecond: number;
  /** Mean number of non-repeatable orders per second. */
  readonly ordersPerSecond: number;
  /** True: it also sends bursts that follow a large reservation of which little is used. */
  readonly hasRefunds?: boolean;
  /** True: prompts begin with the long shared standard. */
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
  // Sends about four times its rate.
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
    hasRefunds: true,
  },
  // Its keys are withdrawn again and again.
  {
    id: 'brac',
    tokensPerSecond: 20_000,
    burstTokens: 60_000,
    requestsPerSecond: 4,
    ordersPerSecond: 1,
    hasLongPrompts: true,
  },
  // Its rate changes; this is the highest one.
  {
    id: 'cres',
    tokensPerSecond: 4_000,
    burstTokens: 12_000,
    requestsPerSecond: 6,
    ordersPerSecond: 0,
    hasLongPrompts: false,
  },
];

const ENGINE_ARGS = ['--evict-ms', '8000', '--decode-ms', '8'];

function describeEngine(number: number, dataCentre: string): IDeploymentPlan['targets'][number] {
  return {
    id: `lace-${number}`,
    service: 'lace',
    kind: 'engine',
    model: 'lace-1',
    dataCentre,
    fakeArgs: ENGINE_ARGS,
  };
}

/** Target that is not started at first; it joins as a fault. */
export const LATE_TARGET = 'lace-3';

/** Builds the plan; `breakName` switches a mechanism of the program off. */
export function buildPlan(breakName: string | undefined): IDeploymentPlan {
  return {
    region: 'hr-central',
    entries: FRANCHISE_ENTRIES,
    targets: [
      describeEngine(1, 'hr-a'),
      describeEngine(2, 'hr-b'),
      describeEngine(3, 'hr-c'),
      { id: 'desk-1', service: 'order-desk', kind: 'plain', dataCentre: 'hr-b' },
      { id: 'desk-2', service: 'order-desk', kind: 'plain', dataCentre: 'hr-c' },
    ],
    lateTargets: [LATE_TARGET],
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
