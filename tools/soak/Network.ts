/** Cuts and delays connections between processes through the files that NetworkPreload.ts reads. */
import { renameSync, writeFileSync } from 'node:fs';
import type { Deployment } from '../harness/Deployment.js';

/** Disturbance of the connections that one process opens to another. */
export interface IDisturbance {
  /** Holds back the data that the process sends. */
  readonly holdSent?: boolean;
  /** Holds back the data that the process receives. */
  readonly holdReceived?: boolean;
  /** Delay of the data in each direction. */
  readonly delayMs?: number;
}

/** Disturbances that are in effect in a deployment. */
export class Network {
  /** By the process that opens the connections, then by the port of the other process. */
  private readonly _disturbances = new Map<string, Map<string, IDisturbance>>();

  constructor(private readonly _deployment: Deployment) {}

  /** Disturbs the connections that `from` opens to `to`; both are names of entries or sidecars. */
  public inject(from: string, to: string, disturbance: IDisturbance): void {
    const ports = this._disturbances.get(from) ?? new Map<string, IDisturbance>();
    this._disturbances.set(from, ports.set(this._getPort(to), disturbance));
    this._writeFile(from);
  }

  public restore(from: string, to: string): void {
    this._disturbances.get(from)?.delete(this._getPort(to));
    this._writeFile(from);
  }

  public restoreAll(): void {
    for (const from of this._disturbances.keys()) {
      this._disturbances.get(from)?.clear();
      this._writeFile(from);
    }
  }

  private _getPort(name: string): string {
    const address = this._deployment.getInternalAddress(name.replace(/^sidecar-/, ''));
    return address.slice(address.lastIndexOf(':') + 1);
  }

  private _writeFile(from: string): void {
    const file = this._deployment.getNetworkFile(from);
    writeNetworkFile(file, Object.fromEntries(this._disturbances.get(from) ?? []));
  }
}

/** Writes a new file and renames it, so that the process never reads an incomplete one. */
export function writeNetworkFile(file: string, content: object): void {
  writeFileSync(`${file}.new`, JSON.stringify(content));
  renameSync(`${file}.new`, file);
}
