/** Example deployment of a franchise: a model service, an order desk service and the client accounts. */
import type { IDeploymentPlan } from './Deployment.js';

const SERVICES = ['lace', 'order-desk'];

/** One entry, which is also a control member, in each of three data centres. */
export const FRANCHISE_ENTRIES: IDeploymentPlan['entries'] = [
  { name: 'entry-1', dataCentre: 'hr-a' },
  { name: 'entry-2', dataCentre: 'hr-b' },
  { name: 'entry-3', dataCentre: 'hr-c' },
];

/** Files of the operator for the two services. */
export const FRANCHISE_SERVICES: IDeploymentPlan['operatorFiles'] = {
  lace: {
    services: [{ name: 'lace', kind: 'model', models: ['lace-1'], defaultOutputTokens: 64 }],
  },
  'order-desk': {
    services: [
      {
        name: 'order-desk',
        kind: 'plain',
        timeoutMs: 15_000,
        routes: [
          { path: '/orders', methods: ['POST'], nonRepeatable: true },
          { path: '/stock', methods: ['GET'] },
          { path: '/opening-hours', methods: ['GET'], open: true },
        ],
      },
    ],
  },
};

/**
 * Three entries that are control members, two engines and two order desk targets in three data
 * centres.
 */
export const FRANCHISE_PLAN: IDeploymentPlan = {
  region: 'hr-central',
  entries: FRANCHISE_ENTRIES,
  targets: [
    { id: 'lace-1', service: 'lace', kind: 'engine', model: 'lace-1', dataCentre: 'hr-a' },
    { id: 'lace-2', service: 'lace', kind: 'engine', model: 'lace-1', dataCentre: 'hr-b' },
    { id: 'desk-1', service: 'order-desk', kind: 'plain', dataCentre: 'hr-b' },
    { id: 'desk-2', service: 'order-desk', kind: 'plain', dataCentre: 'hr-c' },
  ],
  operatorFiles: {
    ...FRANCHISE_SERVICES,
    accounts: {
      clientAccounts: [
        { id: 'pag', tokensPerSecond: 20_000, burstTokens: 60_000, services: SERVICES },
        { id: 'lepoglava', tokensPerSecond: 10_000, burstTokens: 30_000, services: SERVICES },
        { id: 'hvar', tokensPerSecond: 5_000, burstTokens: 15_000, services: ['order-desk'] },
      ],
    },
  },
};
