/** Guards against models that learn wrongly, forget at a change of leader, or cost much of the links. */
import { create, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  ResponseTimeSumsSchema,
  type ExchangeRequest,
  type ExchangeResponse,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { ServiceModelHub } from './ServiceModelHub.js';
import { ServiceModels, sumTerms } from './ServiceModels.js';

const ENTRIES = 24;
const TARGETS = 29;
const INTERVAL_MS = 120;

interface IExchangeBytes {
  request: number;
  response: number;
}

/** Entries that exchange with one hub, and the bytes that the models add to the messages. */
class Fleet {
  public readonly entries = Array.from({ length: ENTRIES }, () => new ServiceModels());
  public readonly bytes: IExchangeBytes = { request: 0, response: 0 };
  public now = 10_000;
  private _hub = new ServiceModelHub({ hub: { epoch: 'hub/1' }, startedAt: 0 });
  private _epoch = 'hub/1';
  private readonly _epochs = new Map<ServiceModels, string>();

  public replaceLeader(epoch: string): void {
    this._hub = new ServiceModelHub({ hub: { epoch }, startedAt: this.now });
    this._epoch = epoch;
  }

  public exchange(): void {
    this.now += INTERVAL_MS;
    for (const entry of this.entries) {
      const request = create(ExchangeRequestSchema, {
        takesRequests: true,
        epoch: this._epochs.get(entry) ?? '',
      });
      entry.addReport(request, this.now);
      const response = create(ExchangeResponseSchema, { epoch: this._epoch });
      this._hub.exchange(request, response, this.now);
      this._countBytes(request, response);
      const isNewEpoch = this._epochs.get(entry) !== this._epoch;
      this._epochs.set(entry, this._epoch);
      entry.applyResponse(response, { request, isNewEpoch, sentAt: this.now, now: this.now });
      entry.setHubReachable(true, this.now);
    }
  }

  private _countBytes(request: ExchangeRequest, response: ExchangeResponse): void {
    const { responseTimes, modelRevision } = request;
    const { timeModels, timeFactors, modelRevision: revision } = response;
    this.bytes.request += toBinary(
      ExchangeRequestSchema,
      create(ExchangeRequestSchema, { responseTimes, modelRevision }),
    ).length;
    this.bytes.response += toBinary(
      ExchangeResponseSchema,
      create(ExchangeResponseSchema, { timeModels, timeFactors, modelRevision: revision }),
    ).length;
  }
}

/** Terms of a request by the first guess: constant, own prompt, running requests, queued prompts. */
function buildTerms(index: number): readonly number[] {
  const tokens = [830, 2_890, 9_190, 5_000][index % 4] ?? 0;
  const queued = index % 3 === 0 ? 2_000 * (index % 5) : 0;
  return [25, tokens / 55, 1.5 * (index % 17), queued / 55];
}

/** Time to the first byte at an engine that prefills 110 tokens per ms in steps of 2,048. */
function measureKindB(terms: readonly number[]): number {
  const tokens = ((terms[1] ?? 0) + (terms[3] ?? 0)) * 55;
  const running = (terms[2] ?? 0) / 1.5;
  return tokens / 110 + (tokens / 2_048 + 1) * (6.08 + 0.0413 * running);
}

/** Records responses of all entries, each of which exchanges with the hub after every 14 responses of all. */
function runResponses(
  fleet: Fleet,
  count: number,
  measure: (terms: readonly number[], target: number, index: number) => number,
): void {
  for (let index = 0; index < count; index += 1) {
    const target = (index * 7) % TARGETS;
    const terms = buildTerms(index);
    fleet.entries[(index * 5) % ENTRIES]?.record(
      {
        service: 'lace',
        target: `engine-${target}`,
        terms,
        actualMs: measure(terms, target, index),
      },
      fleet.now,
    );
    // 24 entries with about five requests a second each.
    if (index % 14 === 13) {
      fleet.exchange();
    }
  }
}

function listErrors(models: ServiceModels, now: number): number[] {
  const { coefficients } = models.getService('lace', now);
  return Array.from({ length: 60 }, (_, index) => {
    const terms = buildTerms(index);
    return sumTerms(terms, coefficients) / measureKindB(terms) - 1;
  });
}

describe('ServiceModels', () => {
  it('keeps to the first guess before anything was measured', () => {
    const models = new ServiceModels();
    expect(models.getService('lace', 0)).toEqual({ coefficients: [1, 1, 1, 1], samples: 0 });
    expect(models.getTarget('lace', 'engine-1', 0).factor).toBe(1);
  });

  // The first guess is twice the times of this kind, so that requests were refused that would have been on time.
  it('is within a quarter of a kind of engine that is twice as fast, after some hundred responses', () => {
    const fleet = new Fleet();
    runResponses(
      fleet,
      500,
      (terms, _target, index) =>
        // Measured times vary by a fifth in both directions.
        measureKindB(terms) * (0.8 + 0.4 * ((index * 0.618) % 1)),
    );
    for (const entry of fleet.entries) {
      expect(Math.max(...listErrors(entry, fleet.now).map(Math.abs))).toBeLessThan(0.25);
    }
  });

  it('stays so while one response in ten comes from an overloaded target', () => {
    const fleet = new Fleet();
    runResponses(
      fleet,
      800,
      (terms, _target, index) => measureKindB(terms) * (index % 10 === 3 ? 30 : 1),
    );
    const errors = listErrors(fleet.entries[0] ?? new ServiceModels(), fleet.now);
    expect(Math.max(...errors.map(Math.abs))).toBeLessThan(0.25);
  });

  it('learns the lasting speeds of targets, and not the spells in which a few of them are slow', () => {
    const fleet = new Fleet();
    const getSpeed = (target: number): number => (target % 4 === 0 ? 0.55 : 1.2);
    runResponses(fleet, 2_000, (terms, target, index) => {
      const isInSpell = (target * 31 + Math.floor(index / 80) * 17) % 20 < 3;
      return (measureKindB(terms) / getSpeed(target)) * (isInSpell ? 2.5 : 1);
    });
    const factors = Array.from({ length: TARGETS }, (_, target) => ({
      isSlow: getSpeed(target) < 1,
      factor: fleet.entries[3]?.getTarget('lace', `engine-${target}`, fleet.now).factor ?? 0,
    }));
    const computeMean = (isSlow: boolean): number => {
      const chosen = factors.filter((item) => item.isSlow === isSlow).map(({ factor }) => factor);
      return chosen.reduce((sum, factor) => sum + factor, 0) / chosen.length;
    };
    expect(computeMean(true) / computeMean(false)).toBeGreaterThan(0.8 * (1.2 / 0.55));
    expect(computeMean(true) / computeMean(false)).toBeLessThan(1.2 * (1.2 / 0.55));
    const slowest = Math.min(...factors.filter(({ isSlow }) => isSlow).map(({ factor }) => factor));
    const fastest = factors.filter(({ isSlow }) => !isSlow).map(({ factor }) => factor);
    expect(slowest).toBeGreaterThan(Math.max(...fastest));
  });

  it('keeps what the fleet has learned when the leader changes', () => {
    const fleet = new Fleet();
    runResponses(fleet, 500, (terms) => measureKindB(terms));
    fleet.replaceLeader('hub/2');
    for (let i = 0; i < 20; i += 1) {
      fleet.exchange();
      const errors = listErrors(fleet.entries[5] ?? new ServiceModels(), fleet.now);
      expect(Math.max(...errors.map(Math.abs))).toBeLessThan(0.25);
    }
    const samples = fleet.entries[5]?.getService('lace', fleet.now).samples ?? 0;
    expect(samples).toBeGreaterThan(300);
    expect(samples).toBeLessThan(700);
  });

  it('learns from its own responses with a hub of an older build, which answers nothing', () => {
    const models = new ServiceModels();
    for (let index = 0; index < 400; index += 1) {
      const terms = buildTerms(index);
      const now = index * 100;
      models.record(
        { service: 'lace', target: 'engine-1', terms, actualMs: measureKindB(terms) },
        now,
      );
      const request = create(ExchangeRequestSchema);
      models.addReport(request, now);
      const response = create(ExchangeResponseSchema);
      models.applyResponse(response, { request, isNewEpoch: false, sentAt: now, now });
      models.setHubReachable(true, now);
    }
    expect(Math.max(...listErrors(models, 40_000).map(Math.abs))).toBeLessThan(0.25);
  });

  it('repeats a report to which no answer came', () => {
    const models = new ServiceModels();
    models.record({ service: 'lace', target: 'a', terms: [25, 10, 0, 0], actualMs: 40 }, 0);
    const lost = create(ExchangeRequestSchema);
    models.addReport(lost, 0);
    models.setHubReachable(false, 100);
    const early = create(ExchangeRequestSchema);
    models.addReport(early, 200);
    const repeated = create(ExchangeRequestSchema);
    models.addReport(repeated, 600);
    expect([lost, early, repeated].map(({ responseTimes }) => responseTimes.length)).toEqual([
      1, 0, 1,
    ]);
    expect(repeated.responseTimes[0]?.samples).toBe(1);
  });

  it('bears with reports that are no sums', () => {
    const hub = new ServiceModelHub({ hub: { epoch: 'hub/1' }, startedAt: 0 });
    const reports = [
      { service: 'lace', samples: Number.NaN, products: [1], moments: [Number.POSITIVE_INFINITY] },
      { service: 'lace', samples: 5, products: [], moments: [] },
      { service: 'lace', samples: 1, targets: [{ target: 'a', samples: -1, logRatios: 3 }] },
    ];
    const request = create(ExchangeRequestSchema, {
      takesRequests: true,
      responseTimes: reports.map((report) => create(ResponseTimeSumsSchema, report)),
    });
    const response = create(ExchangeResponseSchema);
    hub.exchange(request, response, 5_000);
    const [model] = response.timeModels;
    expect(model?.coefficients.every((value) => value >= 0.02 && value <= 4)).toBe(true);
    expect(response.timeFactors).toEqual([]);
  });

  // The links between data centres have 7 to 10 Mbit/s, and their bytes are the dearest cost.
  it('adds little to the exchanges of 24 entries and 29 targets', () => {
    const fleet = new Fleet();
    runResponses(
      fleet,
      2_000,
      (terms, target, index) =>
        measureKindB(terms) * (target % 4 === 0 ? 1.8 : 0.8) * (0.7 + 0.6 * ((index * 0.618) % 1)),
    );
    const seconds = (fleet.now - 10_000) / 1_000;
    const { request, response } = fleet.bytes;
    // Per entry and second: about 0.3 KB to the hub, and less from it once the models have settled.
    expect(request / ENTRIES / seconds).toBeLessThan(400);
    expect(response / ENTRIES / seconds).toBeLessThan(400);
  });
});
