/** Guards against requests of isolated client accounts that use cached prompt parts of others, or whose parts others use. */
import { describe, expect, it } from 'vitest';
import type { IRoute } from '../fleet/Types.js';
import {
  answerOk,
  breakStream,
  refuseBusy,
  refuseConnection,
  resetAfterSend,
  resumeStream,
  runCall,
  type ISetup,
  type TargetScript,
} from './Fixtures.js';

const SAFE: Partial<IRoute> = { kind: 'safe', isResumable: false, maxAttempts: 3 };

/** Ways of a request to a target. */
const WAYS: readonly {
  readonly way: string;
  readonly scripts: TargetScript[];
  readonly route?: Partial<IRoute>;
}[] = [
  { way: 'first try', scripts: [answerOk] },
  { way: 'after a refusal', scripts: [refuseBusy, answerOk] },
  { way: 'after an unreachable target', scripts: [refuseConnection, answerOk] },
  { way: 'after a failure', scripts: [resetAfterSend, answerOk], route: SAFE },
  { way: 'resumption', scripts: [breakStream, resumeStream] },
];

/** Reasons why the weights version of a target is not known. */
const UNKNOWN: readonly { readonly why: string; readonly setup: ISetup }[] = [
  { why: 'the target announced another model', setup: { call: { model: 'other' } } },
  { why: 'the request names no model', setup: { call: { model: undefined } } },
];

async function listScopes(scripts: TargetScript[], setup: ISetup): Promise<(string | undefined)[]> {
  const { sink, targets } = await runCall([...scripts], setup);
  expect(sink.status).toBe(200);
  return targets.sent.map(({ dispatch }) => dispatch.cacheScope);
}

describe('the scope of cached prompt parts', () => {
  const cases = WAYS.flatMap((item) => UNKNOWN.map(({ why, setup }) => ({ ...item, why, setup })));

  it.each(cases)('is shared with no request if $why: $way', async ({ scripts, route, setup }) => {
    const routed = route === undefined ? setup : { ...setup, route };
    const scopes = [
      ...(await listScopes(scripts, routed)),
      ...(await listScopes(scripts, routed)),
      '1/pag',
      '0/pag',
      '1/',
    ];
    expect(scopes).not.toContain(undefined);
    expect(new Set(scopes).size).toBe(scopes.length);
  });

  it.each(WAYS)('names the account and the weights: $way', async ({ scripts, route }) => {
    const scopes = await listScopes(scripts, route === undefined ? {} : { route });
    expect(new Set(scopes)).toEqual(new Set(['1/pag']));
  });

  it('is not sent to plain services', async () => {
    const shares = [{ service: 'orders', weight: 1 }];
    const setup = { service: 'orders', route: { shares }, call: { model: undefined } };
    expect(await listScopes([answerOk], setup)).toEqual([undefined]);
  });
});
