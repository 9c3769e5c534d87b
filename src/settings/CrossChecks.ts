/** Checks between values of the settings that a schema cannot express. */
import { isIP } from 'node:net';
import { parseAddress } from '../common/Address.js';
import type { Settings } from '../gen/settings.js';
import type { ISchemaProblem } from './SchemaCheck.js';

const MAX_PORT = 65_535;
const WILDCARD_HOSTS = ['0.0.0.0', '::'];

type Report = (pointer: string, message: string, remedy: string) => void;

/** Explains what is wrong with an address, or undefined when it is usable. */
export function explainBadAddress(address: string): string | undefined {
  const { host, port } = parseAddress(address);
  if (isIP(host) === 0) {
    return `"${host}" is not an IP number`;
  }
  if (!Number.isInteger(port) || port < 1 || port > MAX_PORT) {
    return `port ${port} is outside 1 to ${MAX_PORT}`;
  }
  return undefined;
}

function checkAddress(address: string, pointer: string, report: Report): void {
  const fault = explainBadAddress(address);
  if (fault !== undefined) {
    report(pointer, fault, 'Write an IP number and a port, such as 10.0.0.5:7001.');
  }
}

function checkAddressList(addresses: readonly string[], pointer: string, report: Report): void {
  addresses.forEach((address, index) => {
    checkAddress(address, `${pointer}/${index}`, report);
    if (addresses.indexOf(address) < index) {
      report(`${pointer}/${index}`, `${address} is listed twice`, 'Remove one of the two.');
    }
  });
}

function checkRoles(settings: Settings, report: Report): void {
  if (!settings.entry && !settings.control && !settings.sidecar) {
    report('', 'no role is enabled', 'Add at least one of "entry", "control" and "sidecar".');
  }
  if (settings.sidecar && (settings.entry ?? settings.control)) {
    // "feed" names entries for a sidecar and control members for an entry; it cannot serve both.
    const remedy = 'Run the sidecar as a process of its own, with its own settings file.';
    report('/sidecar', 'a sidecar cannot share a process with an entry or control', remedy);
  }
}

function checkInternal(settings: Settings, report: Report): void {
  checkAddress(settings.internal, '/internal', report);
  if (WILDCARD_HOSTS.includes(parseAddress(settings.internal).host)) {
    const remedy = 'Write the IP number by which other processes reach this one.';
    report('/internal', 'a wildcard address cannot be given to other processes', remedy);
  }
}

function checkFeed(settings: Settings, report: Report): void {
  const feed: readonly string[] = settings.feed ?? [];
  checkAddressList(feed, '/feed', report);
  const own = feed.indexOf(settings.internal);
  if (own >= 0) {
    const remedy = 'Remove it; list only other processes.';
    report(`/feed/${own}`, 'a process cannot copy the configuration from itself', remedy);
  }
  if (settings.sidecar && settings.feed === undefined) {
    const remedy = 'Add "feed" with the internal addresses of some entries.';
    report('', 'a sidecar needs "feed"', remedy);
  }
}

function checkEntry(settings: Settings, report: Report): void {
  const { entry } = settings;
  if (!entry) {
    return;
  }
  checkAddress(entry.listen, '/entry/listen', report);
  checkAddressList(entry.control, '/entry/control', report);
  if (entry.listen === settings.internal) {
    const remedy = 'Use another port; callers must not reach internal calls.';
    report('/entry/listen', 'the same address as "internal"', remedy);
  }
  const hasOther = entry.control.some((address) => address !== settings.internal);
  if (!hasOther && !settings.control) {
    const remedy = 'List the control members, or add a "control" section.';
    report('/entry/control', 'lists only this process, which is not a control member', remedy);
  }
}

function checkControl(settings: Settings, report: Report): void {
  const peers = settings.control?.peers ?? [];
  checkAddressList(peers, '/control/peers', report);
  const own = peers.indexOf(settings.internal);
  if (own >= 0) {
    const remedy = 'Remove it; list only the other control members.';
    report(`/control/peers/${own}`, 'a control member is not its own peer', remedy);
  }
}

function checkSidecar(settings: Settings, report: Report): void {
  const { sidecar } = settings;
  if (!sidecar) {
    return;
  }
  const { target } = sidecar;
  checkAddressList(sidecar.announceTo, '/sidecar/announceTo', report);
  checkAddress(target.address, '/sidecar/target/address', report);
  if (sidecar.kvCacheStore !== undefined) {
    checkAddress(sidecar.kvCacheStore, '/sidecar/kvCacheStore', report);
  }
  if (target.address === settings.internal) {
    const remedy = 'Write the address of the engine or service beside this sidecar.';
    report('/sidecar/target/address', 'the same address as "internal"', remedy);
  }
  if (target.kind === 'engine' && target.model === undefined) {
    report('/sidecar/target', 'an engine needs "model"', 'Add the name of the model it serves.');
  }
  if (target.kind === 'plain' && target.model !== undefined) {
    const remedy = 'Remove "model", or set "kind" to "engine".';
    report('/sidecar/target/model', 'a plain service has no model', remedy);
  }
}

/** All faults between values of settings that satisfy the schema. */
export function checkConsistency(settings: Settings): ISchemaProblem[] {
  const problems: ISchemaProblem[] = [];
  const report: Report = (pointer, message, remedy) => {
    problems.push({ pointer, message, remedy });
  };
  checkRoles(settings, report);
  checkInternal(settings, report);
  checkFeed(settings, report);
  checkEntry(settings, report);
  checkControl(settings, report);
  checkSidecar(settings, report);
  return problems;
}
