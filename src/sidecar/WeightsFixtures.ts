/** Fakes for tests of the weights reconciliation: control, engine, feed and sidecar. */
import { create, toBinary } from '@bufbuild/protobuf';
import type { IClock } from '../common/Clock.js';
import { SILENT_LOG } from '../common/Log.js';
import { Err, Ok, type Result } from '../common/Result.js';
import type { ControlFailure } from '../control/ControlClient.js';
import type { IFeed } from '../feed/Types.js';
import {
  DesiredWeightsSchema,
  ItemSchema,
  LoadSlotCommandSchema,
  type Item,
  type LoadSlotResult,
} from '../gen/redwingwharf/v1/state_pb.js';
import { LoadSlots } from '../state/LoadSlots.js';
import {
  explainMismatch,
  type IEngineClient,
  type IEngineState,
  type ILoadCommand,
  type LoadOutcome,
} from './EngineClient.js';
import type { ILoadSlots } from './LoadSlotClient.js';
import type { IPeerCount, ITargetAdmission } from './TargetAdmission.js';
import {
  WEIGHTS_TIMINGS,
  WeightsReconciler,
  type IWeightsServices,
  type IWeightsTimings,
} from './WeightsReconciler.js';

/** Control leader of one cluster; executes load slot commands on the real `LoadSlots`. */
export class TestControl {
  public commandCount = 0;
  public index = 100;
  public isReachable = true;
  public desiredVersion = 'w1';
  private readonly _slots = new LoadSlots();

  constructor(private readonly _clock: IClock) {}

  public execute(
    holder: Uint8Array,
    target: string,
    version: string,
    release: boolean,
  ): Result<LoadSlotResult, ControlFailure> {
    this.commandCount += 1;
    if (!this.isReachable) {
      return Err({ kind: 'unreachable', message: 'no leader' });
    }
    this.index += 1;
    const command = create(LoadSlotCommandSchema, {
      target,
      sidecarIncarnation: holder,
      version,
      release,
    });
    return Ok(this._slots.apply(command, this.index, Math.floor(this._clock.now())));
  }
}

/** Feed copy of one sidecar process, which is updated only by `sync`. */
export class TestFeed implements IFeed {
  public readonly version = 1;
  public readonly onChange = (): { dispose: () => void } => ({ dispose: () => undefined });
  public confirmedAt: number | undefined;
  public desiredVersion = 'w1';
  public revision = 100;

  constructor(
    private readonly _control: TestControl,
    private readonly _clock: IClock,
  ) {
    this.sync();
  }

  /** Copies the current state from the control fake. */
  public sync(): void {
    this.confirmedAt = this._clock.now();
    this.desiredVersion = this._control.desiredVersion;
    this.revision = this._control.index;
  }

  public getConfirmedAt(): number | undefined {
    return this.confirmedAt;
  }

  public getItem(key: string): Item {
    const value = create(DesiredWeightsSchema, { model: 'm', version: this.desiredVersion });
    return create(ItemSchema, { key, value: toBinary(DesiredWeightsSchema, value) });
  }

  public listItems(): Item[] {
    return [];
  }
}

/** Engine whose loads end when the promise passed by the test resolves. */
export class TestEngine {
  public static loadingCount = 0;
  public static maxLoadingCount = 0;
  public incarnation = 'engine-a';
  public weightsVersion = 'w1';
  public highestFence = 0n;
  /** Commands that were executed. */
  public readonly loaded: { readonly version: string; readonly fence: bigint }[] = [];
  /** Number of commands that arrived, including refused ones. */
  public arrivedCount = 0;

  constructor(
    public readonly mode: 'strict' | 'ignore' = 'strict',
    private readonly _wait: () => Promise<void> = () => Promise.resolve(),
  ) {}

  public describe(): IEngineState {
    // An engine that ignores fencing tokens does not report them either.
    const highestFence = this.mode === 'strict' ? this.highestFence : undefined;
    const { incarnation, weightsVersion } = this;
    return { incarnation, weightsVersion, highestFence };
  }

