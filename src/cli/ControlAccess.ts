/** How commands reach the control members: reads of the current items, changes and status calls. */
import { ConnectError } from '@connectrpc/connect';
import { SILENT_LOG } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, deriveTimeoutSignal, sleep } from '../common/Tasks.js';
import {
  ControlClient,
  describeCallError,
  type ControlFailure,
  type ICommandBody,
  type IExecuteOptions,
} from '../control/ControlClient.js';
import {
  ControlService,
  FeedService,
  type GetControlStatusResponse,
  type SyncResponse,
} from '../gen/redwingwharf/v1/control_pb.js';
import type { CommandResult } from '../gen/redwingwharf/v1/state_pb.js';
import { readSecretFile } from '../settings/SecretFile.js';
import { formatProblem } from '../settings/Types.js';
import { getControlExitCode, reportFailure } from './Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from './Types.js';

const CALL_TIMEOUT_MS = 2_000;
const RETRY_INTERVAL_MS = 200;
const DEFAULT_TIMEOUT_SECONDS = 15;

/** A copy that was confirmed longer ago may lack changes that were accepted since. */
const MAX_COPY_AGE_MS = 3_000;

/** Copy of all configuration items of the leader, with the version that it belongs to. */
export interface IItemsCopy {
  readonly version: bigint;
  readonly revision: bigint;
  readonly items: ReadonlyMap<string, Uint8Array>;
}

/** Operations on the control members that the commands use. */
export interface IControlAccess {
  execute(
    command: ICommandBody,
    signal: AbortSignal,
    options?: IExecuteOptions,
  ): Promise<Result<CommandResult, ControlFailure>>;
  /** Reads the current items from the leader. */
  readItems(signal: AbortSignal): Promise<Result<IItemsCopy, ControlFailure>>;
}

/** Status of one control member, or why it could not be read. */
export interface IMemberStatus {
  readonly address: string;
  readonly status: Result<GetControlStatusResponse, ControlFailure>;
}

/** Describes the failure of a read. A read changes nothing, so its failure is never `indeterminate`. */
export function describeReadError(address: string, error: unknown): ControlFailure {
  const { kind } = describeCallError(error);
  if (kind === 'forbidden') {
    const message = `${address} refused the call. Check that --secret-file holds the cluster secret.`;
    return { kind, message };
  }
  const reason = ConnectError.from(error).rawMessage;
  return { kind: 'unreachable', message: `${address} did not answer (${reason}).` };
}

/** Reads the status of every control member in parallel; each call has its own timeout. */
export async function fetchMemberStatus(
  clients: RpcClients,
  addresses: readonly string[],
  signal: AbortSignal,
): Promise<IMemberStatus[]> {
  const fetchOne = async (address: string): Promise<IMemberStatus> => {
    try {
      const client = clients.get(ControlService, address);
      const status = await client.getControlStatus({}, { signal, timeoutMs: CALL_TIMEOUT_MS });
      return { address, status: Ok(status) };
    } catch (error) {
      return { address, status: Err(describeReadError(address, error)) };
    }
  };
  return Promise.all(addresses.map(fetchOne));
}

/**
 * Address of the leader of the highest term that any member reported; undefined if none names a leader. In
 * the same term a member that reports itself as leader takes precedence over what other members report.
 */
function findLeader(members: readonly IMemberStatus[]): string | undefined {
  let best: { address: string; term: bigint; isSelfReported: boolean } | undefined;
  for (const { address, status } of members) {
    if (status.err) {
      continue;
    }
    const { role, term, leaderAddress } = status.val;
    const isSelfReported = role === 'leader';
    const leader = isSelfReported ? address : leaderAddress;
    const isBetter =
      best === undefined || term > best.term || (term === best.term && isSelfReported);
    if (leader !== '' && isBetter) {
      best = { address: leader, term, isSelfReported };
    }
  }
  return best?.address;
}

function explainNoLeader(members: readonly IMemberStatus[]): ControlFailure {
  const failures = members.flatMap(({ status }) => (status.err ? [status.val] : []));
  const forbidden = failures.find((failure) => failure.kind === 'forbidden');
  if (forbidden !== undefined) {
    return forbidden;
  }
  if (failures.length === members.length) {
    const message = `${failures.map((failure) => failure.message).join('\n')}\nCheck --control and that the members are running.`;
    return { kind: 'unreachable', message };
  }
  const message =
    'No control member is leader. Check that a majority of the members is running; see "redwingwharf status".';
  return { kind: 'not_run', message };
}

