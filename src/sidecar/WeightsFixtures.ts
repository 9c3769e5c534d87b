/** Stand-ins for tests of the weights reconciliation: control, engine, feed and target. */
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
  type IEngineOrders,
  type IEngineState,
  type ILoadOrder,
  type OrderOutcome,
} from './EngineOrders.js';
import type { ILoadSlots } from './LoadSlotClient.js';
import type { IPeerCount, ITargetWork } from './TargetWork.js';
import {
  WEIGHTS_TIMINGS,
  WeightsReconciler,
  type IWeightsServices,
  type IWeightsTimings,
} from './WeightsReconciler.js';

/** Control state of one cluster with the real load slots. */
export class TestControl {
  public commands = 0;
  public index = 100;
  public isReachable = true;
  public desired = 'w1';
  private readonly _slots = new LoadSlots();

  constructor(private readonly _clock: IClock) {}

  public execute(
    holder: Uint8Array,
    target: string,
    version: string,
    release: boolean,
  ): Result<LoadSlotResult, ControlFailure> {
    this.commands += 1;
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

/** Configuration copy of one sidecar process. */
export class TestFeed implements IFeed {
  public readonly version = 1;
  public readonly onChange = (): { dispose: () => void } => ({ dispose: () => undefined });
  public confirmedAt: number | undefined;
  public desired = 'w1';
  public revision = 100;

  constructor(
    private readonly _control: TestControl,
    private readonly _clock: IClock,
  ) {
    this.sync();
  }

  /** Copies the state of control. */
  public sync(): void {
    this.confirmedAt = this._clock.now();
    this.desired = this._control.desired;
    this.revision = this._control.index;
  }

  public getConfirmedAt(): number | undefined {
    return this.confirmedAt;
  }

  public getItem(key: string): Item {
    const value = create(DesiredWeightsSchema, { model: 'm', version: this.desired });
    return create(ItemSchema, { key, value: toBinary(DesiredWeightsSchema, value) });
  }

  public listItems(): Item[] {
    return [];
  }
}

/** Engine that carries commands out when a test lets it. */
export class TestEngine {
  public static loading = 0;
  public static mostLoading = 0;
  public incarnation = 'engine-a';
  public weightsVersion = 'w1';
  public highestFence = 0n;
  /** Commands that were carried out. */
  public readonly loaded: { readonly version: string; readonly fence: bigint }[] = [];
  /** Commands that arrived. */
  public arrived = 0;

  constructor(
    public readonly mode: 'strict' | 'ignore' = 'strict',
    private readonly _wait: () => Promise<void> = () => Promise.resolve(),
  ) {}

  public describe(): IEngineState {
    // An engine that ignores tokens doesn't report them either.
    const highestFence = this.mode === 'strict' ? this.highestFence : undefined;
    const { incarnation, weightsVersion } = this;
    return { incarnation, weightsVersion, highestFence };
  }

  public async load(version: string, fence: bigint): Promise<OrderOutcome> {
    this.arrived += 1;
    if (this.mode === 'strict' && fence < this.highestFence) {
      return { kind: 'refused', highestFence: this.highestFence };
    }
    this.highestFence = fence > this.highestFence ? fence : this.highestFence;
    const { incarnation } = this;
    TestEngine.loading += 1;
    TestEngine.mostLoading = Math.max(TestEngine.mostLoading, TestEngine.loading);
    await this._wait();
    TestEngine.loading -= 1;
    if (this.incarnation !== incarnation) {
      return { kind: 'unknown', reason: 'connection reset' };
    }
    this.weightsVersion = version;
    this.loaded.push({ version, fence });
    return { kind: 'done' };
  }
}

/** One sidecar process beside an engine. */
export class TestSidecar implements ILoadSlots, IEngineOrders, ITargetWork {
  public readonly feed: TestFeed;
  public readonly reconciler: WeightsReconciler;
  public readonly isHealthy = true;
  public isLeaving = false;
  public isHeld = false;
  public open = 0;
  public getPeers: () => IPeerCount = () => ({ known: 0, serving: 0 });
  /** Waits of a frozen process: before the answer to a slot request and before the last check. */
  public slotWait: Promise<void> = Promise.resolve();
  public checkWait: Promise<void> = Promise.resolve();
  /** What was open or held when a command was written. */
  public readonly sentWhile: { readonly isHeld: boolean; readonly open: number }[] = [];

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
      work: this,
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

  public async load(
    order: ILoadOrder,
    maySend: () => boolean,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    const mismatch = explainMismatch(this.engine.describe(), order);
    await this.checkWait;
    if (mismatch !== undefined || !maySend()) {
      return { kind: 'not_sent', reason: mismatch ?? 'not allowed' };
    }
    this.sentWhile.push({ isHeld: this.isHeld, open: this.open });
    const aborted = new Promise<OrderOutcome>((resolve) => {
      signal.addEventListener('abort', () => {
        resolve({ kind: 'unknown', reason: 'aborted' });
      });
    });
    return Promise.race([this.engine.load(order.version, order.fence), aborted]);
  }

  public hold(): void {
    this.isHeld = true;
  }

  public resume(): Promise<void> {
    this.isHeld = false;
    return Promise.resolve();
  }

  public countPeers(): Promise<IPeerCount> {
    return Promise.resolve(this.getPeers());
  }

  private _execute(version: string, release: boolean): Result<LoadSlotResult, ControlFailure> {
    return this._control.execute(Uint8Array.of(this._incarnation), this._id, version, release);
  }
}

/** A promise that a test resolves. */
export class TestGate {
  public open: () => void = () => undefined;
  public readonly opened = new Promise<void>((resolve) => {
    this.open = resolve;
  });
}
