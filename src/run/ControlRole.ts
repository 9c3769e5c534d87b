/** The control role of a process. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import { SuspensionDetector } from '../common/Suspension.js';
import type { RpcClients } from '../common/Rpc.js';
import { bootstrapDataDirectory, ReplicatedLog } from '../consensus/ReplicatedLog.js';
import { DEFAULT_TIMINGS } from '../consensus/Timings.js';
import { RpcConsensusTransport } from '../consensus/Transport.js';
import { ControlNode } from '../control/ControlNode.js';
import { ConsensusService } from '../gen/redwingwharf/v1/consensus_pb.js';
import { Err, Ok, type IFailure, type Result } from '../common/Result.js';
import { encodeHex } from '../common/Hashes.js';
import type { IControlRoleSettings, ILoadedSettings } from '../settings/Types.js';
import { ControlState } from '../state/ControlState.js';
import { DataDirectory } from '../storage/DataDirectory.js';

/** Builds, runs and disposes of one control member: data directory, replicated log, state and node. */
export class ControlRole {
  private constructor(
    public readonly node: ControlNode,
    private readonly _replicatedLog: ReplicatedLog,
    private readonly _dataDirectory: DataDirectory,
  ) {}

  /** Opens the data directory; throws an error that names the remedy if it is damaged or in use. */
  public static async open(
    role: IControlRoleSettings,
    address: string,
    rpc: RpcClients,
    clock: IClock,
    log: ILog,
  ): Promise<ControlRole> {
    const state = new ControlState();
    const directory = await DataDirectory.open(role.dataFolder);
    const opened = await ReplicatedLog.open(directory, {
      memberId: role.memberId,
      address,
      listPeers: () => role.peers,
      machine: state,
      transport: new RpcConsensusTransport(rpc),
      clock,
      suspensions: new SuspensionDetector(),
      log,
      timings: DEFAULT_TIMINGS,
      random: Math.random,
    });
    if (opened.err) {
      await directory.close();
      throw opened.val;
    }
    const node = new ControlNode(opened.val, state, clock, address);
    opened.val.onRoleChange(({ role: memberRole, term, leaderAddress }) => {
      log.info('control role changed', { role: memberRole, term, leaderAddress });
    });
    return new ControlRole(node, opened.val, directory);
  }

  /** Takes part in the consensus group until the signal is aborted; rejects when the member fails. */
  public async run(signal: AbortSignal): Promise<void> {
    this._replicatedLog.start();
    await new Promise<void>((resolve, reject) => {
      this._replicatedLog.onFailure((error) => {
        reject(error instanceof Error ? error : new Error(String(error)));
      });
      signal.addEventListener('abort', () => {
        resolve();
      });
    });
  }

  public registerRpc(router: ConnectRouter): void {
    this.node.registerRpc(router);
    router.service(ConsensusService, this._replicatedLog.handlers);
  }

  public async dispose(): Promise<void> {
    await this._replicatedLog.stop();
    await this._dataDirectory.close();
  }
}

/** Reasons for which a data directory is not initialised. */
export type InitialiseFailure = IFailure<'not_empty' | 'unwritable' | 'no_control_role'>;

/**
 * Bootstraps a new consensus group in the data directory of the control member that the settings describe.
 * Returns the id of the cluster in hexadecimal.
 */
export async function initialiseControlMember(
  settings: ILoadedSettings,
): Promise<Result<string, InitialiseFailure>> {
  const { control, internal } = settings;
  if (control === undefined) {
    const message = 'The settings have no control role; use those of a control member.';
    return Err({ kind: 'no_control_role', message });
  }
  const result = await bootstrapDataDirectory(control.dataFolder, control.memberId, internal);
  if (result.ok) {
    return Ok(encodeHex(result.val.clusterId));
  }
  const { kind, message } = result.val;
  return Err({ kind: kind === 'not_empty' ? 'not_empty' : 'unwritable', message });
}
