/** Results of operations that can fail in expected ways, in place of exceptions. */
export { Err, Ok, type Result } from 'ts-results';

/** An expected failure: a typed kind, and a message that says what to do about it. */
export interface IFailure<K extends string> {
  readonly kind: K;
  readonly message: string;
}
