/** Runs asynchronous steps one at a time, in the order of the calls. A failed step blocks no later one. */
export class Mutex {
  private _last: Promise<unknown> = Promise.resolve();

  public run<T>(step: () => Promise<T>): Promise<T> {
    const result = this._last.then(step, step);
    this._last = result.catch(() => undefined);
    return result;
  }
}
