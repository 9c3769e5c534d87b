/** A child process whose output goes to a log file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { once } from 'node:events';

/** One running child. */
export class Child {
  private readonly _process: ChildProcess;

  constructor(
    public readonly name: string,
    args: readonly string[],
    logFile: string,
    environment: Readonly<Record<string, string>> = {},
  ) {
    const output = openSync(logFile, 'a');
    this._process = spawn(process.execPath, [...args], {
      stdio: ['ignore', output, output],
      env: { ...process.env, ...environment },
    });
    closeSync(output);
  }

  public get pid(): number | undefined {
    return this._process.pid;
  }

  public get isRunning(): boolean {
    return this._process.exitCode === null && this._process.signalCode === null;
  }

  public get exitCode(): number | null {
    return this._process.exitCode;
  }

  /** Sends a signal, for instance SIGSTOP and SIGCONT for a freeze. */
  public signal(signal: NodeJS.Signals): void {
    this._process.kill(signal);
  }

  /** Sends a signal and waits for the end. */
  public async stop(signal: NodeJS.Signals): Promise<void> {
    if (!this.isRunning) {
      return;
    }
    const ended = once(this._process, 'exit');
    this._process.kill(signal);
    if (signal !== 'SIGKILL') {
      this._process.kill('SIGCONT');
    }
    await ended;
  }
}
