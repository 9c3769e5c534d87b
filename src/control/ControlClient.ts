/** Calls the leader of the control members from any process. */
import { Code, ConnectError } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { isNeverConnected } from '../common/ConnectErrors.js';
import type { ILog } from '../common/Log.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import { ControlService } from '../gen/redwingwharf/v1/control_pb.js';
import type { CommandResult, CommandSchema } from '../gen/redwingwharf/v1/state_pb.js';

/** Covers a failover (1.5 s) twice. */
const DEFAULT_TIMEOUT_MS = 5_000;

/** Limit of one call, so that a member that hangs leaves time for the others. */
const CALL_TIMEOUT_MS = 2_000;

/**
 * A call begun before the deadline gets at least this long; cut off earlier, its outcome would be unknown
 * without need.
 */
const SHORTEST_CALL_MS = 250;

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 800;

/** Body of a command; the leader stamps the time. */
export type ICommandBody = NonNullable<MessageInitShape<typeof CommandSchema>['body']>;

export type ControlFailureKind =
  /** Members answered, none ran the command and none will. */
  | 'not_run'
  /** No member could be reached; the command did not run. */
  | 'unreachable'
  /** The command may have run or may still run. */
  | 'indeterminate'
  /** The members refuse this process: the cluster secret is wrong. It did not run. */
  | 'forbidden'
  /** The members cannot accept such a command. It did not run. */
  | 'refused';

export type ControlFailure = IFailure<ControlFailureKind>;

export interface IExecuteOptions {
  /**
   * True when running the command twice has the effect of running it once (an operation id, a sequence
   * number or a claim key tells them apart). Only then is an unknown outcome retried.
   */
  readonly isIdempotent?: boolean;
  /** Total time of all tries in milliseconds. */
  readonly timeoutMs?: number;
}

export type CallOutcome =
  | { readonly kind: 'result'; readonly result: CommandResult }
  | { readonly kind: 'not_leader'; readonly leader: string | undefined }
  | { readonly kind: 'not_connected'; readonly reason: string }
  | { readonly kind: 'indeterminate'; readonly reason: string }
  | { readonly kind: 'forbidden' | 'refused'; readonly reason: string };

/** What the tries of one command have shown so far. */
interface IProgress {
  hasAnswer: boolean;
  unknownReason: string | undefined;
  lastReason: string;
  /** End of the total time, in the process's monotonic milliseconds. */
  readonly endsAt: number;
}

/** What a failed call proves about the command. */
export function describeCallError(error: unknown): CallOutcome {
  if (isNeverConnected(error)) {
    return { kind: 'not_connected', reason: 'connection refused' };
  }
  const { code, rawMessage } = ConnectError.from(error);
  if (code === Code.PermissionDenied || code === Code.Unauthenticated) {
    return { kind: 'forbidden', reason: 'the cluster secret was not accepted' };
  }
  if (code === Code.InvalidArgument) {
    return { kind: 'refused', reason: rawMessage };
  }
  if (code === Code.Unimplemented) {
    return { kind: 'not_connected', reason: 'the address is no control member' };
  }
  return { kind: 'indeterminate', reason: rawMessage };
}

function isOver(progress: IProgress, signal: AbortSignal): boolean {
  return isAborted(signal) || performance.now() >= progress.endsAt;
}

function createGivenUp(progress: IProgress): ControlFailure {
  if (progress.unknownReason !== undefined) {
    const message = `The outcome is unknown (${progress.unknownReason}). Check whether the command took effect before sending it anew.`;
    return { kind: 'indeterminate', message };
  }
  if (progress.hasAnswer) {
    const message =
      'Not run: no control member is leader. Check that a majority of the members is running.';
    return { kind: 'not_run', message };
  }
  const message = `Not run: no control member was reached (${progress.lastReason}). Check the addresses.`;
  return { kind: 'unreachable', message };
}

/**
 * Finds the leader, follows its members' hints and retries with jitter until the deadline.
 *
 * @example
 * const client = new ControlClient(clients, ['10.0.0.1:7001', '10.0.0.2:7001'], log);
 * const done = await client.execute({ case: 'claim', value: claim }, signal, { isIdempotent: true });
 */
export class ControlClient {
  private _leader: string | undefined;

  constructor(
    private readonly _clients: RpcClients,
    private readonly _addresses: readonly string[],
    private readonly _log: ILog,
    /** Address that another source names as leader; asked before the list. Empty when unknown. */
    private readonly _getHint: () => string = () => '',
  ) {}

  /** Address of the member that last accepted a command or was named as leader. */
  public get leader(): string | undefined {
    return this._leader;
  }

