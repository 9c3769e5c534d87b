/** Client of the control members: runs commands on their leader. */
import { Code, ConnectError } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { isConnectFailure } from '../common/ConnectErrors.js';
import type { ILog } from '../common/Log.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import type { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, sleep } from '../common/Tasks.js';
import { ControlService } from '../gen/redwingwharf/v1/control_pb.js';
import type { CommandResult, CommandSchema } from '../gen/redwingwharf/v1/state_pb.js';

/** Timeout of a command: long enough for two failovers of 1.5 s. */
const DEFAULT_TIMEOUT_MS = 5_000;

/** Upper bound of the timeout of one call, so that a member that hangs leaves time for the others. */
const MAX_CALL_TIMEOUT_MS = 2_000;

/**
 * Lower bound of the timeout of one call, even if less time remains until the deadline: a call that is
 * aborted too early has an unknown outcome without need.
 */
const MIN_CALL_TIMEOUT_MS = 250;

/** Backoff between rounds over all addresses; it doubles up to the maximum. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;

/** Body of a command; the leader adds the time. */
export type ICommandBody = NonNullable<MessageInitShape<typeof CommandSchema>['body']>;

export type ControlFailureKind =
  /** Members answered that they did not and will not run the command. */
  | 'not_run'
  /** No member could be reached; the command did not run. */
  | 'unreachable'
  /** The command may have run or may still run. */
  | 'indeterminate'
  /** The cluster secret of this process was refused; the command did not run. */
  | 'forbidden'
  /** The command is invalid for the members; it did not run. */
  | 'refused';

export type ControlFailure = IFailure<ControlFailureKind>;

