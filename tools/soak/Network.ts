/** Cuts and slows connections between processes through the files that NetworkPreload.ts reads. */
import { renameSync, writeFileSync } from 'node:fs';
import type { Deployment } from '../harness/Deployment.js';

/** What happens to connections that one process opens to another. */
export interface IDisturbance {
  readonly holdSent?: boolean;
  readonly holdReceived?: boolean;
  readonly delayMs?: number;
}

export class Network {
  private readonly _disturbances = new Map<string, Map<string, IDisturbance>>();

  constructor(private readonly _deployment: Deployment) {}

  /** Disturbs connections that `from` opens to `to`; both are entries or sidecars. */
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

/** Renames the file into place, so that the process never reads half of it. */
export function writeNetworkFile(file: string, content: object): void {
  writeFileSync(`${file}.new`, JSON.stringify(content));
  renameSync(`${file}.new`, file);
}