  /** Runs a command on the leader. */
  public async execute(
    command: ICommandBody,
    signal: AbortSignal,
    options: IExecuteOptions = {},
  ): Promise<Result<CommandResult, ControlFailure>> {
    const progress: IProgress = {
      hasAnswer: false,
      unknownReason: undefined,
      lastReason: 'no time left',
      endsAt: performance.now() + (options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
    };
    let pauseMs = FIRST_PAUSE_MS;
    while (!isOver(progress, signal)) {
      const end = await this._tryAll(command, signal, options.isIdempotent === true, progress);
      if (end !== undefined) {
        return end;
      }
      const leftMs = Math.max(progress.endsAt - performance.now(), 0);
      await sleep(Math.min(addJitter(pauseMs), leftMs), signal);
      pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
    }
    return Err(createGivenUp(progress));
  }

  /** Tries the known leader, the leaders named by others and each address once. */
  private async _tryAll(
    command: ICommandBody,
    signal: AbortSignal,
    isIdempotent: boolean,
    progress: IProgress,
  ): Promise<Result<CommandResult, ControlFailure> | undefined> {
    const tried = new Set<string>();
    for (;;) {
      const address = this._pickNext(tried);
      if (address === undefined || isOver(progress, signal)) {
        return undefined;
      }
      tried.add(address);
      const outcome = await this._call(address, command, signal, progress.endsAt);
      const end = this._handleOutcome(address, outcome, isIdempotent, progress);
      if (end !== undefined) {
        return end;
      }
    }
  }

  private _pickNext(tried: ReadonlySet<string>): string | undefined {
    if (this._leader !== undefined && !tried.has(this._leader)) {
      return this._leader;
    }
    const hint = this._getHint();
    const addresses = hint === '' ? this._addresses : [hint, ...this._addresses];
    return addresses.find((address) => !tried.has(address));
  }

  private async _call(
    address: string,
    command: ICommandBody,
    signal: AbortSignal,
    endsAt: number,
  ): Promise<CallOutcome> {
    // The header that carries the limit takes whole milliseconds only.
    const leftMs = Math.ceil(Math.max(endsAt - performance.now(), SHORTEST_CALL_MS));
    try {
      const client = this._clients.get(ControlService, address);
      const { outcome } = await client.execute(
        { command: { body: command } },
        { signal, timeoutMs: Math.min(leftMs, CALL_TIMEOUT_MS) },
      );
      switch (outcome.case) {
        case 'result':
          return { kind: 'result', result: outcome.value };
        case 'notLeader':
          return { kind: 'not_leader', leader: outcome.value.leaderAddress || undefined };
        case 'indeterminate':
          return { kind: 'indeterminate', reason: outcome.value.reason };
        case 'notRun':
          return { kind: 'not_leader', leader: address };
        case undefined:
          return { kind: 'indeterminate', reason: 'the answer has no outcome' };
      }
    } catch (error) {
      return describeCallError(error);
    }
  }

  /** Ends the command, or returns undefined when another address is to be tried. */
  private _handleOutcome(
    address: string,
    outcome: CallOutcome,
    isIdempotent: boolean,
    progress: IProgress,
  ): Result<CommandResult, ControlFailure> | undefined {
    switch (outcome.kind) {
      case 'result':
        this._leader = address;
        return Ok(outcome.result);
      case 'not_leader':
        progress.hasAnswer = true;
        this._leader = outcome.leader === address ? undefined : outcome.leader;
        return undefined;
      case 'not_connected':
        progress.lastReason = `${address}: ${outcome.reason}`;
        this._forgetLeader(address);
        return undefined;
      case 'indeterminate':
        progress.unknownReason = `${address}: ${outcome.reason}`;
        this._forgetLeader(address);
        this._log.debug('outcome of a command is unknown', { address, reason: outcome.reason });
        return isIdempotent ? undefined : Err(createGivenUp(progress));
      case 'forbidden':
      case 'refused':
        return Err(this._createRefusal(address, outcome.kind, outcome.reason, progress));
    }
  }

  private _forgetLeader(address: string): void {
    if (this._leader === address) {
      this._leader = undefined;
    }
  }

  /** A refusal proves "not run" only when no earlier try has an unknown outcome. */
  private _createRefusal(
    address: string,
    kind: 'forbidden' | 'refused',
    reason: string,
    progress: IProgress,
  ): ControlFailure {
    if (progress.unknownReason !== undefined) {
      return createGivenUp(progress);
    }
    const remedy =
      kind === 'forbidden' ? 'Check the cluster secret file.' : 'Check that all versions match.';
    return { kind, message: `Not run: ${address} refused the command (${reason}). ${remedy}` };
  }
}
