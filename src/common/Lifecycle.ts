/** Disposal of resources, and events within a process. */

/** An object that holds resources, such as timers and subscriptions, until it is disposed of. */
export interface IDisposable {
  dispose(): void;
}

/** Subscribes a listener; disposing of the result ends the subscription. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable;

/**
 * Source of one event: calls its listeners synchronously, in the order of their subscription.
 *
 * @example
 * const emitter = new Emitter<number>();
 * const subscription = emitter.onFire((n) => { console.log(n); });
 * emitter.fire(1);
 * subscription.dispose();
 */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>();

  public readonly onFire: IEvent<T> = (listener) => {
    this._listeners.add(listener);
    return { dispose: () => void this._listeners.delete(listener) };
  };

  public fire(value: T): void {
    for (const listener of [...this._listeners]) {
      listener(value);
    }
  }

  public dispose(): void {
    this._listeners.clear();
  }
}
