/** Child processes of a deployment. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { once } from 'node:events';

/** Node.js process that the constructor starts; its output is appended to a log file. */
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

  /** Sends a signal, for example SIGSTOP to suspend the process and SIGCONT to continue it. */
  public signal(signal: NodeJS.Signals): void {
    this._process.kill(signal);
  }

  /**
   * Sends a signal and waits for the exit. A suspended process is continued, so that it handles the
   * signal.
   */
  public async stop(signal: NodeJS.Signals): Promise<void> {
    if (!this.isRunning) {
      return;
    }
    const exit = once(this._process, 'exit');
    this._process.kill(signal);
    if (signal !== 'SIGKILL') {
      this._process.kill('SIGCONT');
    }
    await exit;
  }
}
