/** Carries out rollouts of software versions; acts on the leader only. */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { randomUUID } from 'node:crypto';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { Metrics } from '../common/Metrics.js';
import { isAborted, runWithTimeout, sleep } from '../common/Tasks.js';
import {
  FleetCommandSchema,
  OrderRolloutResponseSchema,
  ReadRolloutResponseSchema,
  RolloutOutcome,
  RolloutService,
  RolloutState,
  type OrderRolloutRequest,
  type OrderRolloutResponse,
  type ReadRolloutRequest,
  type ReadRolloutResponse,
  type Rollout,
} from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IExchangePart, IHubContext, IHubPart } from './ExchangePart.js';
import type { FleetNode } from './FleetNode.js';
import type { FleetView } from './FleetView.js';
import type { IRolloutBounds } from './RolloutBudget.js';
import { RolloutHub, type IObservedRollout } from './RolloutHub.js';
import { decideRollout, ROLLOUT_STEPS, type RolloutDecision } from './RolloutPlan.js';

const CONTROL_INTERVAL_MS = 50;

/** Interval at which elapsed time and exposure are recorded, as no clock survives a stop of all processes. */
const RECORD_INTERVAL_MS = 400;

/** Time after the end of a rollout within which the same order counts as a repetition, beyond `ackMs`. */
const REPEAT_MARGIN_MS = 5_000;

/** Longest wait until all entries have heard of a rollout before its order is acknowledged. */
const ANNOUNCE_TIMEOUT_MS = 500;

/** Timeout of the confirmation of the leader by a majority. */
const CONFIRM_TIMEOUT_MS = 700;
const POLL_INTERVAL_MS = 15;

type CommandBody = NonNullable<MessageInitShape<typeof FleetCommandSchema>['body']>;

export interface IRolloutControllerOptions {
  readonly bounds: IRolloutBounds;
}

/** What the controller needs from its process. */
export type IRolloutNode = Pick<FleetNode, 'getHub' | 'getConfirmationAgeMs' | 'submit'>;

/** A rollout that has ended while this process led, or whose end it found when it began to lead. */
interface IEnd {
  readonly id: string;
  readonly at: number;
}

/**
 * Decides on the steps and the end of rollouts while this process leads, and answers orders. Each decision is committed
 * before the entries or the operators hear of it.
 *
 * @example
 * const node = new FleetNode({ address, takesRequests, hub, parts: [controller] }, ...dependencies);
 * controller.attach(node);
 */
export class RolloutController implements IExchangePart {
  private _node: IRolloutNode | undefined;
  private _hub: RolloutHub | undefined;
  private readonly _ends = new Map<string, IEnd>();
  private readonly _recordedAt = new Map<string, number>();

  constructor(
    private readonly _options: IRolloutControllerOptions,
    private readonly _view: Pick<FleetView, 'table'>,
    private readonly _clock: IClock,
    private readonly _metrics: Metrics,
    private readonly _log: ILog,
  ) {}

  /** Sets the node, which needs this part when it is created. */
  public attach(node: IRolloutNode): void {
    this._node = node;
  }

  public addReport(): void {
    // The entry's part reports.
  }

  public applyResponse(): void {
    // The entry's part applies the answers.
  }

  public createHubPart(context: IHubContext): IHubPart {
    this._hub = new RolloutHub(context, {
      bounds: this._options.bounds,
      getConfirmationAgeMs: (now) => this._node?.getConfirmationAgeMs(now) ?? Infinity,
      log: this._log,
    });
    this._ends.clear();
    this._recordedAt.clear();
    return this._hub;
  }

  public registerRpc(router: ConnectRouter): void {
    router.service(RolloutService, {
      orderRollout: (request, context) => this.submitOrder(request, context.signal),
      readRollout: (request, context) => this.read(request, context.signal),
    });
  }

  /** Decides at intervals until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await this.executeStep(this._clock.now(), signal);
      await sleep(CONTROL_INTERVAL_MS, signal);
    }
  }

  /** One decision for each running rollout. */
  public async executeStep(now: number, signal: AbortSignal): Promise<void> {
    const hub = this._getHub(now);
    if (hub === undefined) {
      return;
    }
    const { rollouts } = hub.context.state;
    this._recordEnds(rollouts.list(), now);
    await Promise.all(
      rollouts.listRunning().map((rollout) => this._executeRollout(hub, rollout, now, signal)),
    );
  }

