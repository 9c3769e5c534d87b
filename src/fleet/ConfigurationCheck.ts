/** Checks a configuration for rules that its schema can't express. */
import type { IClientAccount, IFleetConfiguration, IRoute } from './Types.js';

/**
 * Describes the first rule that the configuration breaks; undefined if it is valid.
 *
 * @example
 * const problem = checkConfiguration(configuration);
 * if (problem !== undefined) respond(400, problem);
 */
export function checkConfiguration(configuration: IFleetConfiguration): string | undefined {
  if (!Number.isSafeInteger(configuration.version) || configuration.version < 0) {
    return `version ${configuration.version} is not a whole number`;
  }
  const services = new Set(configuration.services.map((service) => service.name));
  return (
    findRouteProblem(configuration.routes, services) ??
    findSharedKey(configuration.clientAccounts ?? [])
  );
}

function findRouteProblem(
  routes: readonly IRoute[],
  services: ReadonlySet<string>,
): string | undefined {
  const routeKeys = new Set<string>();
  for (const route of routes) {
    const problem = checkRoute(route, services);
    if (problem !== undefined) {
      return `route ${JSON.stringify(route.name)}: ${problem}`;
    }
    const routeKey = `${route.host} ${route.pathPrefix}`;
    if (routeKeys.has(routeKey)) {
      return `route ${JSON.stringify(route.name)}: another route has the same host and prefix`;
    }
    routeKeys.add(routeKey);
  }
  return undefined;
}

function checkRoute(route: IRoute, services: ReadonlySet<string>): string | undefined {
  const unknownShare = route.shares.find((share) => !services.has(share.service));
  if (unknownShare !== undefined) {
    return `service ${JSON.stringify(unknownShare.service)} does not exist`;
  }
  if (route.shares.some((share) => !(share.weight >= 0))) {
    return 'a weight is not a number of 0 or more';
  }
  if (!(route.shares.reduce((sum, share) => sum + share.weight, 0) > 0)) {
    return 'its weights add up to 0';
  }
  if (!(route.timeoutMs > 0)) {
    return 'its time limit is not above 0 ms';
  }
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    return `prefix ${JSON.stringify(route.pathPrefix)} does not begin and end with a slash`;
  }
  return undefined;
}

function findSharedKey(accounts: readonly IClientAccount[]): string | undefined {
  const owners = new Map<string, string>();
  for (const account of accounts) {
    for (const key of account.keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== account.name) {
        return `client accounts ${JSON.stringify(owner)} and ${JSON.stringify(account.name)} share a key`;
      }
      owners.set(key, account.name);
    }
  }
  return undefined;
}
