/**
 * Decides whether a request is sent now, waits in the entry, or is refused. More requests than the engines can prefill make
 * every response late if all are sent at once. Those that can still be on time are sent first, as far as they remain on time;
 * the others wait until there is room, and are refused only if none is expected before their deadline.
 */
import { hashText } from '../../policy/TargetTable.js';

/**
 * A request counts as on time if its first byte is expected within this fraction of its objective. With a third of the
 * engines down, 0.8 serves more requests on time than 0.7, 1.0, 1.2, 1.5 or 2.5.
 */
const ON_TIME_FACTOR = 0.8;

/**
 * A long prompt takes most of its objective even on an idle engine. It counts as on time if its queueing takes at most this
 * fraction of the objective; otherwise the longest requests would never be served.
 */
const ON_TIME_WAIT_FACTOR = 0.4;

/** A less urgent request leaves the queue of its engine below this fraction of the objective of more urgent ones. */
const URGENT_WAIT_FACTOR = 0.8;

/** Other entries with waiting requests that are more urgent need room too; the queue is then kept below this part of it. */
const OTHERS_URGENT_FACTOR = 0.5;

/**
 * A request that is late is sent when the queueing takes at most this fraction of its objective, so that those which can be on
 * time get the capacity first. The fraction grows to the second figure at its deadline.
 */
const LATE_WAIT_FACTOR = 0.25;
const LAST_WAIT_FACTOR = 0.8;

/** An engine with at most this many tokens to prefill and no request in its queue has room: it works them off in 80 ms. */
const ROOM_TOKENS = 4_000;

/**
 * Least part of the queueing time that counts for a request: engines take urgent requests first, but finish the chunk that
 * they compute, and all running requests slow a step down.
 */
const MIN_QUEUE_SHARE = 0.25;

/** Largest part of the throughput that is assumed to be taken by more urgent requests. */
const MAX_URGENT_SHARE = 0.6;

/** Part of the throughput that is assumed to be left for late requests: overloads last for some seconds only. */
const LATE_THROUGHPUT = 0.3;

/** A request with less time left than this beyond the expected time is not answered before its deadline. */
const DEADLINE_MARGIN_MS = 30;

/** Bounds of the Retry-After. Clients ignore one that is longer than this fraction of the time that they have left. */
const MIN_RETRY_AFTER_MS = 150;
const MAX_RETRY_AFTER_MS = 5_000;
const MAX_IMMEDIATE_RETRY_AFTER_MS = 1_500;
const MAX_RETRY_AFTER_FACTOR = 1 / 3;

/** Rounds down below the third: the client computes it after the response has arrived. */
const RETRY_AFTER_MARGIN = 0.95;

/** Clients that are refused together return within this fraction of their Retry-After before its end. */
const RETRY_AFTER_SPREAD = 0.4;

/** Times on the monotonic clock of the process, durations in milliseconds. */
export interface IAdmissionRequest {
  readonly id: string;
  readonly objectiveMs: number;
  readonly arrivedAt: number;
  /** Time by which the response must have begun, as the client or the route gives up then. */
  readonly deadlineAt: number;
  /** End of the call, until which a refused client may come back; `deadlineAt` if absent. */
  readonly callEndsAt?: number;
}

/** The best target that a request could be sent to. */
export interface IAssessedTarget {
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** The part of `expectedMs` that the request takes on an idle target. */
  readonly serviceMs: number;
  /** Prompt tokens that the target would compute for this request. */
  readonly tokens: number;
  /** Prompt tokens that the target has to compute before. */
  readonly backlogTokens: number;
  /** True if the target reported requests in its own queue. */
  readonly hasQueue: boolean;
}

