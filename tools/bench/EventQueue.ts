/** Event queue of the discrete-event simulation. */

interface ITimedEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: (now: number) => void;
}

function isBefore(left: ITimedEvent, right: ITimedEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}

/**
 * Runs functions in the order of their simulated time, from a binary heap. Events of the same time
 * run in the order of their insertion, so that a run can be repeated.
 */
export class EventQueue {
  private readonly _heap: ITimedEvent[] = [];
  private _sequence = 0;

  /** Schedules a function at a simulated time in milliseconds. */
  public schedule(at: number, run: (now: number) => void): void {
    const event = { at, sequence: this._sequence++, run };
    let index = this._heap.length;
    this._heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = this._heap[parent];
      if (parentEvent === undefined || isBefore(parentEvent, event)) {
        break;
      }
      this._heap[index] = parentEvent;
      index = parent;
    }
    this._heap[index] = event;
  }

  /** Runs events, also those that events schedule, until none is left. */
  public runAll(): void {
    for (let event = this._pop(); event !== undefined; event = this._pop()) {
      event.run(event.at);
    }
  }

  private _pop(): ITimedEvent | undefined {
    const first = this._heap[0];
    const last = this._heap.pop();
    if (first === undefined || last === undefined || this._heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      const child = this._findLesserChild(index);
      const childEvent = this._heap[child];
      if (childEvent === undefined || !isBefore(childEvent, last)) {
        break;
      }
      this._heap[index] = childEvent;
      index = child;
    }
    this._heap[index] = last;
    return first;
  }

  private _findLesserChild(index: number): number {
    const left = this._heap[2 * index + 1];
    const right = this._heap[2 * index + 2];
    const isRight = left !== undefined && right !== undefined && isBefore(right, left);
    return isRight ? 2 * index + 2 : 2 * index + 1;
  }
}
