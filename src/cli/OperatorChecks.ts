/** Consistency checks across the entries of all operator files, which the schema of one file cannot express. */
import type {
  ClientAccountEntry,
  RouteEntry,
  ServiceEntry,
  WeightsEntry,
} from '../gen/operator.js';

/** Paths that the entry serves for model services; plain services cannot use them. */
const RESERVED_PATHS = ['/v1/chat/completions', '/v1/completions', '/v1/models'];

/** Paths of characters that need no percent-encoding, so that each path has only one spelling. */
const PATH_PATTERN = /^\/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$/;

/** An entry with the file and the JSON pointer at which it is declared. */
export interface IDeclaredEntry<T> {
  readonly file: string;
  readonly pointer: string;
  readonly value: T;
}

/** The entries of all operator files. */
export interface IDeclarations {
  readonly services: readonly IDeclaredEntry<ServiceEntry>[];
  readonly clientAccounts: readonly IDeclaredEntry<ClientAccountEntry>[];
  readonly weights: readonly IDeclaredEntry<WeightsEntry>[];
}

/** Receives each problem. `suffix` is the JSON pointer of the wrong value, relative to the entry. */
export type ReportEntryProblem = (
  declared: IDeclaredEntry<unknown>,
  suffix: string,
  message: string,
  remedy: string,
) => void;

interface IDeclaredRoute {
  readonly service: IDeclaredEntry<ServiceEntry>;
  readonly suffix: string;
  readonly route: RouteEntry;
}

function describeLocation(declared: IDeclaredEntry<unknown>, suffix = ''): string {
  return `${declared.file} ${declared.pointer}${suffix}`;
}

/** Indexes entries by name and reports every entry whose name is already declared. */
function indexByName<T>(
  entries: readonly IDeclaredEntry<T>[],
  entryKind: string,
  getName: (value: T) => string,
  report: ReportEntryProblem,
): Map<string, IDeclaredEntry<T>> {
  const index = new Map<string, IDeclaredEntry<T>>();
  for (const entry of entries) {
    const name = getName(entry.value);
    const first = index.get(name);
    if (first === undefined) {
      index.set(name, entry);
    } else {
      const message = `${entryKind} "${name}" is declared twice, first at ${describeLocation(first)}`;
      report(entry, '', message, 'Keep one of the two.');
    }
  }
  return index;
}

function checkServiceKind(
  declared: IDeclaredEntry<ServiceEntry>,
  report: ReportEntryProblem,
): void {
  const { kind, models = [], routes = [] } = declared.value;
  if (kind === 'model' && models.length === 0) {
    report(declared, '', 'a model service needs "models"', 'List at least one model.');
  }
  if (kind === 'model' && routes.length > 0) {
    const remedy = 'Remove "routes"; callers reach models through /v1 paths.';
    report(declared, '/routes', 'a model service must not have "routes"', remedy);
  }
  if (kind === 'plain' && routes.length === 0) {
    report(declared, '', 'a plain service needs "routes"', 'Add at least one route.');
  }
  if (kind === 'plain' && models.length > 0) {
    const remedy = 'Remove "models", or set "kind" to "model".';
    report(declared, '/models', 'a plain service must not have "models"', remedy);
  }
}

function isWithin(path: string, prefix: string): boolean {
  return path === prefix || prefix === '/' || path.startsWith(`${prefix}/`);
}

/** Returns why a path could be spelt in more than one way, or undefined if it has only one spelling. */
function explainBadPath(path: string): string | undefined {
  if (path === '/') {
    return undefined;
  }
  if (!PATH_PATTERN.test(path)) {
    return 'the path has characters that callers may encode differently';
  }
  const segments = path.slice(1).split('/');
  if (segments.some((segment) => segment === '' || segment === '.' || segment === '..')) {
    return 'the path has an empty segment, "." or ".."';
  }
  return undefined;
}

function checkRoute({ service, suffix, route }: IDeclaredRoute, report: ReportEntryProblem): void {
  const reason = explainBadPath(route.path);
  if (reason !== undefined) {
    const remedy =
      'Write plain segments such as /orders/new, without a slash at the end or encoded characters.';
    report(service, `${suffix}/path`, reason, remedy);
  }
  const reserved = RESERVED_PATHS.find((prefix) => isWithin(route.path, prefix));
  if (reserved !== undefined) {
    const message = `${reserved} belongs to the model services`;
    report(service, `${suffix}/path`, message, 'Use another path.');
  }
  if (route.open === true && route.nonRepeatable === true) {
    // Claims are recorded for a client account, and a call to an open route has no client account.
    const message =
      'an open route cannot be non-repeatable, because calls without a key have no claim';
    report(service, suffix, message, 'Remove "open" or "nonRepeatable".');
  }
}

function listRoutes(services: readonly IDeclaredEntry<ServiceEntry>[]): IDeclaredRoute[] {
  return services.flatMap((service) =>
    (service.value.routes ?? []).map((route, index) => {
      return { service, suffix: `/routes/${index}`, route };
    }),
  );
}