/** What competes with a request for the capacity of its service. */
export interface ICompetition {
  /** Part of the tokens sent and not computed yet that belong to requests at least as urgent. */
  readonly queueShare: number;
  /** Least objective of more urgent requests that arrived lately; undefined without any. */
  readonly urgentObjectiveMs: number | undefined;
  /** True if a request waits here that goes before this one and can still be on time. */
  readonly hasOnTimeFirst: boolean;
  /** True if a late request waits here that goes before this one once it is late too. */
  readonly hasLateFirst: boolean;
  /** True if more urgent requests wait at other entries. */
  readonly hasOthersElsewhere: boolean;
  /** Tokens of waiting requests that go before a late one, by fair shares of the client accounts. */
  readonly tokensAhead: number;
  /** Tokens of requests that were refused and told to return later. */
  readonly returningTokens: number;
  /** Tokens a millisecond that this entry has lately sent at most, and that arrive for it now. */
  readonly throughput: number;
  readonly arrivalRate: number;
  /** Tokens a millisecond of more urgent requests that arrive; engines take them first. */
  readonly urgentRate: number;
}

export type AdmissionDecision =
  | { readonly kind: 'serve' }
  | {
      readonly kind: 'wait';
      /** Until then the request would be on time if an idle target took it; undefined if it cannot be on time. */
      readonly onTimeUntil: number | undefined;
      readonly reason: WaitReason;
    }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number; readonly reason: RefuseReason };

/**
 * `busy`: the targets would answer late; `others_first`: an earlier request waits; `urgent_first`: more urgent requests would
 * become late; `late`: the request cannot be on time any more, and waits for spare capacity.
 */
export type WaitReason = 'busy' | 'others_first' | 'urgent_first' | 'late';
export type RefuseReason = 'deadline' | 'no_room' | 'queue_full';

/**
 * Decides on one request at one time; a waiting one is decided on again at intervals.
 *
 * @example
 * const decision = decideAdmission(request, target, competition, clock.now());
 */
export function decideAdmission(
  request: IAdmissionRequest,
  target: IAssessedTarget,
  competition: ICompetition,
  now: number,
): AdmissionDecision {
  const { objectiveMs, arrivedAt, deadlineAt } = request;
  const { expectedMs, serviceMs, backlogTokens, hasQueue } = target;
  const elapsedMs = now - arrivedAt;
  const remainingMs = deadlineAt - now;
  const queueMs = Math.max(0, expectedMs - serviceMs);
  const ownQueueMs = queueMs * Math.max(MIN_QUEUE_SHARE, competition.queueShare);
  const stretch = computeStretch(competition);
  const firstByteMs = (serviceMs + ownQueueMs) * stretch;
  if (firstByteMs + DEADLINE_MARGIN_MS > remainingMs) {
    return refuse(request, 'deadline', competition, now);
  }
  const onTimeMs = computeOnTimeMs(objectiveMs, serviceMs);
  const isOnTime = elapsedMs + firstByteMs <= onTimeMs;
  const hasRoom = !hasQueue && backlogTokens <= ROOM_TOKENS;
  const isDelayingUrgent =
    !hasRoom && queueMs > computeUrgentQueueMs(competition, objectiveMs, serviceMs);
  if (isOnTime && !competition.hasOnTimeFirst && !isDelayingUrgent) {
    return { kind: 'serve' };
  }
  const onTimeUntil = arrivedAt + onTimeMs - serviceMs * stretch;
  if (now < onTimeUntil) {
    const others = competition.hasOnTimeFirst ? 'others_first' : 'busy';
    return { kind: 'wait', onTimeUntil, reason: isDelayingUrgent ? 'urgent_first' : others };
  }
  const used = elapsedMs / Math.max(1, deadlineAt - arrivedAt);
  const lateQueueMs =
    objectiveMs * (LATE_WAIT_FACTOR + (LAST_WAIT_FACTOR - LATE_WAIT_FACTOR) * used);
  const hasOthersFirst = competition.hasOnTimeFirst || competition.hasLateFirst;
  if (!hasOthersFirst && !isDelayingUrgent && (hasRoom || ownQueueMs <= lateQueueMs)) {
    return { kind: 'serve' };
  }
  const waitMs = estimateLateWaitMs(competition, competition.tokensAhead);
  return waitMs + firstByteMs + DEADLINE_MARGIN_MS > remainingMs
    ? refuse(request, 'no_room', competition, now)
    : { kind: 'wait', onTimeUntil: undefined, reason: 'late' };
}

