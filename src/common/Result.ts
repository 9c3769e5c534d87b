/** Results of operations that are expected to fail at times. */
export { Err, Ok, type Result } from 'ts-results';

/** An expected failure: a typed kind and a message that names the remedy. */
export interface IFailure<K extends string> {
  readonly kind: K;
  readonly message: string;
}
