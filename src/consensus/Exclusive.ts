/** Runs asynchronous steps one after another, in the order of the calls. */
export class Exclusive {
  private _last: Promise<unknown> = Promise.resolve();

  public run<T>(step: () => Promise<T>): Promise<T> {
    const result = this._last.then(step, step);
    this._last = result.catch(() => undefined);
    return result;
  }
}