/**
 * Decides on a request where none may wait: it is sent if it is expected on time, and refused if not. A client that comes back
 * after the queue at the best target has become short enough is then served.
 *
 * @example
 * const decision = decideImmediately(request, target);
 */
export function decideImmediately(
  { objectiveMs }: Pick<IAdmissionRequest, 'objectiveMs'>,
  { expectedMs, serviceMs }: Pick<IAssessedTarget, 'expectedMs' | 'serviceMs'>,
): Exclude<AdmissionDecision, { readonly kind: 'wait' }> {
  if (expectedMs <= computeOnTimeMs(objectiveMs, serviceMs)) {
    return { kind: 'serve' };
  }
  const backlogMs = expectedMs - objectiveMs;
  const retryAfterMs = Math.min(
    MAX_IMMEDIATE_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, backlogMs),
  );
  return { kind: 'refuse', reason: 'no_room', retryAfterMs };
}

/**
 * Retry-After of a refused request: until the tokens that wait, and those of clients that were told to return, have been sent.
 * It is a little shorter than what the client still honours, and different for clients that are refused together.
 */
export function computeRetryAfter(
  { id, deadlineAt, callEndsAt }: Pick<IAdmissionRequest, 'id' | 'deadlineAt' | 'callEndsAt'>,
  competition: ICompetition,
  now: number,
): number {
  const { tokensAhead, returningTokens } = competition;
  const freeMs = estimateLateWaitMs(competition, tokensAhead + returningTokens);
  const longestMs = Math.min(
    MAX_RETRY_AFTER_MS,
    ((callEndsAt ?? deadlineAt) - now) * MAX_RETRY_AFTER_FACTOR * RETRY_AFTER_MARGIN,
  );
  const spread = 1 - (hashText(id) / 2 ** 32) * RETRY_AFTER_SPREAD;
  const latestMs = Math.min(longestMs, freeMs / (1 - RETRY_AFTER_SPREAD));
  return Math.max(Math.min(MIN_RETRY_AFTER_MS, longestMs), latestMs * spread);
}

/** Latest expected time to the first byte, counted from the arrival, at which a request counts as on time. */
function computeOnTimeMs(objectiveMs: number, serviceMs: number): number {
  return Math.max(objectiveMs * ON_TIME_FACTOR, serviceMs + objectiveMs * ON_TIME_WAIT_FACTOR);
}

/**
 * Longest queue at an engine that leaves more urgent requests on time after a request has been added. The largest prompts are
 * added to a short queue, as they would never be sent otherwise.
 */
function computeUrgentQueueMs(
  { urgentObjectiveMs, hasOthersElsewhere }: ICompetition,
  objectiveMs: number,
  serviceMs: number,
): number {
  if (urgentObjectiveMs === undefined && !hasOthersElsewhere) {
    return Number.POSITIVE_INFINITY;
  }
  const limitMs =
    (urgentObjectiveMs ?? objectiveMs) * (hasOthersElsewhere ? OTHERS_URGENT_FACTOR : 1);
  return Math.max(limitMs * URGENT_WAIT_FACTOR - serviceMs, limitMs * ON_TIME_WAIT_FACTOR);
}

/** Factor by which more urgent requests that arrive meanwhile delay a request in the queue of an engine. */
function computeStretch({ urgentRate, throughput }: ICompetition): number {
  const share = throughput > 0 ? Math.min(MAX_URGENT_SHARE, urgentRate / throughput) : 0;
  return 1 / (1 - share);
}

function estimateLateWaitMs({ throughput, arrivalRate }: ICompetition, tokens: number): number {
  const rate = Math.max(throughput - arrivalRate, throughput * LATE_THROUGHPUT);
  return rate > 0 ? tokens / rate : 0;
}

function refuse(
  request: IAdmissionRequest,
  reason: RefuseReason,
  competition: ICompetition,
  now: number,
): AdmissionDecision {
  return { kind: 'refuse', reason, retryAfterMs: computeRetryAfter(request, competition, now) };
}
