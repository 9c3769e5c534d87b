/** Second stage: finds the caller's key and the client account that it belongs to. */
import type { IncomingHttpHeaders } from 'node:http';
import { parseCallerKey, verifyCallerKey } from '../common/CallerKeys.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { isFresh } from '../feed/Freshness.js';
import type { IFeed } from '../feed/Types.js';
import type { ClientAccount } from '../gen/redwingwharf/v1/state_pb.js';
import type { Directory } from './Directory.js';
import { refuse, type IHttpFailure } from './Failures.js';
import { hasKeyForm } from './KeyFilter.js';

const KEY_COOKIE = 'rww_key';
const KEY_QUERY_PARAMETER = 'api_key';

const RETRY_FRESHNESS_MS = 1_000;

/** The caller of an authenticated request. */
export interface ICaller {
  readonly account: ClientAccount;
  readonly keyId: string;
}

/**
 * Checks the key of a request for a service. Keys are accepted in `Authorization: Bearer`, `x-api-key`,
 * the cookie `rww_key` and the query parameter `api_key`.
 */
export function authenticate(
  headers: IncomingHttpHeaders,
  query: URLSearchParams,
  directory: Directory,
  feed: IFeed,
  now: number,
): Result<ICaller, IHttpFailure> {
  const texts = new Set(listKeys(headers, query));
  const [text] = texts;
  if (text === undefined) {
    const message = 'Send your key in the header "Authorization: Bearer KEY".';
    return Err(refuse('key_missing', message));
  }
  if (texts.size > 1) {
    return Err(refuse('key_ambiguous', 'The request carries different keys; send one.'));
  }
  if (!isFresh(feed, now)) {
    const message = 'This instance cannot confirm keys at the moment; try again.';
    return Err(refuse('freshness_unknown', message, RETRY_FRESHNESS_MS));
  }
  return checkKey(text, directory);
}

/** True while the key may be used; open streams are checked with it. */
export function isKeyValid(caller: ICaller, directory: Directory): boolean {
  const record = directory.getKey(caller.keyId);
  return (
    record?.withdrawn === false &&
    record.clientAccount === caller.account.id &&
    directory.getAccount(caller.account.id) !== undefined
  );
}

/** Refuses a client account that may not use a service. */
export function authorise(caller: ICaller, service: string): Result<ICaller, IHttpFailure> {
  if (caller.account.services.includes(service)) {
    return Ok(caller);
  }
  const message = `Your client account may not use the service "${service}"; ask the operator.`;
  return Err(refuse('service_not_allowed', message));
}

/** Removes the query parameter for keys and any other one that holds something in the form of a key. */
export function stripKeyFromQuery(url: URL): string {
  const parameters = [...url.searchParams].filter(
    ([name, value]) => name !== KEY_QUERY_PARAMETER && !hasKeyForm(`${name}=${value}`),
  );
  const query = new URLSearchParams(parameters);
  const text = query.toString();
  return text === '' ? url.pathname : `${url.pathname}?${text}`;
}

function checkKey(text: string, directory: Directory): Result<ICaller, IHttpFailure> {
  const key = parseCallerKey(text);
  const record = key === undefined ? undefined : directory.getKey(key.keyId);
  const isValid = verifyCallerKey(record, key?.secret ?? '');
  const account = directory.getAccount(record?.clientAccount ?? '');
  if (!isValid || key === undefined || account === undefined) {
    const message = 'The key is unknown or withdrawn; ask the operator for a new one.';
    return Err(refuse('key_invalid', message));
  }
  return Ok({ account, keyId: key.keyId });
}

/** Texts that the request gives as keys, valid or not. */
export function listKeys(headers: IncomingHttpHeaders, query: URLSearchParams): string[] {
  const bearer = /^Bearer\s+(\S+)\s*$/i.exec(headers.authorization ?? '')?.[1];
  const header = headers['x-api-key'];
  const keys = [
    bearer,
    typeof header === 'string' ? header.trim() : undefined,
    findCookie(headers.cookie ?? ''),
    ...query.getAll(KEY_QUERY_PARAMETER),
  ];
  return keys.filter((key): key is string => key !== undefined && key !== '');
}

function findCookie(cookies: string): string | undefined {
  const cookie = cookies
    .split(';')
    .map((part) => part.trim())
    .find((part) => part.startsWith(`${KEY_COOKIE}=`));
  return cookie?.slice(KEY_COOKIE.length + 1);
}
