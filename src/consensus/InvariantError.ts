/** A state that correct members never reach. The member stops instead of spreading it. */
export class InvariantError extends Error {
  constructor(message: string) {
    super(`${message}. This member stopped; keep its data directory and report the fault.`);
    this.name = 'InvariantError';
  }
}
