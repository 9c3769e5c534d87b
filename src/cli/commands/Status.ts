/** Command `status`: shows the control members, the entries and the targets that each entry knows. */
import type { RpcClients } from '../../common/Rpc.js';
import { Err, Ok, type Result } from '../../common/Result.js';
import { encodeHex } from '../../common/Hashes.js';
import type { ControlFailure } from '../../control/ControlClient.js';
import {
  RosterService,
  type GetEntryStatusResponse,
  type TargetStatus,
} from '../../gen/redwingwharf/v1/control_pb.js';
import {
  describeReadError,
  fetchMemberStatus,
  getTimeoutMs,
  useClients,
  type IMemberStatus,
} from '../ControlAccess.js';
import { printResult, renderTable } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';
import { deriveTimeoutSignal } from '../../common/Tasks.js';

const MEMBER_HEADER = [
  'CONTROL',
  'MEMBER',
  'ROLE',
  'TERM',
  'COMMIT',
  'APPLIED',
  'VERSION',
  'VOTERS',
];
const ENTRY_HEADER = [
  'ENTRY',
  'INSTANCE',
  'DATA CENTRE',
  'STATE',
  'VERSION',
  'REVISION',
  'CONFIRMED',
  'OPEN',
  'TARGETS',
];
const TARGET_HEADER = [
  'ENTRY',
  'TARGET',
  'SERVICE',
  'DATA CENTRE',
  'STATE',
  'WEIGHTS',
  'QUEUED',
  'RUNNING',
  'AGE',
];

interface IEntryStatus {
  readonly address: string;
  readonly status: Result<GetEntryStatusResponse, ControlFailure>;
}

async function fetchEntryStatus(
  clients: RpcClients,
  addresses: readonly string[],
  signal: AbortSignal,
): Promise<IEntryStatus[]> {
  const fetchOne = async (address: string): Promise<IEntryStatus> => {
    try {
      const client = clients.get(RosterService, address);
      return { address, status: Ok(await client.getEntryStatus({}, { signal })) };
    } catch (error) {
      return { address, status: Err(describeReadError(address, error)) };
    }
  };
  return Promise.all(addresses.map(fetchOne));
}

function convertMember({ address, status }: IMemberStatus): Record<string, unknown> {
  if (status.err) {
    return { address, error: status.val.kind, message: status.val.message };
  }
  const member = status.val;
  return {
    address,
    memberId: member.memberId,
    role: member.role,
    term: Number(member.term),
    commitIndex: Number(member.commitIndex),
    appliedIndex: Number(member.appliedIndex),
    version: Number(member.version),
    leaderAddress: member.leaderAddress,
    diskId: encodeHex(member.diskId),
    clusterId: encodeHex(member.clusterId),
    members: (member.membership?.members ?? []).map(
      ({ id, diskId, address: memberAddress, voter }) => ({
        id,
        diskId: encodeHex(diskId),
        address: memberAddress,
        voter,
      }),
    ),
  };
}

function renderMember({ address, status }: IMemberStatus): string[] {
  if (status.err) {
    return [address, '-', status.val.kind];
  }
  const member = status.val;
  const voters = (member.membership?.members ?? []).filter((other) => other.voter);
  return [
    address,
    member.memberId,
    member.role,
    String(member.term),
    String(member.commitIndex),
    String(member.appliedIndex),
    String(member.version),
    voters.map((voter) => voter.id).join(','),
  ];
}

function convertTarget({ announcement, ageMs }: TargetStatus): Record<string, unknown> {
  return {
    target: announcement?.target,
    service: announcement?.service,
    dataCentre: announcement?.dataCentre,
    address: announcement?.address,
    model: announcement?.model,
    weightsVersion: announcement?.weightsVersion,
    healthy: announcement?.healthy,
    draining: announcement?.draining,
    queued: announcement?.load?.queued,
    running: announcement?.load?.running,
    ageMs,
  };
}

function convertEntry({ address, status }: IEntryStatus): Record<string, unknown> {
  if (status.err) {
    return { address, error: status.val.kind, message: status.val.message };
  }
  const entry = status.val;
  return {
    address,
    instance: entry.instance,
    dataCentre: entry.dataCentre,
    ready: entry.ready,
    draining: entry.draining,
    revision: Number(entry.revision),
    version: Number(entry.version),
    confirmedAgeMs: entry.confirmedAgeMs,
    openRequests: entry.openRequests,
    targets: entry.targets.map(convertTarget),
  };
}

function nameState(isDraining: boolean, isReady: boolean): string {
  if (isDraining) {
    return 'draining';
  }
  return isReady ? 'ready' : 'not ready';
}

function renderEntry({ address, status }: IEntryStatus): string[] {
  if (status.err) {
    return [address, '-', '-', status.val.kind];
  }
  const entry = status.val;
  return [
    address,
    entry.instance,
    entry.dataCentre,
    nameState(entry.draining, entry.ready),
    String(entry.version),
    String(entry.revision),
    entry.confirmedAgeMs === undefined ? 'never' : `${entry.confirmedAgeMs} ms`,
    String(entry.openRequests),
    String(entry.targets.length),
  ];
}

function renderTargets({ address, status }: IEntryStatus): string[][] {
  if (status.err) {
    return [];
  }
  return status.val.targets.map(({ announcement, ageMs }) => [
    address,
    announcement?.target ?? '-',
    announcement?.service ?? '-',
    announcement?.dataCentre ?? '-',
    nameState(announcement?.draining === true, announcement?.healthy === true),
    announcement?.weightsVersion ?? '-',
    String(announcement?.load?.queued ?? 0),
    String(announcement?.load?.running ?? 0),
    `${ageMs} ms`,
  ]);
}

function chooseExitCode(statuses: readonly (IMemberStatus | IEntryStatus)[]): number {
  const failures = statuses.flatMap(({ status }) => (status.err ? [status.val.kind] : []));
  if (failures.length < statuses.length) {
    return EXIT_CODE.ok;
  }
  return failures.includes('forbidden') ? EXIT_CODE.refused : EXIT_CODE.unknown;
}

/** Prints one row for every given address; a process that does not answer is shown with the reason. */
export async function showStatus(input: ICommandInput, context: ICommandContext): Promise<number> {
  return useClients(input, context, async (clients) => {
    const signal = deriveTimeoutSignal(context.signal, getTimeoutMs(input));
    const [members, entries] = await Promise.all([
      fetchMemberStatus(clients, input.getList('control'), signal),
      fetchEntryStatus(clients, input.getList('entries'), signal),
    ]);
    const data = { control: members.map(convertMember), entries: entries.map(convertEntry) };
    const lines = renderTable(MEMBER_HEADER, members.map(renderMember));
    if (entries.length > 0) {
      lines.push('', ...renderTable(ENTRY_HEADER, entries.map(renderEntry)));
    }
    if (input.hasFlag('targets')) {
      lines.push('', ...renderTable(TARGET_HEADER, entries.flatMap(renderTargets)));
    }
    printResult(input, context, data, lines);
    return chooseExitCode(members);
  });
}
