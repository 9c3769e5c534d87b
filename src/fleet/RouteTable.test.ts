/** Guards against requests that get another route or client account than the configuration defines. */
import { describe, expect, it } from 'vitest';
import { buildAccount, buildConfiguration, buildRoute } from './Fixtures.js';
import { RouteTable } from './RouteTable.js';

describe('RouteTable', () => {
  const table = new RouteTable(
    buildConfiguration({
      routes: [
        buildRoute({ name: 'all', pathPrefix: '/' }),
        buildRoute({ name: 'orders', pathPrefix: '/orders/' }),
        buildRoute({ name: 'old', pathPrefix: '/orders/old/' }),
        buildRoute({ name: 'other', host: 'other.example', pathPrefix: '/orders/' }),
      ],
      clientAccounts: [buildAccount({ name: 'pag', keys: ['k1', 'k2'] })],
    }),
  );

  it.each([
    ['/orders/old/7', 'old'],
    ['/orders/7', 'orders'],
    ['/orders', 'all'],
    ['/', 'all'],
  ])('selects the route with the longest prefix of %s', (path, name) => {
    expect(table.findRoute('Desk.Example:8080', path)?.name).toBe(name);
  });

  it('selects only routes of the host of the request', () => {
    expect(table.findRoute('other.example', '/orders/7')?.name).toBe('other');
    expect(table.findRoute('other.example', '/stock/7')).toBeUndefined();
  });

  it('finds a client account by each of its keys, and by no other key', () => {
    expect(table.findAccount('k2')?.name).toBe('pag');
    expect(table.findAccount('k3')).toBeUndefined();
  });
});
