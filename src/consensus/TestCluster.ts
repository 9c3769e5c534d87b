/** A group of members in one process for tests, with an in-memory network and real data directories. */
import { fromBinary, toBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MonotonicClock } from '../common/Clock.js';
import { describeError, SILENT_LOG, type ILog } from '../common/Log.js';
import { NO_SUSPENSIONS, type ISuspensions } from '../common/Suspension.js';
import { isAborted, sleep } from '../common/Tasks.js';
import {
  AppendRequestSchema,
  AppendResponseSchema,
  JoinRequestSchema,
  JoinResponseSchema,
  SnapshotRequestSchema,
  SnapshotResponseSchema,
  VoteRequestSchema,
  VoteResponseSchema,
  WithdrawRequestSchema,
  WithdrawResponseSchema,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import { DataDirectory, type IDataDirectory } from '../storage/DataDirectory.js';
import type { IOpenedLog } from '../storage/RecordLog.js';
import { bootstrapDataDirectory, ReplicatedLog, type IConsensusHandlers } from './ReplicatedLog.js';
import { formatMemberIdentity } from './Memberships.js';
import type { IConsensusTimings } from './Timings.js';
import type { IConsensusTransport } from './Transport.js';
import type { IConsensusStatus, IMembershipPolicy, IStateMachine } from './Types.js';

/** Far above the time that a busy machine needs, so that test results do not depend on its load. */
const WAIT_TIMEOUT_MS = 15_000;

const POLL_INTERVAL_MS = 5;

const FOREVER = new AbortController().signal;

/** Addresses at which members look for a group that admits them. */
const PEER_ADDRESSES = Array.from({ length: 9 }, (_, n) => `node-${n + 1}`);

/** For tests that need a stable leader, also on a busy machine. */
export const TEST_TIMINGS: IConsensusTimings = {
  heartbeatIntervalMs: 20,
  minElectionTimeoutMs: 350,
  maxElectionTimeoutMs: 700,
  minFirstElectionTimeoutMs: 350,
  maxFirstElectionTimeoutMs: 700,
  callTimeoutMs: 350,
  joinRetryIntervalMs: 50,
  joinTimeoutMs: 1_000,
};

/** For tests that tolerate any number of elections. */
export const SHORT_TIMINGS: IConsensusTimings = {
  ...TEST_TIMINGS,
  minElectionTimeoutMs: 150,
  maxElectionTimeoutMs: 300,
  minFirstElectionTimeoutMs: 150,
  maxFirstElectionTimeoutMs: 300,
  callTimeoutMs: 150,
};

/** Polls a condition until it holds; throws after `WAIT_TIMEOUT_MS`. */
export async function waitUntil(what: string, condition: () => boolean): Promise<void> {
  const { signal } = new AbortController();
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting until ${what}`);
    }
    await sleep(POLL_INTERVAL_MS, signal);
  }
}

/** Creates a deterministic generator of numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function copyMessage<T extends DescMessage>(schema: T, message: MessageShape<T>): MessageShape<T> {
  return fromBinary(schema, toBinary(schema, message));
}

/** In-memory network between members. Links can be cut, delayed and made lossy. */
export class FakeNetwork {
  public lossRate = 0;
  public maxDelayMs = 0;
  /** Milliseconds that each answer takes longer, as from a process that is short of processor time. */
  public answerDelayMs = 0;
  /** Bytes of requests that each link carries in a millisecond. */
  public bytesPerMs = Number.POSITIVE_INFINITY;
  /** Bytes of all requests that have been sent with entries or snapshots. */
  public transferredBytes = 0;
  private readonly _handlers = new Map<string, IConsensusHandlers>();
  private readonly _cutLinks = new Set<string>();

  constructor(private readonly _random: () => number) {}

  public register(address: string, handlers: IConsensusHandlers): void {
    this._handlers.set(address, handlers);
  }

  public remove(address: string): void {
    this._handlers.delete(address);
  }

  /** Isolates a member in both directions. */
  public cut(address: string): void {
    this._cutLinks.add(address);
  }

  /** Drops the calls from one member to another, and their responses. */
  public cutLink(from: string, to: string): void {
    this._cutLinks.add(`${from}>${to}`);
  }

  public restore(): void {
    this._cutLinks.clear();
  }

  /** Creates the transport of the member at an address. */
  public createTransport(from: string): IConsensusTransport {
    return {
      requestVote: (to, request, signal) =>
        this._call(from, to, signal, VoteResponseSchema, (handlers) =>
          handlers.requestVote(copyMessage(VoteRequestSchema, request)),
        ),
      appendEntries: async (to, request, signal) => {
        const bytes = toBinary(AppendRequestSchema, request);
        await this._transfer(bytes, signal);
        return this._call(from, to, signal, AppendResponseSchema, (handlers) =>
          handlers.appendEntries(fromBinary(AppendRequestSchema, bytes)),
        );
      },
      installSnapshot: async (to, request, signal) => {
        const bytes = toBinary(SnapshotRequestSchema, request);
        await this._transfer(bytes, signal);
        return this._call(from, to, signal, SnapshotResponseSchema, (handlers) =>
          handlers.installSnapshot(fromBinary(SnapshotRequestSchema, bytes)),
        );
      },
      join: (to, request, signal) =>
        this._call(from, to, signal, JoinResponseSchema, (handlers) =>
          handlers.join(copyMessage(JoinRequestSchema, request), { signal }),
        ),
      withdraw: (to, request, signal) =>
        this._call(from, to, signal, WithdrawResponseSchema, (handlers) =>
          handlers.withdraw(copyMessage(WithdrawRequestSchema, request), { signal }),
        ),
    };
  }

  private async _transfer(bytes: Uint8Array, signal: AbortSignal): Promise<void> {
    this.transferredBytes += bytes.length;
    const transferMs = bytes.length / this.bytesPerMs;
    if (transferMs > 1) {
      await sleep(transferMs, signal);
    }
  }

  private async _call<T extends DescMessage>(
    from: string,
    to: string,
    signal: AbortSignal,
    schema: T,
    deliver: (handlers: IConsensusHandlers) => Promise<MessageShape<T>>,
  ): Promise<MessageShape<T>> {
    await this._pass(from, to, signal);
    const handlers = this._handlers.get(to);
    if (handlers === undefined) {
      throw new Error('connection refused');
    }
    const response = copyMessage(schema, await deliver(handlers));
    if (this.answerDelayMs > 0) {
      await sleep(this.answerDelayMs, signal);
    }
    // The response is lost if the caller was isolated or its call aborted meanwhile.
    await this._pass(from, to, signal);
    return response;
  }

  private async _pass(from: string, to: string, signal: AbortSignal): Promise<void> {
    if (this.maxDelayMs > 0) {
      await sleep(this._random() * this.maxDelayMs, signal);
    }
    const isCut = [from, to, `${from}>${to}`].some((link) => this._cutLinks.has(link));
    if (isCut || this._random() < this.lossRate) {
      await sleep(WAIT_TIMEOUT_MS, signal);
      throw new Error('message lost');
    }
    if (isAborted(signal)) {
      throw new Error('call timed out');
    }
  }
}

/** A data directory of which each write takes `getDelayMs()` longer to become durable. */
class SlowDirectory implements IDataDirectory {
  constructor(
    private readonly _directory: IDataDirectory,
    private readonly _getDelayMs: () => number,
  ) {}

  public get path(): string {
    return this._directory.path;
  }

  public read(name: string): Promise<Uint8Array | undefined> {
    return this._directory.read(name);
  }

  public async replace(name: string, content: Uint8Array): Promise<void> {
    await this._delay();
    await this._directory.replace(name, content);
  }

  public async prepare(name: string, content: Uint8Array): Promise<() => Promise<void>> {
    const replace = await this._directory.prepare(name, content);
    return async () => {
      await this._delay();
      await replace();
    };
  }

  public async update(name: string, content: Uint8Array): Promise<void> {
    await this._delay();
    await this._directory.update(name, content);
  }

  public hasLog(): Promise<boolean> {
    return this._directory.hasLog();
  }

  public async openLog(): Promise<IOpenedLog> {
    const opened = await this._directory.openLog();
    const { log } = opened;
    const append = log.append.bind(log);
    let stored: Promise<unknown> = Promise.resolve();
    log.append = async (payloads) => {
      const isWritten = append(payloads);
      stored = Promise.all([stored, isWritten, payloads.length === 0 ? undefined : this._delay()]);
      await stored;
    };
    return opened;
  }

  public close(): Promise<void> {
    return this._directory.close();
  }

  private async _delay(): Promise<void> {
    const delayMs = this._getDelayMs();
    if (delayMs > 0) {
      await sleep(delayMs, FOREVER);
    }
  }
}

/** State machine that lists the applied commands in order. */
export class ListMachine implements IStateMachine {
  public commands: string[] = [];
  public restoreCount = 0;

  constructor(private readonly _onApply: ApplyListener) {}

  public apply(command: Uint8Array, index: number): Uint8Array {
    const text = Buffer.from(command).toString();
    this._onApply(text, index);
    this.commands.push(text);
    return Buffer.from(`${text}@${index}`);
  }

  public snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  public restore(snapshot: Uint8Array): void {
    this.restoreCount += 1;
    this.commands = JSON.parse(Buffer.from(snapshot).toString()) as string[];
  }
}

type ApplyListener = (command: string, index: number) => void;

type CreateMachine = (onApply: ApplyListener) => ListMachine;

/** A running member. */
export interface ITestMember {
  readonly id: string;
  readonly address: string;
  readonly log: ReplicatedLog;
  readonly machine: ListMachine;
  readonly directory: DataDirectory;
}

/** A group of members; member `n` has the id `m<n>` and the address `node-<n>`. */
export class TestCluster {
  public readonly network: FakeNetwork;
  public readonly members = new Map<string, ITestMember>();
  /** Milliseconds that each write of a member's disk takes longer, by member id. */
  public readonly diskDelaysMs = new Map<string, number>();
  /** Suspensions of the machine of all members. */
  public suspensions: ISuspensions = NO_SUSPENSIONS;
  /**
   * Violated safety properties: two commands applied at one index, two leaders of one term, or a member
   * that stopped because of an error.
   */
  public readonly safetyViolations: string[] = [];
  private readonly _applied = new Map<number, string>();
  private readonly _leaders = new Map<number, string>();
  private _logger: ILog = SILENT_LOG;

  private constructor(
    private readonly _root: string,
    private readonly _random: () => number,
    private readonly _timings: IConsensusTimings,
    private readonly _createMachine: CreateMachine,
    private readonly _policy: IMembershipPolicy | undefined,
  ) {
    this.network = new FakeNetwork(_random);
  }

  /** Bootstraps a group of `size` members and waits until all are voters. */
  public static async create(
    size: number,
    seed = 1,
    timings: IConsensusTimings = TEST_TIMINGS,
    createMachine: CreateMachine = (onApply) => new ListMachine(onApply),
    policy?: IMembershipPolicy,
  ): Promise<TestCluster> {
    const root = await mkdtemp(join(tmpdir(), 'redwingwharf-consensus-'));
    const cluster = new TestCluster(root, createRandom(seed), timings, createMachine, policy);
    const bootstrapped = await bootstrapDataDirectory(cluster.getPath('m1'), 'm1', 'node-1');
    bootstrapped.unwrap();
    for (let n = 1; n <= size; n += 1) {
      await cluster.startMember(`m${n}`);
    }
    await cluster.waitForVoters(size);
    return cluster;
  }

  public useLog(log: ILog): void {
    this._logger = log;
  }

  public getPath(id: string): string {
    return join(this._root, id);
  }

  public get(id: string): ITestMember {
    const member = this.members.get(id);
    if (member === undefined) {
      throw new Error(`${id} is not running`);
    }
    return member;
  }

  public async startMember(id: string): Promise<ITestMember> {
    const address = `node-${id.slice(1)}`;
    const directory = await DataDirectory.open(this.getPath(id));
    const machine = this._createMachine((command, index) => {
      this._checkAppliedCommand(command, index);
    });
    const disk = new SlowDirectory(directory, () => this.diskDelaysMs.get(id) ?? 0);
    const opened = await ReplicatedLog.open(disk, {
      memberId: id,
      address,
      listPeers: () => PEER_ADDRESSES,
      ...(this._policy === undefined ? {} : { policy: this._policy }),
      machine,
      transport: this.network.createTransport(address),
      clock: new MonotonicClock(),
      suspensions: { getResumedAt: (now) => this.suspensions.getResumedAt(now) },
      log: this._logger,
      timings: this._timings,
      random: this._random,
    }).catch(async (error: unknown) => {
      await directory.close();
      throw error;
    });
    if (!opened.ok) {
      await directory.close();
      throw opened.val;
    }
    const member = { id, address, log: opened.val, machine, directory };
    this.members.set(id, member);
    this.network.register(address, member.log.handlers);
    member.log.onRoleChange((status) => {
      this._checkSingleLeader(status);
    });
    member.log.onFailure((error) => {
      this.safetyViolations.push(`${id} stopped: ${describeError(error)}`);
    });
    member.log.start();
    return member;
  }

  /** Stops a member without notifying the others. */
  public async kill(id: string): Promise<void> {
    const member = this.get(id);
    this.members.delete(id);
    this.network.remove(member.address);
    await member.log.stop();
    await member.directory.close();
  }

  /** Deletes the data directory of a stopped member. */
  public async deleteDisk(id: string): Promise<void> {
    await rm(this.getPath(id), { recursive: true });
  }

  public findLeader(): ITestMember | undefined {
    return [...this.members.values()]
      .filter((member) => member.log.status.role === 'leader')
      .sort((left, right) => right.log.status.term - left.log.status.term)[0];
  }

  public async waitForLeader(exceptId?: string): Promise<ITestMember> {
    const find = (): ITestMember | undefined => {
      const leader = this.findLeader();
      const isEstablished = leader?.log.getConfirmedAt() !== undefined;
      return isEstablished && leader.id !== exceptId ? leader : undefined;
    };
    await waitUntil('there is a leader', () => find() !== undefined);
    return find() ?? this.waitForLeader(exceptId);
  }

  /** Waits until the group consists of this many voters, each running with the disk in the membership. */
  public async waitForVoters(count: number): Promise<void> {
    await waitUntil(`there are ${count} voters`, () => {
      const leader = this.findLeader();
      const status = leader?.log.status;
      const voters = status?.membership.members.filter((member) => member.voter) ?? [];
      const isComplete = voters.length === count && status?.membership.members.length === count;
      const areRunning = voters.every((voter) => {
        const member = this.members.get(voter.id)?.log.status;
        return member !== undefined && Buffer.compare(member.diskId, voter.diskId) === 0;
      });
      return isComplete && areRunning && leader?.log.getConfirmedAt() !== undefined;
    });
  }

  /** Proposes once to the current leader; true if the command was committed. */
  public async tryPropose(command: string, timeoutMs = 1_000): Promise<boolean> {
    const leader = this.findLeader();
    if (leader === undefined) {
      return false;
    }
    const result = await leader.log.propose(Buffer.from(command), AbortSignal.timeout(timeoutMs));
    return result.ok;
  }

  /**
   * Proposes until a command is committed and returns that command. Each retry appends `#<attempt>`, because
   * an attempt with an unknown outcome may still be committed.
   */
  public async commit(command: string): Promise<string> {
    for (let attempt = 0; ; attempt += 1) {
      const name = attempt === 0 ? command : `${command}#${attempt}`;
      await this.waitForLeader();
      if (await this.tryPropose(name)) {
        return name;
      }
    }
  }

  /** Waits until all running members have applied the same commands. */
  public async waitForAgreement(): Promise<string[]> {
    const list = (): string[] =>
      [...this.members.values()].map((member) => JSON.stringify(member.machine.commands));
    await waitUntil('all members agree', () => {
      const leader = this.findLeader();
      const status = leader?.log.status;
      return status?.commitIndex === status?.appliedIndex && new Set(list()).size === 1;
    });
    return this.findLeader()?.machine.commands.slice() ?? [];
  }

  public async dispose(): Promise<void> {
    for (const id of [...this.members.keys()]) {
      await this.kill(id);
    }
    await rm(this._root, { recursive: true, force: true });
  }

  private _checkSingleLeader(status: IConsensusStatus): void {
    if (status.role !== 'leader') {
      return;
    }
    const identity = formatMemberIdentity(status);
    const previous = this._leaders.get(status.term);
    if (previous !== undefined && previous !== identity) {
      this.safetyViolations.push(`term ${status.term} was led by ${previous} and by ${identity}`);
    }
    this._leaders.set(status.term, identity);
  }

  private _checkAppliedCommand(command: string, index: number): void {
    const previous = this._applied.get(index);
    if (previous !== undefined && previous !== command) {
      this.safetyViolations.push(`index ${index} was applied as ${previous} and as ${command}`);
    }
    this._applied.set(index, command);
  }
}