  public async load(version: string, fence: bigint): Promise<LoadOutcome> {
    this.arrivedCount += 1;
    if (this.mode === 'strict' && fence < this.highestFence) {
      return { kind: 'refused', highestFence: this.highestFence };
    }
    this.highestFence = fence > this.highestFence ? fence : this.highestFence;
    const { incarnation } = this;
    TestEngine.loadingCount += 1;
    TestEngine.maxLoadingCount = Math.max(TestEngine.maxLoadingCount, TestEngine.loadingCount);
    await this._wait();
    TestEngine.loadingCount -= 1;
    if (this.incarnation !== incarnation) {
      return { kind: 'unknown', reason: 'connection reset' };
    }
    this.weightsVersion = version;
    this.loaded.push({ version, fence });
    return { kind: 'done' };
  }
}

/** One sidecar process with a real reconciler and fakes for its dependencies. */
export class TestSidecar implements ILoadSlots, IEngineClient, ITargetAdmission {
  public readonly feed: TestFeed;
  public readonly reconciler: WeightsReconciler;
  public readonly isHealthy = true;
  public isDrainRequested = false;
  public isPaused = false;
  public openCount = 0;
  public getPeerCount: () => IPeerCount = () => ({ total: 0, serving: 0 });
  /**
   * Simulate a frozen process: `slotWait` delays the answer to a slot request, `checkWait` the last
   * check.
   */
  public slotWait: Promise<void> = Promise.resolve();
  public checkWait: Promise<void> = Promise.resolve();
  /** State of the admission at each command that was sent. */
  public readonly statesAtSend: { readonly isPaused: boolean; readonly openCount: number }[] = [];

  constructor(
    private readonly _id: string,
    private readonly _incarnation: number,
    private readonly _control: TestControl,
    public readonly engine: TestEngine,
    clock: IClock,
    timings: Partial<IWeightsTimings> = {},
  ) {
    this.feed = new TestFeed(_control, clock);
    const services: IWeightsServices = {
      feed: this.feed,
      slots: this,
      engine: this,
      admission: this,
      clock,
      log: SILENT_LOG,
    };
    this.reconciler = new WeightsReconciler('m', services, { ...WEIGHTS_TIMINGS, ...timings });
  }

  public get weightsVersion(): string {
    return this.engine.weightsVersion;
  }

  public async acquire(version: string): Promise<Result<LoadSlotResult, ControlFailure>> {
    const result = this._execute(version, false);
    await this.slotWait;
    return result;
  }

  public release(version: string): Promise<Result<void, ControlFailure>> {
    const released = this._execute(version, true);
    return Promise.resolve(released.ok ? Ok(undefined) : Err(released.val));
  }

  public readState(): Promise<IEngineState> {
    return Promise.resolve(this.engine.describe());
  }

  public async loadWeights(
    command: ILoadCommand,
    maySend: () => boolean,
    signal: AbortSignal,
  ): Promise<LoadOutcome> {
    const mismatch = explainMismatch(this.engine.describe(), command);
    await this.checkWait;
    if (mismatch !== undefined || !maySend()) {
      return { kind: 'not_sent', reason: mismatch ?? 'not allowed' };
    }
    this.statesAtSend.push({ isPaused: this.isPaused, openCount: this.openCount });
    const aborted = new Promise<LoadOutcome>((resolve) => {
      signal.addEventListener('abort', () => {
        resolve({ kind: 'unknown', reason: 'aborted' });
      });
    });
    return Promise.race([this.engine.load(command.version, command.fence), aborted]);
  }

  public pauseAdmission(): void {
    this.isPaused = true;
  }

  public resumeAdmission(): Promise<void> {
    this.isPaused = false;
    return Promise.resolve();
  }

  public countPeers(): Promise<IPeerCount> {
    return Promise.resolve(this.getPeerCount());
  }

  private _execute(version: string, release: boolean): Result<LoadSlotResult, ControlFailure> {
    return this._control.execute(Uint8Array.of(this._incarnation), this._id, version, release);
  }
}

/** A promise that a test resolves by calling `open`. */
export class TestGate {
  public open: () => void = () => undefined;
  public readonly opened = new Promise<void>((resolve) => {
    this.open = resolve;
  });
}