function convertToItemsCopy(response: SyncResponse): IItemsCopy {
  const items = new Map<string, Uint8Array>();
  for (const item of response.items) {
    if (!item.deleted) {
      items.set(item.key, item.value);
    }
  }
  return { version: response.version, revision: response.revision, items };
}

/** Runs commands on the control members at the given addresses and reads the items from their leader. */
export class ControlAccess implements IControlAccess {
  private readonly _client: ControlClient;

  constructor(
    private readonly _clients: RpcClients,
    private readonly _addresses: readonly string[],
    private readonly _timeoutMs: number,
  ) {
    this._client = new ControlClient(_clients, _addresses, SILENT_LOG);
  }

  public execute(
    command: ICommandBody,
    signal: AbortSignal,
    options: IExecuteOptions = {},
  ): Promise<Result<CommandResult, ControlFailure>> {
    return this._client.execute(command, signal, { timeoutMs: this._timeoutMs, ...options });
  }

  /**
   * Reads all items from the leader, because a follower's copy may lack the last change. Retries until the
   * time limit of the command; a wrong cluster secret fails at once.
   */
  public async readItems(signal: AbortSignal): Promise<Result<IItemsCopy, ControlFailure>> {
    const limitedSignal = deriveTimeoutSignal(signal, this._timeoutMs);
    let previousFailure: ControlFailure | undefined;
    for (;;) {
      const members = await fetchMemberStatus(this._clients, this._addresses, limitedSignal);
      const leader = findLeader(members);
      const copy =
        leader === undefined ? undefined : await this._readItemsFrom(leader, limitedSignal);
      if (copy !== undefined) {
        return Ok(copy);
      }
      const failure = explainNoLeader(members);
      if (failure.kind === 'forbidden') {
        return Err(failure);
      }
      if (isAborted(limitedSignal)) {
        // The time limit aborted the calls of this round, so only the previous round describes the members.
        return Err(previousFailure ?? failure);
      }
      previousFailure = failure;
      await sleep(addJitter(RETRY_INTERVAL_MS), limitedSignal);
    }
  }

  /** Reads the items of a leader; undefined if the call fails or the copy was not confirmed recently enough. */
  private async _readItemsFrom(
    address: string,
    signal: AbortSignal,
  ): Promise<IItemsCopy | undefined> {
    try {
      const client = this._clients.get(FeedService, address);
      const request = { haveRevision: 0n, instance: 'operator' };
      const response = await client.sync(request, { signal, timeoutMs: CALL_TIMEOUT_MS });
      const isFresh = response.ageMs !== undefined && response.ageMs <= MAX_COPY_AGE_MS;
      return isFresh ? convertToItemsCopy(response) : undefined;
    } catch {
      return undefined;
    }
  }
}

/** Time limit of the command in milliseconds, from `--timeout` or the default. */
export function getTimeoutMs(input: ICommandInput): number {
  return (input.getNumber('timeout') ?? DEFAULT_TIMEOUT_SECONDS) * 1_000;
}

/**
 * Runs an action with RPC clients that send the secret of `--secret-file`, and disposes of them afterwards.
 * Returns the exit code of the action, or reports an unusable secret.
 */
export async function useClients(
  input: ICommandInput,
  context: ICommandContext,
  action: (clients: RpcClients) => Promise<number>,
): Promise<number> {
  const secret = await readSecretFile(input.getText('secret-file') ?? '');
  if (secret.err) {
    const message = formatProblem(secret.val);
    reportFailure(input, context, { kind: 'bad_secret', message });
    return EXIT_CODE.refused;
  }
  const clients = new RpcClients(secret.val);
  try {
    return await action(clients);
  } finally {
    clients.dispose();
  }
}

/** Runs an action with access to the control members of --control. */
export function useControl(
  input: ICommandInput,
  context: ICommandContext,
  action: (access: IControlAccess) => Promise<number>,
): Promise<number> {
  return useClients(input, context, (clients) =>
    action(new ControlAccess(clients, input.getList('control'), getTimeoutMs(input))),
  );
}

/** Reports a failed call to the control members and returns its exit code. */
export function reportControlFailure(
  input: ICommandInput,
  context: ICommandContext,
  failure: ControlFailure,
): number {
  reportFailure(input, context, failure);
  return getControlExitCode(failure);
}
