/** The faults that the soak injects. Each one undoes itself before it returns. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../harness/Deployment.js';
import { sendCall } from './HttpCall.js';
import type { Invariants } from './Invariants.js';
import type { Network } from './Network.js';
import type { Operator } from './Operator.js';
import { LATE_TARGET } from './Plan.js';
import type { Random } from './Random.js';
import type { ISoakKey, Records } from './Records.js';

/** A leaving or dead target gets no new work after this time. */
const NO_NEW_WORK_MS = 4_000;

/** A restarted entry serves within this time. */
const RESTART_LIMIT_MS = 5_000;

const REPAIR_TIMEOUT_MS = 30_000;

/** Everything that faults act on. */
export interface IFaultContext {
  readonly deployment: Deployment;
  readonly network: Network;
  readonly operator: Operator;
  readonly records: Records;
  readonly invariants: Invariants;
  readonly random: Random;
  /** Key that is never withdrawn. */
  readonly probeKey: ISoakKey;
  report(line: string): void;
  /** Replaces the key of the account whose keys are withdrawn; returns the former one. */
  replaceKey(): Promise<ISoakKey | undefined>;
  /** True while no other fault disturbs control. */
  isAlone(): boolean;
}

/** One kind of fault. */
export interface IFault {
  readonly kind: string;
  /** Processes that it may act on: one is picked. */
  readonly subjects: (deployment: Deployment) => readonly string[];
  /** Further processes that no other fault may touch at the same time. */
  readonly claims?: (deployment: Deployment) => readonly string[];
  readonly run: (context: IFaultContext, subject: string) => Promise<void>;
}

const listEntries = (deployment: Deployment): readonly string[] => deployment.listEntries();

/** Targets of the first start; the late one comes and goes on its own. */
const listTargets = (deployment: Deployment): readonly string[] =>
  deployment.listTargets().filter((id) => id !== LATE_TARGET);

const listSidecars = (deployment: Deployment): readonly string[] =>
  listTargets(deployment).map((id) => `sidecar-${id}`);

const listFakes = (deployment: Deployment): readonly string[] =>
  listTargets(deployment).map((id) => `fake-${id}`);

const useOperator = (): readonly string[] => ['operator'];

function getTargetId(processName: string): string {
  return processName.replace(/^(sidecar|fake)-/, '');
}

async function killEntry(context: IFaultContext, entry: string): Promise<void> {
  const { deployment, records } = context;
  records.recordKill(entry);
  await deployment.getChild(entry)?.stop('SIGKILL');
}

/** Starts a stopped entry and measures how long it takes until it serves. */
async function startEntry(context: IFaultContext, entry: string): Promise<void> {
  const { deployment, invariants, probeKey } = context;
  const wasAlone = context.isAlone();
  const startedAt = performance.now();
  deployment.startEntry(entry);
  let tookMs = Infinity;
  let lastAnswer = '';
  while (performance.now() - startedAt < REPAIR_TIMEOUT_MS) {
    const answer = await sendCall(`${deployment.getUrl(entry)}/stock/linen`, {
      method: 'GET',
      headers: { authorization: `Bearer ${probeKey.text}` },
      timeoutMs: 1_000,
    });
    if (answer.status === 200) {
      tookMs = performance.now() - startedAt;
      break;
    }
    lastAnswer = `${answer.end} ${answer.status} ${answer.text.slice(0, 200)}`;
    await delay(50);
  }
  if (tookMs > RESTART_LIMIT_MS) {
    context.report(`${entry} was slow to serve: ${Math.round(tookMs)} ms, ${lastAnswer}`);
  }
  // Another fault at the same time may take the quorum or all targets away.
  if (wasAlone && context.isAlone()) {
    invariants.check('k_restart', tookMs <= RESTART_LIMIT_MS, () => {
      return `${entry} served ${Math.round(tookMs)} ms after its start`;
    });
  }
}

async function restartEntry(context: IFaultContext, entry: string): Promise<void> {
  await killEntry(context, entry);
  await delay(context.random.nextBetween(100, 3_000));
  await startEntry(context, entry);
}

async function restartSidecar(context: IFaultContext, sidecar: string): Promise<void> {
  const { deployment, random } = context;
  const target = getTargetId(sidecar);
  await deployment.getChild(sidecar)?.stop('SIGKILL');
  const isLong = random.next() < 0.4;
  if (isLong) {
    await checkNoNewWork(context, target);
  } else {
    await delay(random.nextBetween(50, 2_500));
  }
  deployment.startSidecar(target);
}