function hasSharedMethod(left: RouteEntry, right: RouteEntry): boolean {
  const methods = left.methods ?? [];
  const others = right.methods ?? [];
  // A route that lists no methods accepts all methods.
  return (
    methods.length === 0 || others.length === 0 || methods.some((method) => others.includes(method))
  );
}

/** Every prefix of a path that ends at a segment boundary, from `/` up to the path itself. */
function listPrefixes(path: string): string[] {
  const segments = path.split('/').filter((segment) => segment !== '');
  return ['/', ...segments.map((_segment, index) => `/${segments.slice(0, index + 1).join('/')}`)];
}

function isConflict(declaredRoute: IDeclaredRoute, otherRoute: IDeclaredRoute): boolean {
  if (declaredRoute === otherRoute) {
    return false;
  }
  if (declaredRoute.service !== otherRoute.service) {
    return true;
  }
  // Within a service the longest matching path is used, so only equal paths conflict.
  return (
    declaredRoute.route.path === otherRoute.route.path &&
    hasSharedMethod(declaredRoute.route, otherRoute.route)
  );
}

function checkOverlaps(routes: readonly IDeclaredRoute[], report: ReportEntryProblem): void {
  const byPath = new Map<string, IDeclaredRoute[]>();
  for (const declaredRoute of routes) {
    const routesAtPath = byPath.get(declaredRoute.route.path);
    if (routesAtPath === undefined) {
      byPath.set(declaredRoute.route.path, [declaredRoute]);
    } else {
      routesAtPath.push(declaredRoute);
    }
  }
  for (const declaredRoute of routes) {
    const candidates = listPrefixes(declaredRoute.route.path).flatMap(
      (path) => byPath.get(path) ?? [],
    );
    const conflictingRoute = candidates.find((candidate) => isConflict(declaredRoute, candidate));
    if (conflictingRoute !== undefined) {
      const location = describeLocation(conflictingRoute.service, conflictingRoute.suffix);
      const message = `${declaredRoute.route.path} overlaps ${conflictingRoute.route.path} of service "${conflictingRoute.service.value.name}" at ${location}`;
      report(
        declaredRoute.service,
        `${declaredRoute.suffix}/path`,
        message,
        'Give one of them another path.',
      );
    }
  }
}

function indexModels(
  services: readonly IDeclaredEntry<ServiceEntry>[],
  report: ReportEntryProblem,
): Map<string, IDeclaredEntry<unknown>> {
  const index = new Map<string, IDeclaredEntry<unknown>>();
  for (const service of services) {
    for (const [position, model] of (service.value.models ?? []).entries()) {
      const first = index.get(model);
      if (first === undefined) {
        index.set(model, service);
        continue;
      }
      const message = `model "${model}" is also served at ${describeLocation(first)}`;
      const remedy = 'Keep it in one service; a request names only the model.';
      report(service, `/models/${position}`, message, remedy);
    }
  }
  return index;
}

function checkAccount(
  account: IDeclaredEntry<ClientAccountEntry>,
  services: ReadonlyMap<string, IDeclaredEntry<ServiceEntry>>,
  report: ReportEntryProblem,
): void {
  for (const [index, name] of account.value.services.entries()) {
    const service = services.get(name)?.value;
    if (service === undefined) {
      const remedy =
        'Correct the name, or give the folder of the service that declares it as well.';
      report(account, `/services/${index}`, `no file declares service "${name}"`, remedy);
      continue;
    }
    const outputTokens = service.kind === 'model' ? (service.defaultOutputTokens ?? 0) : 0;
    if (account.value.burstTokens <= outputTokens) {
      const message = `burstTokens does not cover one request to "${name}", which reserves ${outputTokens} output tokens by default`;
      const remedy = `Raise burstTokens above ${outputTokens}, or lower defaultOutputTokens of the service.`;
      report(account, '/burstTokens', message, remedy);
    }
  }
}

/** Reports every inconsistency between entries; each entry must already satisfy the schema. */
export function checkDeclarations(declarations: IDeclarations, report: ReportEntryProblem): void {
  const { services, clientAccounts, weights } = declarations;
  const serviceIndex = indexByName(services, 'service', (value) => value.name, report);
  indexByName(clientAccounts, 'client account', (value) => value.id, report);
  indexByName(weights, 'weights of model', (value) => value.model, report);
  const models = indexModels(services, report);
  const routes = listRoutes(services);
  for (const service of services) {
    checkServiceKind(service, report);
  }
  for (const declaredRoute of routes) {
    checkRoute(declaredRoute, report);
  }
  checkOverlaps(routes, report);
  for (const account of clientAccounts) {
    checkAccount(account, serviceIndex, report);
  }
  for (const entry of weights) {
    if (!models.has(entry.value.model)) {
      const message = `no service serves model "${entry.value.model}"`;
      const remedy = 'Correct the name, or add it to the "models" of a service.';
      report(entry, '/model', message, remedy);
    }
  }
}
