/** Guards against records that make requests fail, that displace sound targets, or that take memory in all processes. */
import { describe, expect, it } from 'vitest';
import { buildTarget } from './Fixtures.js';
import { checkTarget } from './TargetCheck.js';

const MODEL = { name: 'm', version: 1n };

describe('checkTarget', () => {
  it.each([
    ['', {}],
    [' without models', { models: [] }],
    [' without a start time', { born: 0 }],
    [' with names of other scripts', { service: 'kožara 革', dataCentre: '\u{1f9f5}' }],
    [' without a software version, as those of an older build', { softwareVersion: '' }],
    [' with the longest software version', { softwareVersion: 'v'.repeat(200) }],
    [' with the names of inherited properties', { service: '__proto__', id: 'constructor' }],
  ])('accepts a target%s', (_name, changes) => {
    expect(checkTarget(buildTarget(changes))).toBeUndefined();
  });

  it.each([
    ['without an id', { id: '' }],
    ['with a line break in its id, which no header can contain', { id: 'i-1\r\nx: y' }],
    ['with an id of characters that no header can contain', { id: '\u{1f9f5}' }],
    ['with an overlong id', { id: 'i'.repeat(257) }],
    ['with an overlong service', { service: 's'.repeat(257) }],
    ['with an overlong data centre', { dataCentre: 'z'.repeat(257) }],
    ['with an overlong model', { models: [{ name: 'm'.repeat(257), version: 1n }] }],
    ['with a lone surrogate, which another process reads as another name', { service: '\ud800' }],
    ['with a control character in a name', { dataCentre: 'zg\u0000a' }],
    ['with an overlong software version', { softwareVersion: 'v'.repeat(201) }],
    [
      'with a software version that another process reads as another',
      { softwareVersion: '\udc00' },
    ],
    ['with a control character in its software version', { softwareVersion: 'v1\n' }],
    ['with more models than an engine has', { models: Array.from({ length: 257 }, () => MODEL) }],
    ['that starts so late that no true start displaces it', { born: Number.MAX_SAFE_INTEGER }],
    ['that starts at an infinite time', { born: Number.POSITIVE_INFINITY }],
    ['that starts at no time', { born: Number.NaN }],
    ['that starts before all time', { born: -1 }],
    ['that starts at a fraction of a millisecond', { born: 1.5 }],
    ['with a port out of range', { address: '10.1.0.1:65536' }],
    ['with an octet out of range', { address: '10.1.0.256:80' }],
    ['with two ports', { address: '10.1.0.1:80:80' }],
    ['with a name as its address', { address: 'engine-1:80' }],
    ['with a path behind its address', { address: '10.1.0.1:80/x' }],
    ['without an address', { address: '' }],
  ])('rejects a target %s', (_name, changes) => {
    expect(checkTarget(buildTarget(changes))).toEqual(expect.any(String));
  });
});