export interface IExecuteOptions {
  /**
   * True if running the command twice has the effect of running it once, because an operation id, a
   * sequence number or a claim key identifies the repetition. Only then is it sent again after an attempt
   * with an unknown outcome.
   */
  readonly isIdempotent?: boolean;
  /** Timeout of all attempts together, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Outcome of one call to one member. */
export type CallOutcome =
  | { readonly kind: 'result'; readonly result: CommandResult }
  | { readonly kind: 'not_leader'; readonly leaderAddress: string | undefined }
  | { readonly kind: 'not_connected'; readonly reason: string }
  | { readonly kind: 'indeterminate'; readonly reason: string }
  | { readonly kind: 'forbidden' | 'refused'; readonly reason: string };

/** Outcomes of the attempts at one command so far. */
interface IProgress {
  /** True once a member answered that it did not run the command. */
  hasAnswer: boolean;
  /** Set once an attempt had an unknown outcome; the command may have run. */
  indeterminateReason: string | undefined;
  /** Address and cause of the last failure to connect to a member. */
  unreachableReason: string;
  /** Time at which attempts end, by `performance.now()`. */
  readonly deadline: number;
}

/** Derives from the error of a call whether the command may have run. */
export function describeCallError(error: unknown): CallOutcome {
  if (isConnectFailure(error)) {
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

function isEnded(progress: IProgress, signal: AbortSignal): boolean {
  return isAborted(signal) || performance.now() >= progress.deadline;
}

function createFinalFailure(progress: IProgress): ControlFailure {
  if (progress.indeterminateReason !== undefined) {
    const message = `The outcome is unknown (${progress.indeterminateReason}). Check whether the command took effect before sending it anew.`;
    return { kind: 'indeterminate', message };
  }
  if (progress.hasAnswer) {
    const message =
      'Not run: no control member is leader. Check that a majority of the members is running.';
    return { kind: 'not_run', message };
  }
  const message = `Not run: no control member was reached (${progress.unreachableReason}). Check the addresses.`;
  return { kind: 'unreachable', message };
}

/**
 * Runs commands on the leader: remembers its address, follows the members' redirects to it, and retries
 * with exponential backoff and jitter until the deadline.
 *
 * @example
 * const client = new ControlClient(clients, ['10.0.0.1:7001', '10.0.0.2:7001'], log);
 * const done = await client.execute({ case: 'claim', value: claim }, signal, { isIdempotent: true });
 */
export class ControlClient {
  private _leaderAddress: string | undefined;

  constructor(
    private readonly _clients: RpcClients,
    private readonly _addresses: readonly string[],
    private readonly _log: ILog,
    /** Leader address from another source, tried before the list; empty if unknown. */
    private readonly _getLeaderHint: () => string = () => '',
  ) {}

  /** Address of the member that last ran a command or was last named as leader; undefined if unknown. */
  public get leaderAddress(): string | undefined {
    return this._leaderAddress;
  }

  /** Runs a command on the leader. An aborted signal ends the attempts with a failure. */
  public async execute(
    command: ICommandBody,
    signal: AbortSignal,
    options: IExecuteOptions = {},
  ): Promise<Result<CommandResult, ControlFailure>> {
    const progress: IProgress = {
      hasAnswer: false,
      indeterminateReason: undefined,
      unreachableReason: 'no time left',
      deadline: performance.now() + (options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
    };
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!isEnded(progress, signal)) {
      const finalResult = await this._tryAddresses(
        command,
        signal,
        options.isIdempotent === true,
        progress,
      );
      if (finalResult !== undefined) {
        return finalResult;
      }
      const remainingMs = Math.max(progress.deadline - performance.now(), 0);
      await sleep(Math.min(addJitter(backoffMs), remainingMs), signal);
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
    return Err(createFinalFailure(progress));
  }

  /**
   * One round: tries the known leader, leaders that members name, the hint and each address, each once.
   * Returns undefined if the round brought no final result.
   */
  private async _tryAddresses(
    command: ICommandBody,
    signal: AbortSignal,
    isIdempotent: boolean,
    progress: IProgress,
  ): Promise<Result<CommandResult, ControlFailure> | undefined> {
    const tried = new Set<string>();
    for (;;) {
      const address = this._pickAddress(tried);
      if (address === undefined || isEnded(progress, signal)) {
        return undefined;
      }
      tried.add(address);
      const outcome = await this._call(address, command, signal, progress.deadline);
      const finalResult = this._handleOutcome(address, outcome, isIdempotent, progress);
      if (finalResult !== undefined) {
        return finalResult;
      }
    }
  }

  private _pickAddress(tried: ReadonlySet<string>): string | undefined {
    if (this._leaderAddress !== undefined && !tried.has(this._leaderAddress)) {
      return this._leaderAddress;
    }
    const hint = this._getLeaderHint();
    const addresses = hint === '' ? this._addresses : [hint, ...this._addresses];
    return addresses.find((address) => !tried.has(address));
  }

  private async _call(
    address: string,
    command: ICommandBody,
    signal: AbortSignal,
    deadline: number,
  ): Promise<CallOutcome> {
    // The timeout header carries whole milliseconds only.
    const remainingMs = Math.ceil(Math.max(deadline - performance.now(), MIN_CALL_TIMEOUT_MS));
    try {
      const client = this._clients.get(ControlService, address);
      const { outcome } = await client.execute(
        { command: { body: command } },
        { signal, timeoutMs: Math.min(remainingMs, MAX_CALL_TIMEOUT_MS) },
      );
      switch (outcome.case) {
        case 'result':
          return { kind: 'result', result: outcome.value };
        case 'notLeader':
          return { kind: 'not_leader', leaderAddress: outcome.value.leaderAddress || undefined };
        case 'indeterminate':
          return { kind: 'indeterminate', reason: outcome.value.reason };
        case 'notRun':
          return { kind: 'not_leader', leaderAddress: address };
        case undefined:
          return { kind: 'indeterminate', reason: 'the answer has no outcome' };
      }
    } catch (error) {
      return describeCallError(error);
    }
  }

  /** Returns the final result, or undefined if another address is to be tried. */
  private _handleOutcome(
    address: string,
    outcome: CallOutcome,
    isIdempotent: boolean,
    progress: IProgress,
  ): Result<CommandResult, ControlFailure> | undefined {
    switch (outcome.kind) {
      case 'result':
        this._leaderAddress = address;
        return Ok(outcome.result);
      case 'not_leader':
        progress.hasAnswer = true;
        this._leaderAddress = outcome.leaderAddress === address ? undefined : outcome.leaderAddress;
        return undefined;
      case 'not_connected':
        progress.unreachableReason = `${address}: ${outcome.reason}`;
        this._forgetLeader(address);
        return undefined;
      case 'indeterminate':
        progress.indeterminateReason = `${address}: ${outcome.reason}`;
        this._forgetLeader(address);
        this._log.debug('outcome of a command is unknown', { address, reason: outcome.reason });
        return isIdempotent ? undefined : Err(createFinalFailure(progress));
      case 'forbidden':
      case 'refused':
        return Err(this._createRefusal(address, outcome.kind, outcome.reason, progress));
    }
  }

  private _forgetLeader(address: string): void {
    if (this._leaderAddress === address) {
      this._leaderAddress = undefined;
    }
  }

  /** A refusal proves that the command did not run only if no earlier attempt had an unknown outcome. */
  private _createRefusal(
    address: string,
    kind: 'forbidden' | 'refused',
    reason: string,
    progress: IProgress,
  ): ControlFailure {
    if (progress.indeterminateReason !== undefined) {
      return createFinalFailure(progress);
    }
    const remedy =
      kind === 'forbidden' ? 'Check the cluster secret file.' : 'Check that all versions match.';
    return { kind, message: `Not run: ${address} refused the command (${reason}). ${remedy}` };
  }
}
