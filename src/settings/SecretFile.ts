/** The cluster secret, read from a file of its own so that settings files can be shared. */
import { readFile } from 'node:fs/promises';
import { describeError } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { IProblem } from './Types.js';

/** Shorter secrets can be guessed. */
const MIN_SECRET_CHARACTERS = 16;

/** The secret travels in a header, so it has printable ASCII characters without spaces. */
const SECRET_PATTERN = /^[\x21-\x7e]+$/;

/**
 * Reads the cluster secret; white space around it is dropped.
 *
 * @example
 * const secret = await readSecretFile('/etc/redwingwharf/cluster-secret');
 */
export async function readSecretFile(file: string): Promise<Result<string, IProblem>> {
  const failed = (message: string, remedy: string): Result<string, IProblem> =>
    Err({ file, pointer: '', message, remedy });
  let secret: string;
  try {
    secret = (await readFile(file, 'utf8')).trim();
  } catch (error) {
    const message = `the cluster secret cannot be read (${describeError(error)})`;
    return failed(message, 'Check the path and that this user may read the file.');
  }
  if (secret.length < MIN_SECRET_CHARACTERS) {
    const message = `the cluster secret has ${secret.length} characters, fewer than ${MIN_SECRET_CHARACTERS}`;
    return failed(
      message,
      'Generate one with "openssl rand -hex 32" and give it to all processes.',
    );
  }
  if (!SECRET_PATTERN.test(secret)) {
    const message = 'the cluster secret has characters that a header cannot carry';
    return failed(message, 'Use printable ASCII characters without spaces, on one line.');
  }
  return Ok(secret);
}
