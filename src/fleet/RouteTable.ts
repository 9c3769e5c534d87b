/** Finds the route and the client account of a request in one configuration. */
import { digestSha256, encodeHex } from '../common/Hashes.js';
import type { IClientAccount, IFleetConfiguration, IRoute, IService } from './Types.js';

/**
 * Index over one configuration; immutable, so a new configuration gets a new table.
 *
 * @example
 * const table = new RouteTable(configuration);
 * const route = table.findRoute('desk.example', '/orders/7');
 */
export class RouteTable {
  public readonly version: number;
  /** Routes of each host, longest prefix first. */
  private readonly _routes = new Map<string, IRoute[]>();
  private readonly _accounts = new Map<string, IClientAccount>();
  private readonly _services: ReadonlyMap<string, IService>;
  /** Names of the client accounts that share cached prompt parts. */
  private readonly _sharingAccounts: ReadonlySet<string>;
  /** Their isolation key. */
  private readonly _sharedKey: string | undefined;

  constructor(public readonly configuration: IFleetConfiguration) {
    this.version = configuration.version;
    for (const route of configuration.routes) {
      const host = normaliseHost(route.host);
      const routes = this._routes.get(host) ?? [];
      routes.push(route);
      this._routes.set(host, routes);
    }
    for (const routes of this._routes.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    for (const account of configuration.clientAccounts ?? []) {
      for (const key of account.keys) {
        this._accounts.set(key, account);
      }
    }
    const accounts = configuration.clientAccounts ?? [];
    const listNames = (isIsolated: boolean): string[] =>
      accounts.filter((account) => account.isIsolated === isIsolated).map(({ name }) => name);
    this._sharingAccounts = new Set(listNames(false));
    this._sharedKey = formatSharedKey(listNames(true));
    this._services = new Map(configuration.services.map((service) => [service.name, service]));
  }

  /** The host's route with the longest path prefix that matches; undefined if none matches. */
  public findRoute(host: string, path: string): IRoute | undefined {
    const routes = this._routes.get(normaliseHost(host));
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** True if requests on non-public routes need a key. */
  public get needsKeys(): boolean {
    return this.configuration.clientAccounts !== undefined;
  }

  public findAccount(key: string): IClientAccount | undefined {
    return this._accounts.get(key);
  }

  /**
   * Key under which prompt parts are cached: requests with different keys share none. The key of the accounts that are not
   * isolated changes with the set of those that are, so that it leads to no part that one of these has made before.
   *
   * @param account name of the client account; undefined for a request without one. One that the configuration does not have
   *   counts as isolated.
   *
   * @example
   * const scope = `${weightsVersion}/${table.getIsolationKey('pag') ?? ''}`;
   */
  public getIsolationKey(account: string | undefined): string | undefined {
    return account === undefined || this._sharingAccounts.has(account)
      ? this._sharedKey
      : formatIsolatedKey(account);
  }

  public getService(name: string): IService | undefined {
    return this._services.get(name);
  }
}

/** Names that a header can carry; the keys of others contain a digest. */
const PLAIN_NAME = /^[\w.-]+$/;

const KEY_DIGEST_CHARACTERS = 16;

function formatIsolatedKey(name: string): string {
  return PLAIN_NAME.test(name) ? name : `#${formatDigest(name)}`;
}

/** Undefined without isolated accounts. */
function formatSharedKey(isolated: readonly string[]): string | undefined {
  return isolated.length === 0 ? undefined : `@${formatDigest([...new Set(isolated)].sort())}`;
}

function formatDigest(value: string | readonly string[]): string {
  return encodeHex(digestSha256(JSON.stringify(value))).slice(0, KEY_DIGEST_CHARACTERS);
}

/** Hosts are compared without port and letter case. */
function normaliseHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
