/** Log lines, metrics and failures that all flows share. */
import { fail, type IHttpFailure } from './Failures.js';
import type { IFlowServices, IRequestContext } from './Types.js';

/** Failure of a request whose key was withdrawn or whose time is up. */
export function describeEnd(context: IRequestContext): IHttpFailure | undefined {
  switch (context.open.endReason) {
    case 'key_withdrawn':
      return fail('key_withdrawn', 'The key was withdrawn; ask for a new one.', 'unknown');
    case 'deadline_exceeded':
      return fail('deadline_exceeded', 'The time limit of the service has passed.', 'unknown');
    case 'client_gone':
    case undefined:
      return undefined;
  }
}

/** Failure of a request that ended before it was dispatched; names the cause of the end, if it has one. */
export function describeNotRun(context: IRequestContext, failure: IHttpFailure): IHttpFailure {
  const end = describeEnd(context);
  return end === undefined ? failure : { ...end, ran: 'no' };
}

/** Log line and counter of a refused request. */
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

/** Log line and metrics of an answered plain call. */
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
