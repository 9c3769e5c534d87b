/** Faults that the soak injects. Each one restores the deployment before it returns. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../harness/Deployment.js';
import { sendCall } from './HttpCall.js';
import type { Invariants } from './Invariants.js';
import type { Network } from './Network.js';
import type { Operator } from './Operator.js';
import { LATE_TARGET_ID } from './Plan.js';
import type { Random } from './Random.js';
import type { ISoakKey, Records } from './Records.js';

/** Time after which a target whose sidecar drains or is dead must get no new requests. */
const NO_NEW_WORK_DEADLINE_MS = 4_000;

/** Time within which a restarted entry must answer requests. */
const RESTART_LIMIT_MS = 5_000;

/** Longest wait for a restarted entry or for a replaced disk to become a voter. */
const REPAIR_TIMEOUT_MS = 30_000;

/** Deployment and tools that faults use, and the checks that they report to. */
export interface IFaultContext {
  readonly deployment: Deployment;
  readonly network: Network;
  readonly operator: Operator;
  readonly records: Records;
  readonly invariants: Invariants;
  readonly random: Random;
  /** Key for probe requests; it is never withdrawn. */
  readonly probeKey: ISoakKey;
  report(line: string): void;
  /**
   * Issues a new key for the account whose keys are withdrawn. Returns the previous key, or undefined if no
   * new key was issued.
   */
  replaceKey(): Promise<ISoakKey | undefined>;
  /** True while no fault of another kind interrupts the control members. */
  isOnlyControlFault(): boolean;
}

/** One kind of fault. */
export interface IFault {
  readonly kind: string;
  /** Processes or resources that it may act on, of which one is selected. */
  readonly listSubjects: (deployment: Deployment) => readonly string[];
  /** Further subjects that no other fault may act on at the same time. */
  readonly listFurtherSubjects?: (deployment: Deployment) => readonly string[];
  readonly run: (context: IFaultContext, subject: string) => Promise<void>;
}

const listEntries = (deployment: Deployment): readonly string[] => deployment.listEntries();

/** Targets that run from the start; only the fault `new_target` starts and kills the late one. */
const listTargets = (deployment: Deployment): readonly string[] =>
  deployment.listTargets().filter((id) => id !== LATE_TARGET_ID);

const listSidecars = (deployment: Deployment): readonly string[] =>
  listTargets(deployment).map((id) => `sidecar-${id}`);

/** Processes of the fake targets. */
const listFakes = (deployment: Deployment): readonly string[] =>
  listTargets(deployment).map((id) => `fake-${id}`);

const listOperators = (): readonly string[] => ['operator'];

function getTargetId(processName: string): string {
  return processName.replace(/^(sidecar|fake)-/, '');
}

async function killEntry(context: IFaultContext, entry: string): Promise<void> {
  const { deployment, records } = context;
  records.recordKill(entry);
  await deployment.getChild(entry)?.stop('SIGKILL');
}

