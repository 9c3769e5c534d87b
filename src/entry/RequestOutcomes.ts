/** Functions that the flows share: they describe failures, and log and count the outcomes of requests. */
import { createFailure, type IHttpFailure } from './Failures.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/**
 * Failure of a request that was ended early because its key was withdrawn or its deadline passed.
 * Undefined if it was not ended, or if the caller disconnected and nobody is left to answer.
 */
export function describeEndReason(context: IRequestContext): IHttpFailure | undefined {
  switch (context.open.endReason) {
    case 'key_withdrawn':
      return createFailure('key_withdrawn', 'The key was withdrawn; ask for a new one.', 'unknown');
    case 'deadline_exceeded':
      return createFailure(
        'deadline_exceeded',
        'The time limit of the service has passed.',
        'unknown',
      );
    case 'client_gone':
    case undefined:
      return undefined;
  }
}

/**
 * Failure of a request that ended before it was dispatched: the reason of its early end if there is one,
 * otherwise the given failure.
 */
export function describeNotRun(context: IRequestContext, failure: IHttpFailure): IHttpFailure {
  const end = describeEndReason(context);
  return end === undefined ? failure : { ...end, ran: 'no' };
}

/** Logs and counts a refused request. */
export function recordRefusal(
  services: IFlowServices,
  context: IRequestContext,
  failure: IHttpFailure,
): void {
  services.metrics.increment('refusals_total', { code: failure.code });
  services.decisions.record(context.requestId, 'refused', {
    clientAccount: context.caller?.account.id,
    service: context.service.name,
    code: failure.code,
    ran: failure.ran,
  });
}

/** Logs an answered plain call and records its metrics. */
export function recordPlainEnd(
  services: IFlowServices,
  context: IRequestContext,
  fields: Readonly<Record<string, unknown>>,
): void {
  const durationMs = services.clock.now() - context.startedAt;
  services.metrics.observe('request_ms', durationMs, { service: context.service.name });
  services.metrics.increment('requests_total', {
    service: context.service.name,
    result: 'complete',
  });
  services.decisions.record(context.requestId, 'finished', {
    ...fields,
    durationMs: Math.round(durationMs),
  });
}
