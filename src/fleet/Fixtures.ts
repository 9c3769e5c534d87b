/** Builders of valid values for tests; `changes` override single fields. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import {
  TargetPhase,
  TargetRecordSchema,
  type TargetRecord,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IEarlierSpending } from './FleetHub.js';
import type { IClientAccount, IFleetConfiguration, IRoute } from './Types.js';

export function buildRoute(changes: Partial<IRoute> = {}): IRoute {
  return {
    name: 'assist',
    host: 'desk.example',
    pathPrefix: '/assist/',
    kind: 'streaming',
    timeoutMs: 5_000,
    latencyObjectiveMs: 500,
    priority: 0,
    shares: [{ service: 'lace', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    gapObjectiveMs: 400,
    eventGapLimitMs: undefined,
    ...changes,
  };
}

export function buildAccount(changes: Partial<IClientAccount> = {}): IClientAccount {
  return {
    name: 'pag',
    keys: ['key-pag'],
    priority: undefined,
    isIsolated: false,
    tokensPerSecond: 0,
    burstTokens: 0,
    defaultTokens: 200,
    ...changes,
  };
}

export function buildConfiguration(
  changes: Partial<IFleetConfiguration> = {},
): IFleetConfiguration {
  return {
    version: 7,
    routes: [buildRoute()],
    services: [
      {
        name: 'lace',
        maxConnections: 380,
        engine: { slots: 64, cacheTokens: 119_000, models: ['m'] },
        storeAddress: undefined,
      },
      { name: 'orders', maxConnections: 120, engine: undefined, storeAddress: undefined },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    clientAccounts: [buildAccount()],
    ...changes,
  };
}

export function buildTarget(
  changes: MessageInitShape<typeof TargetRecordSchema> = {},
): TargetRecord {
  return create(TargetRecordSchema, {
    id: 'i-1',
    service: 'lace',
    address: '10.1.0.1:8000',
    dataCentre: 'zg-a',
    phase: TargetPhase.READY,
    slots: 64,
    models: [{ name: 'm', version: 1n }],
    born: 1_000,
    sequence: 1n,
    ...changes,
  });
}

/** What a hub knows of the time before it if there was none. */
export const NO_SPENDING: IEarlierSpending = {
  isConfigured: false,
  records: [],
  getCeiling: () => 0,
};