  /** Takes an order if this process leads. */
  public async submitOrder(
    { service, to, durationMs }: OrderRolloutRequest,
    signal: AbortSignal,
  ): Promise<OrderRolloutResponse> {
    const hub = await this._waitForHub(signal);
    if (hub === undefined) {
      return answerOrder(RolloutOutcome.UNSURE, undefined, 'the leader is not confirmed');
    }
    const { table } = this._view;
    if (table === undefined) {
      return answerOrder(RolloutOutcome.NO_CONFIGURATION, undefined, 'there is no configuration');
    }
    if (table.getService(service) === undefined) {
      return answerOrder(RolloutOutcome.NO_SERVICE, undefined, 'the service is not configured');
    }
    const now = this._clock.now();
    const { rollouts } = hub.context.state;
    const current = rollouts.get(service);
    if (current !== undefined && this._isRepetition(current, { to, durationMs }, now)) {
      return this._answerAccepted(hub, current, signal);
    }
    if (current?.state === RolloutState.RUNNING) {
      const reason = `a rollout to ${current.to} within ${current.durationMs} ms runs`;
      return answerOrder(RolloutOutcome.CONFLICT, current, reason);
    }
    const id = randomUUID();
    const isInForce = isVersionInForce(hub, service, to, current);
    const outcome = await this._submit(
      { case: 'startRollout', value: { id, service, to, durationMs, isInForce } },
      signal,
    );
    const started = rollouts.get(service);
    if (outcome !== undefined || started === undefined) {
      return answerOrder(RolloutOutcome.UNSURE, undefined, outcome ?? 'the state is not known');
    }
    if (started.id !== id && (started.to !== to || started.durationMs !== durationMs)) {
      return answerOrder(RolloutOutcome.CONFLICT, started, 'another rollout has begun');
    }
    if (started.id === id) {
      this._log.info('rollout ordered', { service, to, durationMs, rollout: id, isInForce });
    }
    return this._answerAccepted(hub, started, signal);
  }

  /** Reads the last rollout of a service if this process leads, confirmed by a majority. */
  public async read(
    { service }: Pick<ReadRolloutRequest, 'service'>,
    signal: AbortSignal,
  ): Promise<ReadRolloutResponse> {
    const hub = await this._waitForHub(signal);
    const rollout = hub?.context.state.rollouts.get(service);
    return create(ReadRolloutResponseSchema, {
      confirmed: hub !== undefined,
      ...(rollout === undefined ? {} : { rollout }),
    });
  }

  private _getHub(now: number): RolloutHub | undefined {
    const hub = this._node?.getHub(now);
    return hub !== undefined && this._hub?.context.hub === hub ? this._hub : undefined;
  }

  /** The hub, once a majority has confirmed this leader after the call began; undefined if that fails. */
  private async _waitForHub(signal: AbortSignal): Promise<RolloutHub | undefined> {
    const calledAt = this._clock.now();
    return runWithTimeout(signal, CONFIRM_TIMEOUT_MS, async (limited) => {
      while (!isAborted(limited)) {
        const now = this._clock.now();
        const hub = this._getHub(now);
        const age = this._node?.getConfirmationAgeMs(now) ?? Infinity;
        if (hub === undefined) {
          return undefined;
        }
        if (age <= now - calledAt) {
          return hub;
        }
        await sleep(POLL_INTERVAL_MS, limited);
      }
      return undefined;
    });
  }

  /** Waits a little for the entries, so that targets that start after the answer get nothing without a permit. */
  private async _answerAccepted(
    hub: RolloutHub,
    rollout: Rollout,
    signal: AbortSignal,
  ): Promise<OrderRolloutResponse> {
    if (rollout.state === RolloutState.RUNNING) {
      await runWithTimeout(signal, ANNOUNCE_TIMEOUT_MS, async (limited) => {
        while (!isAborted(limited) && !hub.isKnownToAll(rollout.id, this._clock.now())) {
          await sleep(POLL_INTERVAL_MS, limited);
        }
      });
    }
    return answerOrder(RolloutOutcome.ACCEPTED, rollout, '');
  }

  private _isRepetition(
    current: Rollout,
    order: Pick<Rollout, 'to' | 'durationMs'>,
    now: number,
  ): boolean {
    if (current.to !== order.to || current.durationMs !== order.durationMs) {
      return false;
    }
    const end = this._ends.get(current.service);
    const endedAt = end?.id === current.id ? end.at : now;
    return (
      current.state === RolloutState.RUNNING ||
      now - endedAt <= this._options.bounds.ackMs + REPEAT_MARGIN_MS
    );
  }

  /** A new leader cannot know when a rollout ended, so its time begins with the term. */
  private _recordEnds(rollouts: readonly Rollout[], now: number): void {
    for (const { id, service, state } of rollouts) {
      if (state !== RolloutState.RUNNING && this._ends.get(service)?.id !== id) {
        this._ends.set(service, { id, at: now });
      }
    }
  }

