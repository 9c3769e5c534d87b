/** Grants the permits to probe quarantined prompt parts, on the leader: one request with a part in the whole fleet. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { ILog } from '../common/Log.js';
import {
  FleetCommandSchema,
  SuspectPartsSchema,
  type ExchangeRequest,
  type ExchangeResponse,
  type FleetCommand,
  type ProbeRecordSchema,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import { formatParts } from './CrashEvidence.js';
import type { IHubContext, IHubPart } from './ExchangePart.js';
import { computeProbeDelay, MAX_PROBES } from './ProbeSchedule.js';

/** Time in which all processes report again to a new hub what crashed, and what settled. */
const HANDOVER_MS = 3_000;

/** Crashes from which a probe is not granted at once, as the next one may be beyond what the users tolerate. */
const MAX_CRASHES_BEFORE_PROBE = 4;

/** Quarantine after a probe of which the outcome is open, and after one that crashed its target. */
const PROBED_LIFETIME_MS = 2_400_000;
const CRASHED_LIFETIME_MS = 86_400_000;

/** Time without a demand after which the parts are forgotten. */
const DEMAND_TTL_MS = 600_000;

type ProbeState =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'committing' }
  /** Recorded, for the next process that asks. */
  | { readonly kind: 'ready' }
  | { readonly kind: 'granted' }
  | { readonly kind: 'crashed' };

interface IProbed {
  readonly parts: readonly number[];
  state: ProbeState;
  /** Start of the time to the next probe. */
  since: number;
  demandedAt: number;
}

/** Commits a command of the leader; true if it is known to be committed. */
export type CommandCommitter = (command: FleetCommand) => Promise<boolean>;

/**
 * The hub's part of the probes. A probe is recorded before it is granted, so that no later leader grants it anew, and the
 * quarantine is renewed. A response that settles clears the parts and the record; a crash lets no other probe follow.
 */
export class ProbeGrants implements IHubPart {
  private readonly _probed = new Map<string, IProbed>();

  constructor(
    private readonly _context: IHubContext,
    private readonly _commit: CommandCommitter,
    private readonly _log: ILog,
  ) {
    const { hub, state, startedAt } = _context;
    for (const { parts, count } of state.probes.list()) {
      if (hub.crashEvidence.findQuarantine(parts, startedAt) !== undefined) {
        const lifetimeMs = count < MAX_PROBES ? PROBED_LIFETIME_MS : CRASHED_LIFETIME_MS;
        hub.crashEvidence.renew(parts, startedAt, lifetimeMs);
      }
    }
  }

  public exchange(request: ExchangeRequest, response: ExchangeResponse, now: number): void {
    this._dropRecords(request.clearedParts);
    if (request.crashes.length > 0) {
      this._findCrashed(now);
    }
    for (const [key, { demandedAt }] of this._probed) {
      if (now - demandedAt > DEMAND_TTL_MS) {
        this._probed.delete(key);
      }
    }
    response.probePermits = request.probeDemands
      .filter(({ parts }) => this._decide(request.node, parts, now))
      .map(({ parts }) => create(SuspectPartsSchema, { parts, quarantined: true }));
  }

  /** True if the process may let one request with the parts through. */
  private _decide(node: string, parts: readonly number[], now: number): boolean {
    const key = formatParts(parts);
    const strength = this._context.hub.crashEvidence.findQuarantine(parts, now);
    if (strength === undefined) {
      this._probed.delete(key);
      return false;
    }
    const probed = this._probed.get(key) ?? {
      parts,
      state: { kind: 'waiting' },
      since: now,
      demandedAt: now,
    };
    this._probed.set(key, probed);
    probed.demandedAt = now;
    switch (probed.state.kind) {
      case 'ready':
        probed.state = { kind: 'granted' };
        probed.since = now;
        this._log.info('probe granted', { process: node, parts: formatForLog(parts) });
        return true;
      case 'waiting':
      case 'granted':
        if (this._isDue(parts, probed, now)) {
          probed.state = { kind: 'committing' };
          void this._record(parts, probed, now);
        }
        return false;
      case 'committing':
      case 'crashed':
        return false;
    }
  }

  /** Records the probes that crashed their targets, with a count after which there is no other one. */
  private _findCrashed(now: number): void {
    const { crashEvidence } = this._context.hub;
    for (const probed of this._probed.values()) {
      const { state, parts, since } = probed;
      if (state.kind === 'granted' && crashEvidence.hasCrashedSince(parts, since)) {
        probed.state = { kind: 'crashed' };
        crashEvidence.renew(parts, now, CRASHED_LIFETIME_MS);
        void this._propose({ parts: [...parts], count: MAX_PROBES });
        this._log.info('probe crashed its target', { parts: formatForLog(parts) });
      }
    }
  }

  private _isDue(parts: readonly number[], { state, since }: IProbed, now: number): boolean {
    const { hub, state: replicated, startedAt } = this._context;
    const evidence = hub.crashEvidence;
    const count = replicated.probes.getCount(parts);
    const isOwn = state.kind === 'granted';
    // What became of a probe of an earlier hub, or of some of the parts only, is not known here.
    const isUnclear = !isOwn && count > 0;
    if (isUnclear || now - startedAt < HANDOVER_MS) {
      return false;
    }
    const isCounted =
      evidence.findQuarantine(parts, now) === 'counted' &&
      evidence.countCrashes(parts) <= MAX_CRASHES_BEFORE_PROBE;
    return now - since >= computeProbeDelay(isCounted ? 'counted' : 'blamed', count);
  }

  private async _record(parts: readonly number[], probed: IProbed, now: number): Promise<void> {
    const count = this._context.state.probes.getCount(parts) + 1;
    const isCommitted = await this._propose({ parts: [...parts], count });
    probed.since = now;
    if (!isCommitted) {
      // It may be committed yet: then the next one is the second, or there is none.
      probed.state = { kind: 'waiting' };
      return;
    }
    const { crashEvidence } = this._context.hub;
    if (crashEvidence.findQuarantine(parts, now) === undefined) {
      probed.state = { kind: 'waiting' };
      return;
    }
    crashEvidence.renew(parts, now, PROBED_LIFETIME_MS);
    probed.state = { kind: 'ready' };
  }

  /** Drops the records of parts with which a response has settled. */
  private _dropRecords(clearedParts: readonly number[]): void {
    const { probes } = this._context.state;
    const records = new Set(clearedParts.flatMap((part) => probes.listWith(part)));
    for (const { parts } of records) {
      void this._propose({ parts: [...parts], count: 0 });
    }
  }

  private _propose(value: MessageInitShape<typeof ProbeRecordSchema>): Promise<boolean> {
    return this._commit(create(FleetCommandSchema, { body: { case: 'recordProbe', value } }));
  }
}

function formatForLog(parts: readonly number[]): string {
  return parts.map((part) => part.toString(16)).join('+');
}
