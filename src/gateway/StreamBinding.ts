/** Binds a stream that may be resumed to the software version of the target that began it. */
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { FleetView } from '../fleet/FleetView.js';
import { getSoftwareVersion } from '../fleet/SoftwareVersions.js';
import type { StreamOrigins } from '../fleet/StreamOrigins.js';
import type { IRoute, IService } from '../fleet/Types.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import type { ICall } from './Types.js';

/** Without an answer of the hub for this long, streams begin at the base version where they can: it needs no record. */
const HUB_SILENCE_MS = 500;

/** What this process knows of the versions that began streams. */
export type IStreamOrigins = Pick<
  StreamOrigins,
  'needsRecord' | 'record' | 'find' | 'keepServed' | 'getServed'
>;

/** What the binding of a stream depends on, shared by all streams. */
export interface IStreamBindingContext {
  readonly view: FleetView;
  readonly origins: IStreamOrigins;
}

/** Software versions of targets to which a request may be sent. */
export interface IVersionChoice {
  /** Other versions are left out; undefined: none is. */
  readonly required: string | undefined;
  /** Other versions are left out if a target of this one is well. */
  readonly preferred: string | undefined;
}

/**
 * What targets of different software versions write does not fit together, so a stream goes on only at the version that
 * brought its first event. Until then it is bound to nothing.
 *
 * @example
 * const binding = createStreamBinding(context, call, route, service);
 */
export class StreamBinding {
  /** Version that brought the first event; undefined before. */
  private _version: string | undefined;
  private _recordNumber = 0;

  constructor(
    private readonly _context: IStreamBindingContext,
    /** Attempt id by which the client names the stream when it takes it up. */
    private readonly _id: string,
    /** False if the client takes up a stream and does not name it. */
    private readonly _isNamed: boolean,
    private readonly _service: string,
  ) {}

  public get version(): string | undefined {
    return this._version;
  }

  /**
   * Finds the version of a stream that the client takes up: in the memory of this process, by the base version
   * while there is no other, or at the leader.
   *
   * @returns undefined once the version is known, else why it is not
   */
  public async resolve(
    timeoutMs: number,
    now: number,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const { view, origins } = this._context;
    const base = view.getVersionBase(this._service, now);
    this._version = this._isNamed ? origins.getServed(this._id, this._service, now) : undefined;
    if (this._version === undefined && base?.isUniform === true) {
      this._version = base.base;
    }
    if (this._version !== undefined) {
      return undefined;
    }
    if (!this._isNamed) {
      return 'the client does not name the stream';
    }
    const origin = await origins.find(this._id, this._service, signal, timeoutMs);
    switch (origin.kind) {
      case 'unsure':
        return origin.reason;
      case 'version':
        this._version = origin.version;
        origins.keepServed(this._id, this._service, origin.version, now);
        return undefined;
    }
  }

  /** Versions at which an attempt may run now. */
  public chooseVersions(now: number): IVersionChoice {
    const { view } = this._context;
    const isHubSilent = now - view.hubAnsweredAt > HUB_SILENCE_MS;
    const base = view.getVersionBase(this._service, now)?.base;
    return {
      required: this._version,
      preferred: isHubSilent && base !== '' ? base : undefined,
    };
  }

  /**
   * Records the version of the target of an attempt, unless it needs no record.
   *
   * @returns resolves with true once the record is durable, so that the first event may be relayed; undefined if
   * it may be relayed at once
   */
  public recordAttempt(
    target: TargetRecord,
    now: number,
    signal: AbortSignal,
  ): Promise<boolean> | undefined {
    const { origins } = this._context;
    const version = getSoftwareVersion(target);
    const needsRecord =
      this._version === undefined &&
      origins.needsRecord(this._id, this._service, version, now) &&
      !this._isSafeWithoutHub(version, now);
    if (!needsRecord) {
      return undefined;
    }
    this._recordNumber += 1;
    return origins.record(this._id, this._recordNumber, this._service, version, signal);
  }

  /** Binds the stream to the version of the target that brings its first event. */
  public bind(target: TargetRecord, now: number): void {
    if (this._version === undefined) {
      this._version = getSoftwareVersion(target);
      this._context.origins.keepServed(this._id, this._service, this._version, now);
    }
  }

  /**
   * A process that is cut off cannot know whether the base version has changed. For a time the leader attributes no stream
   * without a record to a new base while this process has not heard of it, so that streams may begin at the known one.
   */
  private _isSafeWithoutHub(version: string, now: number): boolean {
    const base = this._context.view.getVersionBase(this._service, now);
    const isUsable = base?.isCurrent === false && base.isExpired !== true;
    return this._recordNumber === 0 && isUsable && base.base === version;
  }
}

/** Undefined if the stream cannot be resumed, so that it needs no binding. */
export function createStreamBinding(
  context: IStreamBindingContext,
  call: ICall,
  route: IRoute,
  service: IService,
): StreamBinding | undefined {
  TEST_ONLY: if (isMechanismDisabled('stream-version')) return undefined;
  if (route.kind !== 'streaming' || !route.isResumable) {
    return undefined;
  }
  const isNamed = call.resumeAfter === undefined || call.resumes !== undefined;
  return new StreamBinding(context, getStreamId(call), isNamed, service.name);
}

/** Id of the client attempt that began the stream of a call; the call's own id unless it takes a stream up. */
export function getStreamId(call: Pick<ICall, 'id' | 'resumes' | 'resumeAfter'>): string {
  return call.resumeAfter === undefined ? call.id : (call.resumes ?? call.id);
}
