/** The hub's list of the targets that have computed large prompt parts lately. */
import type { PromptReading } from '../gen/redwingwharf/v1/fleet_pb.js';

/** At 200 readings a second these cover the last 10 s, within which engines evict most prompt parts. */
const MAX_READINGS = 2_000;

/** Readings in one answer, about 30 bytes each; if there are more, the newest are returned. */
const MAX_READINGS_PER_ANSWER = 128;

interface IReadingEntry {
  readonly reading: PromptReading;
  readonly reporter: string;
  readonly revision: number;
}

/** Readings of other processes that were added after a revision, oldest first. */
export interface IReadingDelta {
  readonly revision: number;
  readonly readings: readonly PromptReading[];
}

/** Keeps the newest reading of each prompt part and target. Bounded in total and for each answer. */
export class RecentReadings {
  /** By prompt part and target, oldest first. */
  private readonly _entries = new Map<string, IReadingEntry>();
  private _revision = 0;

  public add(reporter: string, readings: readonly PromptReading[]): void {
    for (const reading of readings) {
      const key = `${reading.part}/${reading.target}`;
      this._revision += 1;
      this._entries.delete(key);
      this._entries.set(key, { reading, reporter, revision: this._revision });
    }
    for (const key of this._entries.keys()) {
      if (this._entries.size <= MAX_READINGS) {
        break;
      }
      this._entries.delete(key);
    }
  }

  /** The newest readings that processes other than the requesting one reported after a revision. */
  public listSince(requestingNode: string, since: number): IReadingDelta {
    const readings: PromptReading[] = [];
    const newestFirst = [...this._entries.values()].reverse();
    for (const { reading, reporter, revision } of newestFirst) {
      if (revision <= since || readings.length >= MAX_READINGS_PER_ANSWER) {
        break;
      }
      if (reporter !== requestingNode) {
        readings.push(reading);
      }
    }
    return { revision: this._revision, readings: readings.reverse() };
  }
}