async function restartFake(context: IFaultContext, fake: string): Promise<void> {
  await context.deployment.getChild(fake)?.stop('SIGKILL');
  await delay(context.random.nextBetween(50, 4_000));
  context.deployment.startFake(getTargetId(fake));
}

async function replaceDisks(context: IFaultContext, entry: string): Promise<void> {
  await replaceDisk(context, entry);
  const others = context.deployment.listEntries().filter((other) => other !== entry);
  // A second loss right after the repair.
  await replaceDisk(context, context.random.pick(others));
}

async function replaceDisk(context: IFaultContext, entry: string): Promise<void> {
  await killEntry(context, entry);
  context.deployment.deleteDisk(entry);
  await delay(context.random.nextBetween(100, 2_000));
  await startEntry(context, entry);
  const isRepaired = await waitRepaired(context);
  context.invariants.check('k_restart', isRepaired, () => {
    return `three voters were not back ${REPAIR_TIMEOUT_MS} ms after ${entry} lost its disk`;
  });
}

interface IMemberStatus {
  readonly role?: string;
  readonly diskId?: string;
  readonly members?: readonly { readonly diskId: string; readonly voter: boolean }[];
}

/** Waits until a leader counts the present disk of each member as a voter. */
async function waitRepaired({ deployment }: IFaultContext): Promise<boolean> {
  const giveUpAt = performance.now() + REPAIR_TIMEOUT_MS;
  while (performance.now() < giveUpAt) {
    const result = await deployment.runOperator(['status', '--json', '--timeout', '3']);
    if (result.code === 0) {
      const { control } = JSON.parse(result.stdout) as { control: readonly IMemberStatus[] };
      const leader = control.find((member) => member.role === 'leader');
      const voters = leader?.members?.filter(({ voter }) => voter) ?? [];
      const isVoter = ({ diskId }: IMemberStatus): boolean =>
        voters.some((voter) => voter.diskId === diskId);
      if (control.length === voters.length && control.every(isVoter)) {
        return true;
      }
    }
    await delay(200);
  }
  return false;
}

async function freeze(context: IFaultContext, name: string): Promise<void> {
  const child = context.deployment.getChild(name);
  child?.signal('SIGSTOP');
  await delay(context.random.nextBetween(300, 6_000));
  child?.signal('SIGCONT');
}

/** Cuts an entry off from one other process, in one or both directions. */
async function cutLink(context: IFaultContext, entry: string): Promise<void> {
  const { network, random, deployment } = context;
  const others = [...deployment.listEntries(), ...listSidecars(deployment)];
  const other = random.pick(others.filter((name) => name !== entry));
  const direction = random.pick(['both', 'sent', 'received'] as const);
  const cut = { holdSent: direction !== 'received', holdReceived: direction !== 'sent' };
  network.inject(entry, other, cut);
  if (random.next() < 0.6) {
    network.inject(other, entry, cut);
  }
  await delay(random.nextBetween(1_000, 7_000));
  network.restore(entry, other);
  network.restore(other, entry);
}

/** Cuts an entry off from all other entries, and with them from control. */
async function cutEntryOff(context: IFaultContext, entry: string): Promise<void> {
  const { network, random, deployment } = context;
  const others = deployment.listEntries().filter((other) => other !== entry);
  const cut = { holdSent: true, holdReceived: true };
  for (const other of others) {
    network.inject(entry, other, cut);
    network.inject(other, entry, cut);
  }
  await delay(random.nextBetween(3_000, 12_000));
  for (const other of others) {
    network.restore(entry, other);
    network.restore(other, entry);
  }
}

/** Slows the links between an entry and all sidecars. */
async function delayLinks(context: IFaultContext, entry: string): Promise<void> {
  const { network, random, deployment } = context;
  const delayMs = Math.round(random.nextBetween(100, 1_500));
  const sidecars = listSidecars(deployment);
  for (const sidecar of sidecars) {
    network.inject(entry, sidecar, { delayMs });
  }
  await delay(random.nextBetween(2_000, 6_000));
  for (const sidecar of sidecars) {
    network.restore(entry, sidecar);
  }
}

async function restartAll(context: IFaultContext): Promise<void> {
  const entries = context.deployment.listEntries();
  await Promise.all(entries.map((entry) => killEntry(context, entry)));
  await delay(context.random.nextBetween(50, 1_000));
  await Promise.all(entries.map((entry) => startEntry(context, entry)));
}

