/** Reads the cluster secret. It has a file of its own, so that settings files can be shared without it. */
import { readFile } from 'node:fs/promises';
import { describeError } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { IProblem } from './Types.js';

/** Shorter secrets could be found by brute force. */
const MIN_SECRET_CHARACTERS = 16;

/** The secret is sent in a header, so it may contain only printable ASCII characters without spaces. */
const SECRET_PATTERN = /^[\x21-\x7e]+$/;

/**
 * Reads the cluster secret and trims white space around it. Error messages never contain the secret.
 *
 * @example
 * const secret = await readSecretFile('/etc/redwingwharf/cluster-secret');
 */
export async function readSecretFile(file: string): Promise<Result<string, IProblem>> {
  const fail = (message: string, remedy: string): Result<string, IProblem> =>
    Err({ file, pointer: '', message, remedy });
  let secret: string;
  try {
    secret = (await readFile(file, 'utf8')).trim();
  } catch (error) {
    const message = `the cluster secret cannot be read (${describeError(error)})`;
    return fail(message, 'Check the path and that this user may read the file.');
  }
  if (secret.length < MIN_SECRET_CHARACTERS) {
    const message = `the cluster secret has ${secret.length} characters, fewer than ${MIN_SECRET_CHARACTERS}`;
    return fail(message, 'Generate one with "openssl rand -hex 32" and give it to all processes.');
  }
  if (!SECRET_PATTERN.test(secret)) {
    const message = 'the cluster secret has characters that a header cannot carry';
    return fail(message, 'Use printable ASCII characters without spaces, on one line.');
  }
  return Ok(secret);
}
