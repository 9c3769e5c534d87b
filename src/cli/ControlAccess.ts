/** Access of the commands to the control members: current items and changes. */
import { ConnectError } from '@connectrpc/connect';
import { SILENT_LOG } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import { RpcClients } from '../common/Rpc.js';
import { addJitter, isAborted, limitSignal, sleep } from '../common/Tasks.js';
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
const RETRY_PAUSE_MS = 200;
const DEFAULT_TIMEOUT_SECONDS = 15;

/** An older copy may lack changes that were accepted since. */
const MAX_COPY_AGE_MS = 3_000;

/** The items as the leader holds them. */
export interface IItemsCopy {
  readonly version: bigint;
  readonly revision: bigint;
  readonly items: ReadonlyMap<string, Uint8Array>;
}

/** What commands need of the control members. */
export interface IControlAccess {
  execute(
    command: ICommandBody,
    signal: AbortSignal,
    options?: IExecuteOptions,
  ): Promise<Result<CommandResult, ControlFailure>>;
  readItems(signal: AbortSignal): Promise<Result<IItemsCopy, ControlFailure>>;
}

/** One answer of a control member, or why there is none. */
export interface IMemberStatus {
  readonly address: string;
  readonly status: Result<GetControlStatusResponse, ControlFailure>;
}

/** Failure of a read; reads change nothing, so no outcome of theirs is unknown. */
export function describeReadError(address: string, error: unknown): ControlFailure {
  const { kind } = describeCallError(error);
  if (kind === 'forbidden') {
    const message = `${address} refused the call. Check that --secret-file holds the cluster secret.`;
    return { kind, message };
  }
  const reason = ConnectError.from(error).rawMessage;
  return { kind: 'unreachable', message: `${address} did not answer (${reason}).` };
}

/** Asks every control member for its status. */
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

/** Address of the leader with the highest term, by its own word before that of others. */
function findLeader(members: readonly IMemberStatus[]): string | undefined {
  let best: { address: string; term: bigint; isOwn: boolean } | undefined;
  for (const { address, status } of members) {
    if (status.err) {
      continue;
    }
    const { role, term, leaderAddress } = status.val;
    const isOwn = role === 'leader';
    const leader = isOwn ? address : leaderAddress;
    const isBetter = best === undefined || term > best.term || (term === best.term && isOwn);
    if (leader !== '' && isBetter) {
      best = { address: leader, term, isOwn };
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

function convertCopy(response: SyncResponse): IItemsCopy {
  const items = new Map<string, Uint8Array>();
  for (const item of response.items) {
    if (!item.deleted) {
      items.set(item.key, item.value);
    }
  }
  return { version: response.version, revision: response.revision, items };
}

/** The control members by address. */
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

  /** Reads all items from the leader; a follower's copy may lack the last change. */
  public async readItems(signal: AbortSignal): Promise<Result<IItemsCopy, ControlFailure>> {
    const limit = limitSignal(signal, this._timeoutMs);
    let earlier: ControlFailure | undefined;
    for (;;) {
      const members = await fetchMemberStatus(this._clients, this._addresses, limit);
      const leader = findLeader(members);
      const copy = leader === undefined ? undefined : await this._readFrom(leader, limit);
      if (copy !== undefined) {
        return Ok(copy);
      }
      const failure = explainNoLeader(members);
      if (failure.kind === 'forbidden') {
        return Err(failure);
      }
      if (isAborted(limit)) {
        // The last round was cut off and says nothing about the members.
        return Err(earlier ?? failure);
      }
      earlier = failure;
      await sleep(addJitter(RETRY_PAUSE_MS), limit);
    }
  }

  /** Copy of a leader that knows that it is up to date. */
  private async _readFrom(address: string, signal: AbortSignal): Promise<IItemsCopy | undefined> {
    try {
      const client = this._clients.get(FeedService, address);
      const request = { haveRevision: 0n, instance: 'operator' };
      const response = await client.sync(request, { signal, timeoutMs: CALL_TIMEOUT_MS });
      const isFresh = response.ageMs !== undefined && response.ageMs <= MAX_COPY_AGE_MS;
      return isFresh ? convertCopy(response) : undefined;
    } catch {
      return undefined;
    }
  }
}

/** Time limit of the command in milliseconds. */
export function getTimeoutMs(input: ICommandInput): number {
  return (input.getNumber('timeout') ?? DEFAULT_TIMEOUT_SECONDS) * 1_000;
}

/** Runs an action with clients that carry the cluster secret, and closes them afterwards. */
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

/** Reports a failure of control and returns its exit code. */
export function reportControlFailure(
  input: ICommandInput,
  context: ICommandContext,
  failure: ControlFailure,
): number {
  reportFailure(input, context, failure);
  return getControlExitCode(failure);
}
