/** Command `drain`: takes entries or targets out of service without interrupting requests. */
import type { RpcClients } from '../../common/Rpc.js';
import { deriveTimeoutSignal } from '../../common/Tasks.js';
import { RosterService, SidecarService } from '../../gen/redwingwharf/v1/control_pb.js';
import { describeReadError, getTimeoutMs, useClients } from '../ControlAccess.js';
import { getControlExitCode, printResult, renderTable, reportFailure } from '../Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from '../Types.js';

interface IDrainTask {
  readonly role: 'entry' | 'sidecar';
  readonly address: string;
}

async function startDrain(
  clients: RpcClients,
  { role, address }: IDrainTask,
  signal: AbortSignal,
): Promise<number> {
  const response =
    role === 'entry'
      ? await clients.get(RosterService, address).drain({}, { signal })
      : await clients.get(SidecarService, address).drainTarget({}, { signal });
  return response.openRequests;
}

/** Starts draining each process and prints its open requests. Draining it again has no further effect. */
export async function drainProcesses(
  input: ICommandInput,
  context: ICommandContext,
): Promise<number> {
  const tasks: IDrainTask[] = [
    ...input.getList('entries').map((address) => ({ role: 'entry' as const, address })),
    ...input.getList('sidecar').map((address) => ({ role: 'sidecar' as const, address })),
  ];
  if (tasks.length === 0) {
    const message = 'Give --entries or --sidecar with the addresses to drain.';
    reportFailure(input, context, { kind: 'usage', message });
    return EXIT_CODE.usage;
  }
  return useClients(input, context, async (clients) => {
    const signal = deriveTimeoutSignal(context.signal, getTimeoutMs(input));
    let exitCode: number = EXIT_CODE.ok;
    const drained: (IDrainTask & { readonly openRequests: number })[] = [];
    for (const task of tasks) {
      try {
        drained.push({ ...task, openRequests: await startDrain(clients, task, signal) });
      } catch (error) {
        const failure = describeReadError(task.address, error);
        context.output.warn(`${failure.message} Draining may have begun; run the command again.`);
        exitCode = getControlExitCode(failure);
      }
    }
    const rows = drained.map((drainedProcess) => [
      drainedProcess.role,
      drainedProcess.address,
      String(drainedProcess.openRequests),
    ]);
    const lines = renderTable(['ROLE', 'ADDRESS', 'OPEN REQUESTS'], rows);
    printResult(input, context, { drained }, drained.length === 0 ? [] : lines);
    return exitCode;
  });
}