/** Starts a stopped entry and checks how long it takes to answer a request. */
async function startEntry(context: IFaultContext, entry: string): Promise<void> {
  const { deployment, invariants, probeKey } = context;
  const wasOnlyControlFault = context.isOnlyControlFault();
  const startedAt = performance.now();
  deployment.startEntry(entry);
  let tookMs = Infinity;
  let lastAnswer = '';
  while (performance.now() - startedAt < REPAIR_TIMEOUT_MS) {
    const answer = await sendCall(`${deployment.getEntryUrl(entry)}/stock/linen`, {
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
    context.report(
      `${entry} needed ${Math.round(tookMs)} ms to serve; last failed answer: ${lastAnswer}`,
    );
  }
  // A second fault may leave the control members without a quorum or the services without a target.
  if (wasOnlyControlFault && context.isOnlyControlFault()) {
    invariants.check('k_restart', tookMs <= RESTART_LIMIT_MS, () => {
      return `${entry} first served ${Math.round(tookMs)} ms after its start`;
    });
  }
}

async function restartEntry(context: IFaultContext, entry: string): Promise<void> {
  await killEntry(context, entry);
  await delay(context.random.nextBetween(100, 3_000));
  await startEntry(context, entry);
}

/** Kills and restarts a sidecar; after a long outage, checks that its target got no new requests. */
async function restartSidecar(context: IFaultContext, sidecar: string): Promise<void> {
  const { deployment, random } = context;
  const target = getTargetId(sidecar);
  await deployment.getChild(sidecar)?.stop('SIGKILL');
  const isLongOutage = random.next() < 0.4;
  if (isLongOutage) {
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

/** Deletes the disks of two entries, one after the other. */
async function replaceDisks(context: IFaultContext, entry: string): Promise<void> {
  await replaceDisk(context, entry);
  const otherEntries = context.deployment.listEntries().filter((other) => other !== entry);
  // The second disk is lost as soon as the first member is a voter again.
  await replaceDisk(context, context.random.pick(otherEntries));
}

async function replaceDisk(context: IFaultContext, entry: string): Promise<void> {
  await killEntry(context, entry);
  context.deployment.deleteDisk(entry);
  await delay(context.random.nextBetween(100, 2_000));
  await startEntry(context, entry);
  const isRepaired = await waitForVoters(context);
  context.invariants.check('k_restart', isRepaired, () => {
    return `some member was not a voter ${REPAIR_TIMEOUT_MS} ms after ${entry} lost its disk`;
  });
}

/** Part of the output of `status --json` for a control member. */
interface IMemberStatus {
  readonly role?: string;
  readonly diskId?: string;
  readonly members?: readonly { readonly diskId: string; readonly voter: boolean }[];
}

/** Waits until a leader lists the current disk of each member as a voter; false after a time limit. */
async function waitForVoters({ deployment }: IFaultContext): Promise<boolean> {
  const deadlineAt = performance.now() + REPAIR_TIMEOUT_MS;
  while (performance.now() < deadlineAt) {
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

/** Suspends a process without closing its connections. */
async function freeze(context: IFaultContext, name: string): Promise<void> {
  const child = context.deployment.getChild(name);
  child?.signal('SIGSTOP');
  await delay(context.random.nextBetween(300, 6_000));
  child?.signal('SIGCONT');
}

/** Cuts the link between an entry and one other process, in one or both directions. */
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

/**
 * Cuts the links between an entry and all other entries, which isolates it from the other control
 * members.
 */
async function cutEntryLinks(context: IFaultContext, entry: string): Promise<void> {
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

/** Delays the data on the links from an entry to all sidecars. */
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

/** Kills all entries at the same time and restarts them. */
async function restartAll(context: IFaultContext): Promise<void> {
  const entries = context.deployment.listEntries();
  await Promise.all(entries.map((entry) => killEntry(context, entry)));
  await delay(context.random.nextBetween(50, 1_000));
  await Promise.all(entries.map((entry) => startEntry(context, entry)));
}

async function withdrawKey(context: IFaultContext): Promise<void> {
  const previousKey = await context.replaceKey();
  if (previousKey !== undefined) {
    await context.operator.withdrawKey(previousKey);
  }
}

async function updateRate(context: IFaultContext): Promise<void> {
  const { operator, random } = context;
  const rate = Math.round(random.nextBetween(1_500, 4_000));
  await operator.updateRate('cres', rate, Math.round(rate * random.nextBetween(2, 3)));
}

/** Number of requests that a target got since its start; undefined while it does not answer. */
async function countTargetRequests(
  context: IFaultContext,
  target: string,
): Promise<number | undefined> {
  const answer = await sendCall(`${context.deployment.getTargetUrl(target)}/_observed`, {
    method: 'GET',
    headers: {},
    timeoutMs: 1_000,
  });
  return answer.status === 200
    ? (JSON.parse(answer.text) as { requests: number }).requests
    : undefined;
}

/** Checks that a target whose sidecar drains or is dead gets no requests after the time limit. */
async function checkNoNewWork(context: IFaultContext, target: string): Promise<void> {
  await delay(NO_NEW_WORK_DEADLINE_MS);
  const before = await countTargetRequests(context, target);
  await delay(1_500);
  const after = await countTargetRequests(context, target);
  if (before !== undefined && after !== undefined) {
    context.invariants.check('h_no_new_work', before === after, () => {
      return `${target} got ${after - before} requests more than 4 s after its sidecar began to drain or died`;
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

/** Stops an entry with SIGTERM, which must end it with exit code 0, and starts it again. */
async function restartGracefully(context: IFaultContext, entry: string): Promise<void> {
  const { deployment, records, invariants } = context;
  const child = deployment.getChild(entry);
  records.gracefulStops.push({ entry, at: performance.now() });
  await child?.stop('SIGTERM');
  invariants.check('i_graceful', child?.exitCode === 0, () => {
    return `${entry} exited with code ${String(child?.exitCode)} after SIGTERM, not 0`;
  });
  await startEntry(context, entry);
}

/** Starts an additional target with its sidecar, and kills both after a few seconds. */
async function addTarget({ deployment, random }: IFaultContext): Promise<void> {
  deployment.startFake(LATE_TARGET_ID);
  deployment.startSidecar(LATE_TARGET_ID);
  await delay(random.nextBetween(3_000, 8_000));
  await deployment.getChild(`fake-${LATE_TARGET_ID}`)?.stop('SIGKILL');
  await deployment.getChild(`sidecar-${LATE_TARGET_ID}`)?.stop('SIGKILL');
}

export const FAULTS: readonly IFault[] = [
  { kind: 'kill_entry', listSubjects: listEntries, run: restartEntry },
  { kind: 'kill_sidecar', listSubjects: listSidecars, run: restartSidecar },
  { kind: 'kill_target', listSubjects: listFakes, run: restartFake },
  {
    kind: 'lose_disk',
    listSubjects: listEntries,
    listFurtherSubjects: listEntries,
    run: replaceDisks,
  },
  { kind: 'freeze_entry', listSubjects: listEntries, run: freeze },
  { kind: 'freeze_sidecar', listSubjects: listSidecars, run: freeze },
  { kind: 'freeze_target', listSubjects: listFakes, run: freeze },
  { kind: 'cut_link', listSubjects: listEntries, run: cutLink },
  { kind: 'isolate_entry', listSubjects: listEntries, run: cutEntryLinks },
  { kind: 'slow_links', listSubjects: listEntries, run: delayLinks },
  {
    kind: 'restart_all',
    listSubjects: listEntries,
    listFurtherSubjects: listEntries,
    run: restartAll,
  },
  {
    kind: 'operator_race',
    listSubjects: listOperators,
    run: ({ operator }) => operator.publishConcurrently(),
  },
  {
    kind: 'operator_resend',
    listSubjects: listOperators,
    run: ({ operator }) => operator.repeatPublish(),
  },
  { kind: 'withdraw_key', listSubjects: () => ['keys'], run: withdrawKey },
  { kind: 'change_rate', listSubjects: () => ['rates'], run: updateRate },
  { kind: 'drain_target', listSubjects: listSidecars, run: drainTarget },
  { kind: 'graceful_restart', listSubjects: listEntries, run: restartGracefully },
  { kind: 'new_target', listSubjects: () => [LATE_TARGET_ID], run: addTarget },
];
