/** Second stage of the request pipeline: finds the caller's key and the client account that owns it. */
import type { IncomingHttpHeaders } from 'node:http';
import { parseCallerKey, verifyCallerKey } from '../common/CallerKeys.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import type { ClientAccount } from '../gen/redwingwharf/v1/state_pb.js';
import type { ConfigurationIndex } from './ConfigurationIndex.js';
import { createRefusal, type IHttpFailure } from './Failures.js';
import { mayContainKey } from './KeyFilter.js';

const KEY_COOKIE = 'rww_key';
const KEY_QUERY_PARAMETER = 'api_key';

const FRESHNESS_RETRY_AFTER_MS = 1_000;

/** An authenticated caller: the client account and the id of the key that it used. */
export interface ICaller {
  readonly account: ClientAccount;
  readonly keyId: string;
}

/**
 * Authenticates a request by its key. Keys are accepted in `Authorization: Bearer`, `x-api-key`, the
 * cookie `rww_key` and the query parameter `api_key`. Refuses requests with several different keys, and
 * all keyed requests while the copy of the configuration may miss a withdrawn key.
 */
export function authenticate(
  headers: IncomingHttpHeaders,
  query: URLSearchParams,
  configuration: ConfigurationIndex,
  feed: IFeed,
  now: number,
): Result<ICaller, IHttpFailure> {
  const keyTexts = new Set(listKeys(headers, query));
  const [keyText] = keyTexts;
  if (keyText === undefined) {
    const message = 'Send your key in the header "Authorization: Bearer KEY".';
    return Err(createRefusal('key_missing', message));
  }
  if (keyTexts.size > 1) {
    return Err(createRefusal('key_ambiguous', 'The request carries different keys; send one.'));
  }
  if (!isFresh(feed, now)) {
    const message = 'This instance cannot confirm keys at the moment; try again.';
    return Err(createRefusal('freshness_unknown', message, FRESHNESS_RETRY_AFTER_MS));
  }
  return checkKey(keyText, configuration);
}

/** True while the key may be used. Also used to check the requests in progress. */
export function isKeyValid(caller: ICaller, configuration: ConfigurationIndex): boolean {
  const record = configuration.getKey(caller.keyId);
  return (
    record?.withdrawn === false &&
    record.clientAccount === caller.account.id &&
    configuration.getAccount(caller.account.id) !== undefined
  );
}

/** Returns the caller if its client account may use the service, otherwise a refusal. */
export function authorise(caller: ICaller, service: string): Result<ICaller, IHttpFailure> {
  if (caller.account.services.includes(service)) {
    return Ok(caller);
  }
  const message = `Your client account may not use the service "${service}"; ask the operator.`;
  return Err(createRefusal('service_not_allowed', message));
}

/** Path and query without the parameter `api_key` and without parameters that may contain a key. */
export function stripKeyFromQuery(url: URL): string {
  const parameters = [...url.searchParams].filter(
    ([name, value]) => name !== KEY_QUERY_PARAMETER && !mayContainKey(`${name}=${value}`),
  );
  const query = new URLSearchParams(parameters);
  const text = query.toString();
  return text === '' ? url.pathname : `${url.pathname}?${text}`;
}

function checkKey(
  keyText: string,
  configuration: ConfigurationIndex,
): Result<ICaller, IHttpFailure> {
  const key = parseCallerKey(keyText);
  const record = key === undefined ? undefined : configuration.getKey(key.keyId);
  const isValid = verifyCallerKey(record, key?.secret ?? '');
  const account = configuration.getAccount(record?.clientAccount ?? '');
  if (!isValid || key === undefined || account === undefined) {
    const message = 'The key is unknown or withdrawn; ask the operator for a new one.';
    return Err(createRefusal('key_invalid', message));
  }
  return Ok({ account, keyId: key.keyId });
}

/** Lists what the request sends as keys, valid or not, in all the accepted places. */
export function listKeys(headers: IncomingHttpHeaders, query: URLSearchParams): string[] {
  const bearer = /^Bearer\s+(\S+)\s*$/i.exec(headers.authorization ?? '')?.[1];
  const header = headers['x-api-key'];
  const keys = [
    bearer,
    typeof header === 'string' ? header.trim() : undefined,
    findKeyCookie(headers.cookie ?? ''),
    ...query.getAll(KEY_QUERY_PARAMETER),
  ];
  return keys.filter((key): key is string => key !== undefined && key !== '');
}

function findKeyCookie(cookies: string): string | undefined {
  const cookie = cookies
    .split(';')
    .map((part) => part.trim())
    .find((part) => part.startsWith(`${KEY_COOKIE}=`));
  return cookie?.slice(KEY_COOKIE.length + 1);
}
