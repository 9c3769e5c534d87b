/** Builds the control role: replicated log, state and node. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { IClock } from '../common/Clock.js';
import type { ILog } from '../common/Log.js';
import type { RpcClients } from '../common/Rpc.js';
import { SoloLog } from '../consensus/SoloLog.js';
import { ControlNode } from '../control/ControlNode.js';
import type { IControlRole } from '../settings/Types.js';
import { ControlState } from '../state/ControlState.js';

/** One control member. */
export class ControlRole {
  public readonly node: ControlNode;

  constructor(_role: IControlRole, address: string, _rpc: RpcClients, clock: IClock, _log: ILog) {
    const state = new ControlState();
    this.node = new ControlNode(new SoloLog(state, clock, address), state, clock, address);
  }

  /** Opens the disk; fails when it is damaged or in use. */
  public open(_signal: AbortSignal): Promise<void> {
    return Promise.resolve();
  }

  public run(_signal: AbortSignal): Promise<void> {
    return Promise.resolve();
  }

  public registerRpc(router: ConnectRouter): void {
    this.node.registerRpc(router);
  }

  public dispose(): Promise<void> {
    return Promise.resolve();
  }
}
