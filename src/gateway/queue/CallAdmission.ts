/** Admits calls to engines: describes a call and its best target to the queue of its service. */
import type { TargetRecord } from '../../gen/redwingwharf/v1/fleet_pb.js';
import {
  getPriority,
  type IAdmittedCall,
  type ICallContext,
  type ICallProgress,
} from '../CallTypes.js';
import type { IPlacement } from '../Placement.js';
import type { TargetChoice } from '../TargetSelector.js';
import { getRecentLoad } from '../TargetStates.js';
import type { ICall } from '../Types.js';
import type { IAssessedTarget } from './AdmissionDecision.js';
import type { AdmissionOutcome, IAdmissionItem } from './AdmissionQueue.js';

export type CallAdmittance =
  | { readonly kind: 'admitted' }
  /** The call has waited, so that its target has to be chosen again. */
  | { readonly kind: 'waited' }
  | { readonly kind: 'stopping' }
  | {
      readonly kind: 'refuse';
      readonly retryAfterMs: number;
      readonly detail: Readonly<Record<string, unknown>>;
    };

/**
 * Applies to the first attempt of a call at an engine: a call that has been sent once is not delayed further.
 *
 * @example
 * const admittance = admission.admit(call, admitted, progress, choice, assess, now);
 */
export class CallAdmission<T extends ICall> {
  constructor(private readonly _context: ICallContext<T>) {}

  /** Returns no promise if the call need not wait, as its target was chosen by the load of this moment. */
  public admit(
    call: T,
    { service, route, account, deadlineAt }: IAdmittedCall,
    progress: ICallProgress,
    choice: Extract<TargetChoice, { kind: 'placed' }>,
    chooseTarget: (now: number) => TargetChoice,
    now: number,
  ): CallAdmittance | Promise<CallAdmittance> {
    const isFirst = progress.attempts === 0 && progress.ticket === undefined;
    if (service.engine === undefined || !isFirst) {
      return { kind: 'admitted' };
    }
    const { admission, shutdown } = this._context;
    let first: IPlacement | undefined = choice.placement;
    const item: IAdmissionItem = {
      id: call.id,
      service: service.name,
      priority: getPriority(route, account),
      account: account?.name ?? '',
      objectiveMs: route.latencyObjectiveMs,
      arrivedAt: call.arrivedAt,
      deadlineAt: Math.min(
        deadlineAt,
        call.arrivedAt + (route.eventGapLimitMs ?? Number.POSITIVE_INFINITY),
      ),
      callEndsAt: deadlineAt,
      signals: [call.signal, shutdown.signal],
      assess: (at) => {
        const chosen = first === undefined ? chooseTarget(at) : undefined;
        const placement = first ?? (chosen?.kind === 'placed' ? chosen.placement : undefined);
        first = undefined;
        return placement && this._describeTarget(call, placement, at);
      },
    };
    const outcome = admission.admit(item, now);
    return outcome instanceof Promise
      ? outcome.then((waited) => this._apply(item, progress, waited, true))
      : this._apply(item, progress, outcome, false);
  }

  private _apply(
    { objectiveMs, priority, deadlineAt }: IAdmissionItem,
    progress: ICallProgress,
    outcome: AdmissionOutcome,
    hasWaited: boolean,
  ): CallAdmittance {
    switch (outcome.kind) {
      case 'serve':
        progress.ticket = outcome.ticket;
        return { kind: hasWaited ? 'waited' : 'admitted' };
      case 'aborted':
        return { kind: this._context.shutdown.hasBegun ? 'stopping' : 'waited' };
      case 'refuse': {
        const { reason: cause, retryAfterMs, expectedMs, waitMs } = outcome;
        const detail = {
          cause,
          priority,
          expectedMs: Math.round(expectedMs),
          objectiveMs,
          waitMs: Math.round(waitMs),
          leftMs: Math.round(deadlineAt - this._context.clock.now()),
        };
        return { kind: 'refuse', retryAfterMs, detail };
      }
    }
  }

  private _describeTarget(call: T, placement: IPlacement, now: number): IAssessedTarget {
    const { target, expectedMs, serviceMs, missedTokens } = placement;
    const own = call.parts.at(-1)?.tokens ?? call.promptTokens ?? 0;
    return {
      expectedMs,
      serviceMs,
      tokens: own + missedTokens,
      ...this._describeQueue(target, now),
    };
  }

  private _describeQueue(
    target: TargetRecord,
    now: number,
  ): Pick<IAssessedTarget, 'backlogTokens' | 'hasQueue'> {
    const { states, view } = this._context;
    const state = states.ensure(target, now);
    return {
      backlogTokens: state.pendingTokens + view.getRemoteWork(target.id).pendingTokens,
      hasQueue: (getRecentLoad(state, now)?.waiting ?? 0) > 0,
    };
  }
}
