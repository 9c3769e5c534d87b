/** Checks between the entries of all operator files, which one file's schema cannot express. */
import type {
  ClientAccountEntry,
  RouteEntry,
  ServiceEntry,
  WeightsEntry,
} from '../gen/operator.js';

/** Paths that the entry answers itself. */
const RESERVED_PATHS = ['/v1/chat/completions', '/v1/completions', '/v1/models'];

/** Characters of a path that need no encoding, so that a path has one spelling only. */
const PATH_PATTERN = /^\/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$/;

/** An entry with the place that declares it. */
export interface IDeclared<T> {
  readonly file: string;
  readonly pointer: string;
  readonly value: T;
}

/** All entries of all files. */
export interface IDeclarations {
  readonly services: readonly IDeclared<ServiceEntry>[];
  readonly clientAccounts: readonly IDeclared<ClientAccountEntry>[];
  readonly weights: readonly IDeclared<WeightsEntry>[];
}

/** Receives each fault. `suffix` is the pointer below the entry. */
export type ReportDeclared = (
  declared: IDeclared<unknown>,
  suffix: string,
  message: string,
  remedy: string,
) => void;

interface IPlacedRoute {
  readonly service: IDeclared<ServiceEntry>;
  readonly suffix: string;
  readonly route: RouteEntry;
}

function describePlace(declared: IDeclared<unknown>, suffix = ''): string {
  return `${declared.file} ${declared.pointer}${suffix}`;
}

/** Indexes entries by name and reports a second entry under a name already taken. */
function indexByName<T>(
  entries: readonly IDeclared<T>[],
  what: string,
  getName: (value: T) => string,
  report: ReportDeclared,
): Map<string, IDeclared<T>> {
  const index = new Map<string, IDeclared<T>>();
  for (const entry of entries) {
    const name = getName(entry.value);
    const first = index.get(name);
    if (first === undefined) {
      index.set(name, entry);
    } else {
      const message = `${what} "${name}" is declared twice, first at ${describePlace(first)}`;
      report(entry, '', message, 'Keep one of the two.');
    }
  }
  return index;
}

function checkServiceKind(declared: IDeclared<ServiceEntry>, report: ReportDeclared): void {
  const { kind, models = [], routes = [] } = declared.value;
  if (kind === 'model' && models.length === 0) {
    report(declared, '', 'a model service needs "models"', 'List at least one model.');
  }
  if (kind === 'model' && routes.length > 0) {
    const remedy = 'Remove "routes"; callers reach models through /v1 paths.';
    report(declared, '/routes', 'a model service has no routes', remedy);
  }
  if (kind === 'plain' && routes.length === 0) {
    report(declared, '', 'a plain service needs "routes"', 'Add at least one route.');
  }
  if (kind === 'plain' && models.length > 0) {
    const remedy = 'Remove "models", or set "kind" to "model".';
    report(declared, '/models', 'a plain service has no models', remedy);
  }
}

function isWithin(path: string, prefix: string): boolean {
  return path === prefix || prefix === '/' || path.startsWith(`${prefix}/`);
}

/** Explains why a path has more than one spelling, if it has. */
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

function checkRoute({ service, suffix, route }: IPlacedRoute, report: ReportDeclared): void {
  const fault = explainBadPath(route.path);
  if (fault !== undefined) {
    const remedy =
      'Write plain segments such as /orders/new, without a slash at the end or encoded characters.';
    report(service, `${suffix}/path`, fault, remedy);
  }
  const reserved = RESERVED_PATHS.find((prefix) => isWithin(route.path, prefix));
  if (reserved !== undefined) {
    const message = `${reserved} belongs to the model services`;
    report(service, `${suffix}/path`, message, 'Use another path.');
  }
  if (route.open === true && route.nonRepeatable === true) {
    // A claim is recorded for a client account, and an open call has none.
    const message =
      'an open route cannot be non-repeatable, because calls without a key have no claim';
    report(service, suffix, message, 'Remove "open" or "nonRepeatable".');
  }
}

