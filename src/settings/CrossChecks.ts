/** Consistency checks across several values of the settings, which the schema cannot express. */
import { isIP } from 'node:net';
import { parseAddress } from '../common/Address.js';
import type { Settings } from '../gen/settings.js';
import type { ISchemaProblem } from './SchemaCheck.js';

const MAX_PORT = 65_535;
const WILDCARD_HOSTS = ['0.0.0.0', '::'];

type ReportProblem = (pointer: string, message: string, remedy: string) => void;

/** Returns what is wrong with an address, or undefined if it has an IP address and a valid port. */
export function explainBadAddress(address: string): string | undefined {
  const { host, port } = parseAddress(address);
  if (isIP(host) === 0) {
    return `"${host}" is not an IP address`;
  }
  if (!Number.isInteger(port) || port < 1 || port > MAX_PORT) {
    return `port ${port} is outside 1 to ${MAX_PORT}`;
  }
  return undefined;
}

function checkAddress(address: string, pointer: string, report: ReportProblem): void {
  const reason = explainBadAddress(address);
  if (reason !== undefined) {
    report(pointer, reason, 'Write an IP address and a port, such as 10.0.0.5:7001.');
  }
}

function checkAddressList(
  addresses: readonly string[],
  pointer: string,
  report: ReportProblem,
): void {
  addresses.forEach((address, index) => {
    checkAddress(address, `${pointer}/${index}`, report);
    if (addresses.indexOf(address) < index) {
      report(`${pointer}/${index}`, `${address} is listed twice`, 'Remove one of the two.');
    }
  });
}

function checkRoles(settings: Settings, report: ReportProblem): void {
  if (!settings.entry && !settings.control && !settings.sidecar) {
    report('', 'no role is enabled', 'Add at least one of "entry", "control" and "sidecar".');
  }
  if (settings.sidecar && (settings.entry ?? settings.control)) {
    // "feed" lists entries for a sidecar but control members for an entry, so it cannot serve both.
    const remedy = 'Run the sidecar as a process of its own, with its own settings file.';
    report('/sidecar', 'a sidecar cannot share a process with an entry or control', remedy);
  }
}

function checkInternal(settings: Settings, report: ReportProblem): void {
  checkAddress(settings.internal, '/internal', report);
  if (WILDCARD_HOSTS.includes(parseAddress(settings.internal).host)) {
    const remedy = 'Write the IP address by which other processes reach this one.';
    report('/internal', 'a wildcard address cannot be given to other processes', remedy);
  }
}

function checkFeed(settings: Settings, report: ReportProblem): void {
  const feed: readonly string[] = settings.feed ?? [];
  checkAddressList(feed, '/feed', report);
  const ownIndex = feed.indexOf(settings.internal);
  if (ownIndex >= 0) {
    const remedy = 'Remove it; list only other processes.';
    report(`/feed/${ownIndex}`, 'a process cannot copy the configuration from itself', remedy);
  }
  if (settings.sidecar && settings.feed === undefined) {
    const remedy = 'Add "feed" with the internal addresses of some entries.';
    report('', 'a sidecar needs "feed"', remedy);
  }
}

function checkEntry(settings: Settings, report: ReportProblem): void {
  const { entry } = settings;
  if (!entry) {
    return;
  }
  checkAddress(entry.listen, '/entry/listen', report);
  checkAddressList(entry.control, '/entry/control', report);
  if (entry.listen === settings.internal) {
    const remedy = 'Use another port, so that callers cannot make internal calls.';
    report('/entry/listen', 'must not be the same address as "internal"', remedy);
  }
  const hasOtherMember = entry.control.some((address) => address !== settings.internal);
  if (!hasOtherMember && !settings.control) {
    const remedy = 'List the control members, or add a "control" section.';
    report('/entry/control', 'lists only this process, which is not a control member', remedy);
  }
}

function checkControl(settings: Settings, report: ReportProblem): void {
  const peers = settings.control?.peers ?? [];
  checkAddressList(peers, '/control/peers', report);
  const ownIndex = peers.indexOf(settings.internal);
  if (ownIndex >= 0) {
    const remedy = 'Remove it; list only the other control members.';
    report(`/control/peers/${ownIndex}`, 'a control member is not its own peer', remedy);
  }
}

function checkSidecar(settings: Settings, report: ReportProblem): void {
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
    report('/sidecar/target/address', 'must not be the same address as "internal"', remedy);
  }
  if (target.kind === 'engine' && target.model === undefined) {
    report('/sidecar/target', 'an engine needs "model"', 'Add the name of the model it serves.');
  }
  if (target.kind === 'plain' && target.model !== undefined) {
    const remedy = 'Remove "model", or set "kind" to "engine".';
    report('/sidecar/target/model', 'a plain service must not have "model"', remedy);
  }
}

/** Returns every inconsistency between values of the settings, which must already satisfy the schema. */
export function checkConsistency(settings: Settings): ISchemaProblem[] {
  const problems: ISchemaProblem[] = [];
  const report: ReportProblem = (pointer, message, remedy) => {
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