async function withdrawKey(context: IFaultContext): Promise<void> {
  const former = await context.replaceKey();
  if (former !== undefined) {
    await context.operator.withdrawKey(former);
  }
}

async function updateRate(context: IFaultContext): Promise<void> {
  const { operator, random } = context;
  const rate = Math.round(random.nextBetween(1_500, 4_000));
  await operator.updateRate('cres', rate, Math.round(rate * random.nextBetween(2, 3)));
}

/** Requests that reached a target since its start; undefined while it does not answer. */
async function countWork(context: IFaultContext, target: string): Promise<number | undefined> {
  const answer = await sendCall(`${context.deployment.getTargetUrl(target)}/_observed`, {
    method: 'GET',
    headers: {},
    timeoutMs: 1_000,
  });
  return answer.status === 200
    ? (JSON.parse(answer.text) as { requests: number }).requests
    : undefined;
}

/** Checks that a target whose sidecar drains or is dead gets nothing after the limit. */
async function checkNoNewWork(context: IFaultContext, target: string): Promise<void> {
  await delay(NO_NEW_WORK_MS);
  const before = await countWork(context, target);
  await delay(1_500);
  const after = await countWork(context, target);
  if (before !== undefined && after !== undefined) {
    context.invariants.check('h_no_new_work', before === after, () => {
      return `${target} got ${after - before} requests more than 4 s after it left`;
    });
  }
}

async function drainTarget(context: IFaultContext, sidecar: string): Promise<void> {
  const { deployment, operator } = context;
  const target = getTargetId(sidecar);
  if (await operator.drainSidecar(target)) {
    await checkNoNewWork(context, target);
  }
  await deployment.getChild(sidecar)?.stop('SIGKILL');
  deployment.startSidecar(target);
}

async function stopGracefully(context: IFaultContext, entry: string): Promise<void> {
  const { deployment, records, invariants } = context;
  const child = deployment.getChild(entry);
  records.gracefulStops.push({ entry, at: performance.now() });
  await child?.stop('SIGTERM');
  invariants.check('i_graceful', child?.exitCode === 0, () => {
    return `${entry} ended with code ${String(child?.exitCode)} after SIGTERM`;
  });
  await startEntry(context, entry);
}

/** A new target joins, works for a while and is killed. */
async function addTarget({ deployment, random }: IFaultContext): Promise<void> {
  deployment.startFake(LATE_TARGET);
  deployment.startSidecar(LATE_TARGET);
  await delay(random.nextBetween(3_000, 8_000));
  await deployment.getChild(`fake-${LATE_TARGET}`)?.stop('SIGKILL');
  await deployment.getChild(`sidecar-${LATE_TARGET}`)?.stop('SIGKILL');
}

export const FAULTS: readonly IFault[] = [
  { kind: 'kill_entry', subjects: listEntries, run: restartEntry },
  { kind: 'kill_sidecar', subjects: listSidecars, run: restartSidecar },
  { kind: 'kill_target', subjects: listFakes, run: restartFake },
  { kind: 'lose_disk', subjects: listEntries, claims: listEntries, run: replaceDisks },
  { kind: 'freeze_entry', subjects: listEntries, run: freeze },
  { kind: 'freeze_sidecar', subjects: listSidecars, run: freeze },
  { kind: 'freeze_target', subjects: listFakes, run: freeze },
  { kind: 'cut_link', subjects: listEntries, run: cutLink },
  { kind: 'isolate_entry', subjects: listEntries, run: cutEntryOff },
  { kind: 'slow_links', subjects: listEntries, run: delayLinks },
  { kind: 'restart_all', subjects: listEntries, claims: listEntries, run: restartAll },
  { kind: 'operator_race', subjects: useOperator, run: ({ operator }) => operator.publishRace() },
  {
    kind: 'operator_resend',
    subjects: useOperator,
    run: ({ operator }) => operator.publishAgain(),
  },
  { kind: 'withdraw_key', subjects: () => ['keys'], run: withdrawKey },
  { kind: 'change_rate', subjects: () => ['rates'], run: updateRate },
  { kind: 'drain_target', subjects: listSidecars, run: drainTarget },
  { kind: 'graceful_restart', subjects: listEntries, run: stopGracefully },
  { kind: 'new_target', subjects: () => [LATE_TARGET], run: addTarget },
];