function listRoutes(services: readonly IDeclared<ServiceEntry>[]): IPlacedRoute[] {
  return services.flatMap((service) =>
    (service.value.routes ?? []).map((route, index) => {
      return { service, suffix: `/routes/${index}`, route };
    }),
  );
}

function hasSharedMethod(left: RouteEntry, right: RouteEntry): boolean {
  const methods = left.methods ?? [];
  const others = right.methods ?? [];
  // A route without methods takes all of them.
  return (
    methods.length === 0 || others.length === 0 || methods.some((method) => others.includes(method))
  );
}

/** The path and every prefix of it by whole segments. */
function listPrefixes(path: string): string[] {
  const segments = path.split('/').filter((segment) => segment !== '');
  return ['/', ...segments.map((_segment, index) => `/${segments.slice(0, index + 1).join('/')}`)];
}

function isConflict(placed: IPlacedRoute, other: IPlacedRoute): boolean {
  if (placed === other) {
    return false;
  }
  if (placed.service !== other.service) {
    return true;
  }
  // Within a service the longest path wins; only equal paths compete.
  return placed.route.path === other.route.path && hasSharedMethod(placed.route, other.route);
}

function checkOverlaps(routes: readonly IPlacedRoute[], report: ReportDeclared): void {
  const byPath = new Map<string, IPlacedRoute[]>();
  for (const placed of routes) {
    const known = byPath.get(placed.route.path);
    if (known === undefined) {
      byPath.set(placed.route.path, [placed]);
    } else {
      known.push(placed);
    }
  }
  for (const placed of routes) {
    const candidates = listPrefixes(placed.route.path).flatMap((path) => byPath.get(path) ?? []);
    const other = candidates.find((candidate) => isConflict(placed, candidate));
    if (other !== undefined) {
      const place = describePlace(other.service, other.suffix);
      const message = `${placed.route.path} overlaps ${other.route.path} of service "${other.service.value.name}" at ${place}`;
      report(placed.service, `${placed.suffix}/path`, message, 'Give one of them another path.');
    }
  }
}

function indexModels(
  services: readonly IDeclared<ServiceEntry>[],
  report: ReportDeclared,
): Map<string, IDeclared<unknown>> {
  const index = new Map<string, IDeclared<unknown>>();
  for (const service of services) {
    for (const [position, model] of (service.value.models ?? []).entries()) {
      const first = index.get(model);
      if (first === undefined) {
        index.set(model, service);
        continue;
      }
      const message = `model "${model}" is also served at ${describePlace(first)}`;
      const remedy = 'Keep it in one service; a request names only the model.';
      report(service, `/models/${position}`, message, remedy);
    }
  }
  return index;
}

function checkAccount(
  account: IDeclared<ClientAccountEntry>,
  services: ReadonlyMap<string, IDeclared<ServiceEntry>>,
  report: ReportDeclared,
): void {
  for (const [index, name] of account.value.services.entries()) {
    const service = services.get(name)?.value;
    if (service === undefined) {
      const remedy =
        'Correct the name, or give the folder of the service that declares it as well.';
      report(account, `/services/${index}`, `no file declares service "${name}"`, remedy);
      continue;
    }
    const output = service.kind === 'model' ? (service.defaultOutputTokens ?? 0) : 0;
    if (account.value.burstTokens <= output) {
      const message = `burstTokens does not cover one request to "${name}", which reserves ${output} output tokens by default`;
      const remedy = `Raise burstTokens above ${output}, or lower defaultOutputTokens of the service.`;
      report(account, '/burstTokens', message, remedy);
    }
  }
}

/** Reports every fault between entries that satisfy the schema. */
export function checkDeclarations(declarations: IDeclarations, report: ReportDeclared): void {
  const { services, clientAccounts, weights } = declarations;
  const serviceIndex = indexByName(services, 'service', (value) => value.name, report);
  indexByName(clientAccounts, 'client account', (value) => value.id, report);
  indexByName(weights, 'weights of model', (value) => value.model, report);
  const models = indexModels(services, report);
  const routes = listRoutes(services);
  for (const service of services) {
    checkServiceKind(service, report);
  }
  for (const placed of routes) {
    checkRoute(placed, report);
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
