/** Properties of a call that follow from the configuration: its service and its quota tokens. */
import type { RouteTable } from '../fleet/RouteTable.js';
import type { IClientAccount, IRoute, IService } from '../fleet/Types.js';
import { hashText } from '../policy/TargetTable.js';
import type { ICall } from './Types.js';

/** Quota tokens of a call; the account's default if the request states no token counts. */
export function countTokens(call: ICall, account: IClientAccount | undefined): number {
  return call.promptTokens === undefined && call.outputTokens === undefined
    ? (account?.defaultTokens ?? 0)
    : (call.promptTokens ?? 0) + (call.outputTokens ?? 0);
}

function getFirstServiceName(route: IRoute): string {
  return route.shares[0]?.service ?? '';
}

/** Splits the requests of a route by weight; the same request id always selects the same service. */
export function pickService(table: RouteTable, route: IRoute, requestId: string): IService {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let point = (hashText(requestId) / 2 ** 32) * total;
  let name = getFirstServiceName(route);
  for (const share of route.shares) {
    if (share.weight > 0) {
      name = share.service;
      if (point < share.weight) {
        break;
      }
    }
    point -= share.weight;
  }
  const service = table.getService(name);
  if (service === undefined) {
    throw new Error(
      `route "${route.name}" refers to service "${name}", which the configuration does not define`,
    );
  }
  return service;
}
