/** Guards against putting a configuration in force that contradicts itself. */
import { describe, expect, it } from 'vitest';
import { checkConfiguration } from './ConfigurationCheck.js';
import { buildAccount, buildConfiguration, buildRoute } from './Fixtures.js';

describe('checkConfiguration', () => {
  it('accepts a valid configuration', () => {
    expect(checkConfiguration(buildConfiguration())).toBeUndefined();
  });

  it.each([
    ['unknown service', { shares: [{ service: 'nowhere', weight: 1 }] }, /does not exist/],
    ['weights of 0', { shares: [{ service: 'lace', weight: 0 }] }, /add up to 0/],
    ['negative weight', { shares: [{ service: 'lace', weight: -1 }] }, /0 or more/],
    ['time limit of 0', { timeoutMs: 0 }, /time limit/],
    ['prefix without slash', { pathPrefix: '/orders' }, /slash/],
  ])('refuses a route with %s', (_name, changes, message) => {
    const configuration = buildConfiguration({ routes: [buildRoute(changes)] });
    expect(checkConfiguration(configuration)).toMatch(message);
  });

  it('refuses two routes with the same host and prefix', () => {
    const routes = [buildRoute({ name: 'a' }), buildRoute({ name: 'b' })];
    expect(checkConfiguration(buildConfiguration({ routes }))).toMatch(/same host and prefix/);
  });

  it('refuses a key that two client accounts share', () => {
    const clientAccounts = [
      buildAccount({ name: 'pag', keys: ['k1'] }),
      buildAccount({ name: 'hvar', keys: ['k2', 'k1'] }),
    ];
    expect(checkConfiguration(buildConfiguration({ clientAccounts }))).toMatch(/share a key/);
  });
});
