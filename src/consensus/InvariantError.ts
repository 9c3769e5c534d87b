/**
 * A violated safety invariant, such as two leaders in one term. The member stops, so that an inconsistent
 * state does not reach other members.
 */
export class InvariantError extends Error {
  constructor(message: string) {
    super(`${message}. This member stopped; keep its data directory and report the fault.`);
    this.name = 'InvariantError';
  }
}
