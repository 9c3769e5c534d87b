/** Guards against an exception of one connection that ends all requests of a process. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { watchFatalErrors } from './FatalErrors.js';

/** Runs a process that prints what it sees until it ends. */
async function runProcess(body: string): Promise<{ code: unknown; lines: string[] }> {
  const script = `
    const MAX_LOGGED = 20;
    const keepAlive = setInterval(() => undefined, 1000);
    (${watchFatalErrors.toString()})(
      process,
      400,
      (error) => console.log('error ' + error.message),
      () => {
        console.log('stopping');
        if (!globalThis.hangs) {
          setTimeout(() => { console.log('answered'); process.exit(1); }, 150);
        }
      },
    );
    ${body}`;
  const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'inherit'] });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const [code] = (await once(child, 'close')) as unknown[];
  return { code, lines: output.trim().split('\n') };
}

describe('watchFatalErrors', () => {
  it('lets a process answer what it has before it exits', async () => {
    const result = await runProcess("setTimeout(() => { throw new Error('one'); }, 10);");
    expect(result).toEqual({ code: 1, lines: ['error one', 'stopping', 'answered'] });
  });

  it('handles a rejection that nothing handles', async () => {
    const result = await runProcess("void Promise.reject(new Error('one'));");
    expect(result).toEqual({ code: 1, lines: ['error one', 'stopping', 'answered'] });
  });

  it('stops once for several exceptions, and logs a bounded number', async () => {
    const result = await runProcess(
      "for (let n = 0; n < 50; n += 1) setTimeout(() => { throw new Error('x'); }, n);",
    );
    expect(result.lines.filter((line) => line === 'error x')).toHaveLength(20);
    expect(result.lines.filter((line) => line !== 'error x')).toEqual(['stopping', 'answered']);
  });

  it('ends a process that does not stop', async () => {
    const startedAt = performance.now();
    const result = await runProcess(
      "globalThis.hangs = true; setTimeout(() => { throw new Error('one'); }, 10);",
    );
    expect(result).toEqual({ code: 1, lines: ['error one', 'stopping'] });
    expect(performance.now() - startedAt).toBeGreaterThan(400);
  });
});
