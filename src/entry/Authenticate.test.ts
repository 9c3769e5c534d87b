import { create, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { createCallerKey } from '../common/CallerKeys.js';
import { FeedCopy } from '../feed/FeedCopy.js';
import { FRESHNESS_LIMIT_MS } from '../feed/Freshness.js';
import { SyncResponseSchema } from '../gen/redwingwharf/v1/control_pb.js';
import {
  CallerKeySchema,
  ClientAccountSchema,
  ItemSchema,
} from '../gen/redwingwharf/v1/state_pb.js';
import { authenticate, stripKeyFromQuery } from './Authenticate.js';
import { ConfigurationIndex } from './ConfigurationIndex.js';

const KEY = createCallerKey('pag');

function createConfiguration(withdrawn: boolean): {
  feed: FeedCopy;
  configuration: ConfigurationIndex;
} {
  const feed = new FeedCopy();
  const configuration = new ConfigurationIndex(feed);
  const account = create(ClientAccountSchema, { id: 'pag', services: ['lace'] });
  const record = { ...KEY.record, withdrawn };
  const items = [
    { key: 'clientAccount/pag', value: toBinary(ClientAccountSchema, account) },
    { key: `key/${record.keyId}`, value: toBinary(CallerKeySchema, record) },
  ].map((item) => create(ItemSchema, { ...item, revision: 1n }));
  const response = create(SyncResponseSchema, { revision: 1n, items, full: true, ageMs: 0 });
  feed.applyResponse(response, 0);
  return { feed, configuration };
}

function authenticateWith(
  headers: Record<string, string>,
  query = '',
  now = 0,
  withdrawn = false,
): string {
  const { feed, configuration } = createConfiguration(withdrawn);
  const result = authenticate(headers, new URLSearchParams(query), configuration, feed, now);
  return result.ok ? result.val.account.id : result.val.code;
}

describe('authenticate', () => {
  it.each([
    ['bearer', { authorization: `Bearer ${KEY.text}` }, ''],
    ['header', { 'x-api-key': KEY.text }, ''],
    ['cookie', { cookie: `a=b; rww_key=${KEY.text}` }, ''],
    ['query', {}, `api_key=${KEY.text}`],
  ])('accepts the key as %s', (_form, headers, query) => {
    expect(authenticateWith(headers as Record<string, string>, query)).toBe('pag');
  });

  it('refuses a withdrawn key', () => {
    expect(authenticateWith({ 'x-api-key': KEY.text }, '', 0, true)).toBe('key_invalid');
  });

  it('refuses a key with a wrong secret', () => {
    const other = createCallerKey('pag').text.split('_')[2] ?? '';
    const key = `rww_${KEY.record.keyId}_${other}`;
    expect(authenticateWith({ 'x-api-key': key })).toBe('key_invalid');
  });

  it('refuses a request with two different keys', () => {
    const headers = { 'x-api-key': KEY.text, authorization: 'Bearer other' };
    expect(authenticateWith(headers)).toBe('key_ambiguous');
  });

  it('refuses all keys as soon as the copy of the configuration may miss a withdrawn key', () => {
    const headers = { 'x-api-key': KEY.text };
    expect(authenticateWith(headers, '', FRESHNESS_LIMIT_MS - 1)).toBe('pag');
    expect(authenticateWith(headers, '', FRESHNESS_LIMIT_MS)).toBe('freshness_unknown');
  });
});

describe('stripKeyFromQuery', () => {
  it('removes the key from the query that is forwarded to a target', () => {
    const url = new URL(`http://x/stock?api_key=${KEY.text}&row=3`);
    expect(stripKeyFromQuery(url)).toBe('/stock?row=3');
  });
});
