/** Finds the route and the client account of a request in one configuration. */
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

  public getService(name: string): IService | undefined {
    return this._services.get(name);
  }
}

/** Hosts are compared without port and letter case. */
function normaliseHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
