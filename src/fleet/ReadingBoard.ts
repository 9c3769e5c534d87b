/** The hub's list of targets that have lately read large prompt parts; bounded in size and in each answer. */
import type { PromptReading } from '../gen/redwingwharf/v1/fleet_pb.js';

/** Readings that are kept; at 200 a second these are the last 10 s, in which engines drop most parts. */
const MAX_KEPT = 2_000;

/** Readings in one answer, about 30 bytes each; of more the newest are told. */
const MAX_LISTED = 128;

interface IBoardEntry {
  readonly reading: PromptReading;
  readonly reporter: string;
  readonly revision: number;
}

/** Readings after a revision, oldest first. */
export interface IBoardNews {
  readonly revision: number;
  readonly readings: readonly PromptReading[];
}

export class ReadingBoard {
  /** By part and target, the oldest first. */
  private readonly _entries = new Map<string, IBoardEntry>();
  private _revision = 0;

  public take(reporter: string, readings: readonly PromptReading[]): void {
    for (const reading of readings) {
      const key = `${reading.part}/${reading.target}`;
      this._revision += 1;
      this._entries.delete(key);
      this._entries.set(key, { reading, reporter, revision: this._revision });
    }
    for (const key of this._entries.keys()) {
      if (this._entries.size <= MAX_KEPT) {
        break;
      }
      this._entries.delete(key);
    }
  }

  /** What others than the asking process have reported after a revision. */
  public listNews(asker: string, since: number): IBoardNews {
    const fresh: PromptReading[] = [];
    const newestFirst = [...this._entries.values()].reverse();
    for (const { reading, reporter, revision } of newestFirst) {
      if (revision <= since || fresh.length >= MAX_LISTED) {
        break;
      }
      if (reporter !== asker) {
        fresh.push(reading);
      }
    }
    return { revision: this._revision, readings: fresh.reverse() };
  }
}
