/**
 * Decides whether a request that waits for a connection may still be sent to the target that was chosen for it. Targets,
 * limits, weights and the configuration change while it waits.
 */
import type { FleetView } from '../fleet/FleetView.js';
import { getHeldVersion } from '../fleet/HeldWeights.js';
import { TargetPhase, type TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { IPermit, TargetLimits } from './TargetLimits.js';
import type { TargetStates } from './TargetStates.js';
import type { ICall } from './Types.js';

/**
 * Longest wait for a connection. It exceeds the time after which the connection of an answer that its client does not read
 * is given up.
 */
export const MAX_CONNECTION_WAIT_MS = 3_000;

/** Why a request is not sent to the target that was chosen for it. */
export type UnsentReason =
  /** The target drains, has gone, or has started anew. */
  | 'target_unavailable'
  | 'target_leaving'
  | 'target_paused'
  | 'target_limited'
  /** The target holds other weights of the model, or its weights have expired. */
  | 'weights_changed'
  /** The configuration in force isolates other client accounts, so that the request has another cache scope. */
  | 'scope_changed'
  /** The configuration in force has no route for the request, or its key belongs to no or another account. */
  | 'withdrawn'
  /** All connections to the target are in use, for too long or while another target has a free slot. */
  | 'no_connection'
  | 'quarantined';

export interface ISendCheckContext {
  readonly view: FleetView;
  readonly states: TargetStates;
  readonly limits: TargetLimits;
  /** Time after newer weights were named from which a target with older ones gets no requests. */
  readonly weightsLimitMs: number;
}

/** A call that was admitted under a configuration which may not be in force any more. */
export interface IAdmission {
  readonly call: Pick<ICall, 'host' | 'path' | 'key' | 'model'>;
  /** Name of the client account that is charged; undefined if none is. */
  readonly account: string | undefined;
  /** True if a target may have run the call: it then goes on by the configuration that admitted it. */
  readonly mayHaveRun: boolean;
}

/** A request as it was when its target was chosen. */
export interface IPendingSend extends IAdmission {
  readonly target: TargetRecord;
  readonly permit: IPermit;
  readonly isolationKey: string | undefined;
  /** When the target was chosen. */
  readonly chosenAt: number;
}

/**
 * Explains why a request may not be sent any more; undefined if it may.
 *
 * @example
 * const reason = explainUnsent(context, { call, account: 'pag', mayHaveRun, target, permit, isolationKey, chosenAt }, now);
 */
export function explainUnsent(
  context: ISendCheckContext,
  pending: IPendingSend,
  now: number,
): UnsentReason | undefined {
  const { view, states, limits } = context;
  const { target, permit, call, isolationKey, chosenAt } = pending;
  const current = view.getTarget(target.id);
  if (current === undefined || !isSameReadyTarget(current, target)) {
    return 'target_unavailable';
  }
  const state = states.ensure(current, now);
  if (state.isLeaving) {
    return 'target_leaving';
  }
  if (now < state.pausedUntil) {
    return 'target_paused';
  }
  if (!limits.isValid(current, permit, now)) {
    return 'target_limited';
  }
  const hasOtherWeights =
    getHeldVersion(current, call.model) !== getHeldVersion(target, call.model);
  if (hasOtherWeights || getWeightsUsableMs(context, call.model, current, now) <= 0) {
    return 'weights_changed';
  }
  if (isWithdrawn(view, pending)) {
    return 'withdrawn';
  }
  if (view.table !== undefined && view.table.getIsolationKey(pending.account) !== isolationKey) {
    return 'scope_changed';
  }
  return now - chosenAt > MAX_CONNECTION_WAIT_MS ? 'no_connection' : undefined;
}

/** Whether the configuration in force no longer allows a call that was admitted under an earlier one. */
export function isWithdrawn(
  { table }: Pick<FleetView, 'table'>,
  { call, account, mayHaveRun }: IAdmission,
): boolean {
  if (table === undefined || mayHaveRun) {
    return false;
  }
  const hasOtherAccount =
    account !== undefined &&
    (call.key === undefined || table.findAccount(call.key)?.name !== account);
  return hasOtherAccount || table.findRoute(call.host, call.path) === undefined;
}

/** Time in milliseconds for which a request of the model may still begin on the weights that a target holds. */
export function getWeightsUsableMs(
  { view, weightsLimitMs }: Pick<ISendCheckContext, 'view' | 'weightsLimitMs'>,
  model: string | undefined,
  record: TargetRecord,
  now: number,
): number {
  const held = getHeldVersion(record, model);
  return model === undefined || held === undefined
    ? Number.POSITIVE_INFINITY
    : view.weights.getUsableMs(model, held, weightsLimitMs, now);
}

function isSameReadyTarget(current: TargetRecord, chosen: TargetRecord): boolean {
  return (
    current.phase === TargetPhase.READY &&
    current.born === chosen.born &&
    current.address === chosen.address &&
    current.service === chosen.service
  );
}
