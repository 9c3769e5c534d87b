/** Index of the decoded configuration items, updated by the feed. */
import { fromBinary } from '@bufbuild/protobuf';
import type { IDisposable } from '../common/Lifecycle.js';
import type { IFeed } from '../feed/Types.js';
import {
  CallerKeySchema,
  ClientAccountSchema,
  ServiceKind,
  ServiceSchema,
  type CallerKey,
  type ClientAccount,
  type Item,
  type Route,
  type Service,
} from '../gen/redwingwharf/v1/state_pb.js';

/** A route that matches a path, with its service. */
export interface IRouteMatch {
  readonly service: Service;
  readonly route: Route;
}

/**
 * Holds the services, client accounts and keys of the configuration in decoded form, and looks them up.
 *
 * @example
 * const configuration = new ConfigurationIndex(feed);
 * configuration.findRoute('/orders/17');
 */
export class ConfigurationIndex implements IDisposable {
  private readonly _services = new Map<string, Service>();
  private readonly _accounts = new Map<string, ClientAccount>();
  private readonly _keys = new Map<string, CallerKey>();
  private readonly _subscription: IDisposable;

  constructor(feed: IFeed) {
    this._subscription = feed.onChange((items) => {
      items.forEach((item) => {
        this._applyItem(item);
      });
    });
    feed.listItems('').forEach((item) => {
      this._applyItem(item);
    });
  }

  public dispose(): void {
    this._subscription.dispose();
  }

  public getKey(keyId: string): CallerKey | undefined {
    return this._keys.get(keyId);
  }

  public getAccount(id: string): ClientAccount | undefined {
    return this._accounts.get(id);
  }

  public listAccounts(): ClientAccount[] {
    return [...this._accounts.values()];
  }

  /** The service that offers a model; undefined if there is none. */
  public findModelService(model: string): Service | undefined {
    return [...this._services.values()].find(
      ({ kind, models }) => kind === ServiceKind.MODEL && models.includes(model),
    );
  }

  /** Names of the models that a client account may use. */
  public listModels(account: ClientAccount): string[] {
    return [...this._services.values()]
      .filter(({ kind, name }) => kind === ServiceKind.MODEL && account.services.includes(name))
      .flatMap(({ models }) => models);
  }

  /** The route with the longest path that is a prefix of `path`, by whole segments. */
  public findRoute(path: string): IRouteMatch | undefined {
    let best: IRouteMatch | undefined;
    for (const service of this._services.values()) {
      for (const route of service.routes) {
        const isLonger = best === undefined || route.path.length > best.route.path.length;
        if (isLonger && matchPath(route.path, path)) {
          best = { service, route };
        }
      }
    }
    return best;
  }

  private _applyItem(item: Item): void {
    const [prefix, id = ''] = splitKey(item.key);
    switch (prefix) {
      case 'service':
        updateMap(this._services, id, item, (value) => fromBinary(ServiceSchema, value));
        return;
      case 'clientAccount':
        updateMap(this._accounts, id, item, (value) => fromBinary(ClientAccountSchema, value));
        return;
      case 'key':
        updateMap(this._keys, id, item, (value) => fromBinary(CallerKeySchema, value));
        return;
      case undefined:
      default:
    }
  }
}

function splitKey(key: string): [string | undefined, string | undefined] {
  const slash = key.indexOf('/');
  return [key.slice(0, slash), key.slice(slash + 1)];
}

function updateMap<T>(
  map: Map<string, T>,
  id: string,
  item: Item,
  decode: (value: Uint8Array) => T,
): void {
  if (item.deleted) {
    map.delete(id);
  } else {
    map.set(id, decode(item.value));
  }
}

function matchPath(prefix: string, path: string): boolean {
  const base = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return path === base || path.startsWith(`${base}/`) || path === prefix;
}
