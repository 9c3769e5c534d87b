/** Ownership and events. */

/** Something that holds resources until it is disposed of. */
export interface IDisposable {
  dispose(): void;
}

/** Subscribes a listener; the result ends the subscription. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable;

/**
 * Source of one event.
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