  private async _executeRollout(
    hub: RolloutHub,
    rollout: Rollout,
    now: number,
    signal: AbortSignal,
  ): Promise<void> {
    const observed = hub.observe(rollout, now);
    const decision = this._decide(rollout, observed);
    const { id, service } = rollout;
    const elapsedMs = Math.round(observed.progress.elapsedMs);
    const { otherVersions } = observed;
    switch (decision.kind) {
      case 'stay':
        if (now - (this._recordedAt.get(id) ?? -Infinity) >= RECORD_INTERVAL_MS) {
          await this._record(rollout, rollout.step, observed, signal);
        }
        return;
      case 'advance':
        if ((await this._record(rollout, decision.step, observed, signal)) === undefined) {
          this._logChange('rollout advanced', hub, rollout, observed, { step: decision.step });
          this._metrics.increment('rollout_steps_total', { service, version: rollout.to });
        }
        return;
      case 'complete': {
        const value = { id, service, state: RolloutState.COMPLETED, elapsedMs };
        await this._end(
          hub,
          rollout,
          observed,
          {
            ...value,
            reason: observed.isOnlyVersion
              ? 'no target has another version'
              : 'all traffic has left the other versions',
            barredVersions: [...otherVersions],
          },
          signal,
        );
        return;
      }
      case 'roll_back': {
        const value = { id, service, state: RolloutState.ROLLED_BACK, elapsedMs };
        const { reason } = decision;
        const ended = { ...value, reason, barredVersions: [rollout.to] };
        await this._end(hub, rollout, observed, ended, signal);
        return;
      }
    }
  }

  private _decide(
    rollout: Rollout,
    { verdict, progress, isOnlyVersion }: IObservedRollout,
  ): RolloutDecision {
    const { table } = this._view;
    if (table !== undefined && table.getService(rollout.service) === undefined) {
      return { kind: 'roll_back', reason: 'the configuration has dropped the service' };
    }
    if (verdict.kind === 'bad') {
      return { kind: 'roll_back', reason: verdict.reason };
    }
    // The leader learned of the targets only after the order, or nothing is left to compare with.
    return isOnlyVersion && progress.step === 0 ? { kind: 'complete' } : decideRollout(progress);
  }

  /** Returns the reason if the outcome is not known. */
  private _record(
    { id, service }: Rollout,
    step: number,
    { progress, requests, exposed }: IObservedRollout,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    this._recordedAt.set(id, this._clock.now());
    const value = {
      id,
      service,
      step,
      elapsedMs: Math.round(progress.elapsedMs),
      requests: BigInt(Math.round(requests)),
      exposed: BigInt(Math.round(exposed)),
    };
    return this._submit({ case: 'recordRollout', value }, signal);
  }

  private async _end(
    hub: RolloutHub,
    rollout: Rollout,
    observed: IObservedRollout,
    value: Extract<CommandBody, { case: 'endRollout' }>['value'],
    signal: AbortSignal,
  ): Promise<void> {
    const problem = await this._submit({ case: 'endRollout', value }, signal);
    const detail = { state: RolloutState[value.state ?? 0], reason: value.reason, problem };
    this._logChange('rollout ended', hub, rollout, observed, detail);
    this._metrics.increment('rollout_ends_total', {
      service: rollout.service,
      version: rollout.to,
      state: RolloutState[value.state ?? 0] ?? '',
    });
  }

  private _logChange(
    message: string,
    hub: RolloutHub,
    { id, service, to, step }: Rollout,
    { requests, exposed, progress }: IObservedRollout,
    detail: Readonly<Record<string, unknown>>,
  ): void {
    this._log.info(message, {
      rollout: id,
      service,
      to,
      fromShare: ROLLOUT_STEPS[step]?.share,
      ...detail,
      elapsedMs: Math.round(progress.elapsedMs),
      stepMs: Math.round(progress.stepMs),
      stepAnswers: progress.answers,
      requests,
      exposed,
      routes: hub.listRoutes(id).map(({ route, old, fresh }) => ({
        route,
        new: `${fresh.bad}/${fresh.good + fresh.bad}`,
        old: `${old.bad}/${old.good + old.bad}`,
        newSlowness: formatSlowness(fresh),
        oldSlowness: formatSlowness(old),
      })),
    });
  }

  /** Returns the reason if it is not known whether the command was committed. */
  private async _submit(body: CommandBody, signal: AbortSignal): Promise<string | undefined> {
    const outcome = await this._node?.submit(create(FleetCommandSchema, { body }), signal);
    return outcome?.kind === 'committed' ? undefined : (outcome?.reason ?? 'not started');
  }
}

/** True if all known targets have the version, and no rollout says that it must get nothing. */
function isVersionInForce(
  hub: RolloutHub,
  service: string,
  to: string,
  last: Rollout | undefined,
): boolean {
  const isBarred = last?.barredVersions.includes(to) === true;
  return hub.isOnlyVersion(service, to) && !isBarred;
}

function answerOrder(
  outcome: RolloutOutcome,
  rollout: Rollout | undefined,
  reason: string,
): OrderRolloutResponse {
  const answer = create(OrderRolloutResponseSchema, { outcome, reason });
  if (rollout !== undefined) {
    answer.rollout = rollout;
  }
  return answer;
}

/** Mean ratio of the time to the first byte to the expected one. */
function formatSlowness({
  times,
  logSum,
}: {
  readonly times: number;
  readonly logSum: number;
}): string | undefined {
  return times === 0 ? undefined : Math.exp(logSum / times).toFixed(2);
}
