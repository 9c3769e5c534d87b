/** Fifth stage of the request pipeline: chooses a target by the routing policy of the service. */
import { encodeHex, signHmac } from '../common/Hashes.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import { hashPrefixChain } from '../policy/PrefixChain.js';
import type {
  IAnswer,
  ILoad,
  IRouteRequest,
  IRoutingPolicy,
  ITargetDecision,
  ITargetView,
} from '../policy/Types.js';
import type { IRosterTarget, Roster, RosterChange } from '../roster/Roster.js';
import type { Receipt, TargetLoad } from '../gen/redwingwharf/v1/control_pb.js';

/** Properties of a request that the choice of its target depends on. */
export interface IChooseInput {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  /** Empty for a plain service. */
  readonly model: string;
  readonly prompt: Buffer;
  readonly promptTokens: number;
  readonly priority: number;
  /** Time by the entry's clock at which the request ends. */
  readonly deadlineMs: number;
}

/** A chosen target with the decision of the policy, needed to report the result to the policy. */
export interface IChoice {
  readonly target: IRosterTarget;
  readonly view: ITargetView;
  readonly decision: ITargetDecision;
  readonly routeRequest: IRouteRequest;
  readonly cacheSalt: string;
}

/** A routing request with the salt by which its prefix chain was hashed. */
interface ISaltedRequest {
  readonly cacheSalt: string;
  readonly routeRequest: IRouteRequest;
}

/**
 * Chooses targets. Holds one routing policy for each service, gives it the targets of the roster, and
 * reports to it how dispatches ended and what the targets announce about their caches.
 */
export class TargetChooser implements IDisposable {
  private readonly _policies = new Map<string, IRoutingPolicy>();
  /** Caches the prefix chain for retries, because hashing the prompt takes most of the time of a choice. */
  private readonly _routeRequestCache = new WeakMap<IChooseInput, ISaltedRequest>();
  private readonly _subscription: IDisposable;

  constructor(
    private readonly _roster: Roster,
    private readonly _createPolicy: () => IRoutingPolicy,
    private readonly _clusterSecret: string,
    private readonly _random: () => number = Math.random,
  ) {
    this._subscription = _roster.onChange((change) => {
      this._applyChange(change);
    });
  }

  public dispose(): void {
    this._subscription.dispose();
  }

  /** Chooses among the targets that were not tried yet; undefined if none is suitable. */
  public choose(
    input: IChooseInput,
    triedTargets: ReadonlySet<string>,
    now: number,
  ): IChoice | undefined {
    const targets = this._roster
      .listTargets(input.service, now)
      .filter(({ announcement }) => isCandidate(announcement, input, triedTargets));
    const group = this._pickWeightsGroup(targets);
    const weightsVersion = group[0]?.announcement.weightsVersion ?? '';
    const cacheSalt = this._deriveCacheSalt(input, weightsVersion);
    const routeRequest = this._buildRouteRequest(input, cacheSalt);
    const views = group.map(describeTarget);
    const decision = this._getPolicy(input.service).choose(routeRequest, views, now);
    if (decision.kind === 'none') {
      return undefined;
    }
    const target = group.find(({ announcement }) => announcement.target === decision.target.id);
    return target === undefined
      ? undefined
      : { target, view: decision.target, decision, routeRequest, cacheSalt };
  }

  public recordDispatch(choice: IChoice, now: number): void {
    this._getPolicy(choice.routeRequest.service).onDispatched(
      choice.routeRequest,
      choice.view,
      now,
    );
  }

  public recordFirstToken(choice: IChoice, now: number): void {
    const { service, requestId } = choice.routeRequest;
    this._getPolicy(service).onFirstToken(requestId, now);
  }

  public recordAnswer(choice: IChoice, answer: IAnswer, now: number): void {
    const { service, requestId } = choice.routeRequest;
    this._getPolicy(service).onAnswered(requestId, answer, now);
  }

  /** Records that the target refused because its queue is longer than the decision assumed. */
  public recordBusy(choice: IChoice, receipt: Receipt, now: number): void {
    const { service, requestId } = choice.routeRequest;
    const waitMs = receipt.load?.waitMs ?? 0;
    const { cachedPromptTokens } = receipt;
    this._getPolicy(service).onBusy(requestId, { waitMs, cachedPromptTokens }, now);
  }

  public recordFailure(choice: IChoice, now: number): void {
    const { service, requestId } = choice.routeRequest;
    this._getPolicy(service).onFailed(requestId, now);
  }

  private _buildRouteRequest(input: IChooseInput, cacheSalt: string): IRouteRequest {
    const cached = this._routeRequestCache.get(input);
    if (cached?.cacheSalt === cacheSalt) {
      return cached.routeRequest;
    }
    const { prompt, ...fields } = input;
    const routeRequest = { ...fields, chain: hashPrefixChain(prompt, cacheSalt) };
    this._routeRequestCache.set(input, { cacheSalt, routeRequest });
    return routeRequest;
  }

  /**
   * Picks the targets of one weights version. While the weights are being changed, each version gets a
   * share of the requests in proportion to its number of targets.
   */
  private _pickWeightsGroup(targets: readonly IRosterTarget[]): IRosterTarget[] {
    const picked = targets[Math.floor(this._random() * targets.length)];
    return targets.filter(
      ({ announcement }) => announcement.weightsVersion === picked?.announcement.weightsVersion,
    );
  }

  /**
   * Each client account, model and weights version has its own salt, so that they never share cache
   * entries.
   */
  private _deriveCacheSalt(input: IChooseInput, weightsVersion: string): string {
    TEST_ONLY: if (isMechanismDisabled('cache-salt')) return 'shared';
    const scope = JSON.stringify([input.clientAccount, input.model, weightsVersion]);
    return encodeHex(signHmac(this._clusterSecret, 'cache-salt', scope));
  }

  private _getPolicy(service: string): IRoutingPolicy {
    let policy = this._policies.get(service);
    if (policy === undefined) {
      policy = this._createPolicy();
      this._policies.set(service, policy);
    }
    return policy;
  }

  /** Reports the prompt chunks that an announcement lists as evicted or used to the policy. */
  private _applyCacheReport(policy: IRoutingPolicy | undefined, target: IRosterTarget): void {
    const { evicted, used } = target.announcement;
    if (evicted.length > 0) {
      policy?.onEvicted(describeTarget(target), evicted.map(encodeHex));
    }
    if (used.length > 0) {
      policy?.onCached(describeTarget(target), used.map(encodeHex), target.announcedAt);
    }
  }

  private _applyChange(change: RosterChange): void {
    const { announcement } = change.target;
    const policy = this._policies.get(announcement.service);
    switch (change.kind) {
      case 'expired':
        policy?.onTargetGone(announcement.target);
        return;
      case 'announced':
        this._applyCacheReport(policy, change.target);
    }
  }
}

function isCandidate(
  announcement: IRosterTarget['announcement'],
  input: IChooseInput,
  triedTargets: ReadonlySet<string>,
): boolean {
  const hasModel = input.model === '' || announcement.model === input.model;
  return hasModel && !triedTargets.has(announcement.target);
}

/** Converts the load in an announcement or a receipt to the type that the policies use. */
export function convertLoad(load: TargetLoad | undefined, reportedAt: number): ILoad | undefined {
  return load === undefined
    ? undefined
    : {
        queued: load.queued,
        running: load.running,
        freeBlocks: load.freeBlocks,
        ...(load.waitMs === undefined ? {} : { waitMs: load.waitMs }),
        reportedAt,
      };
}

function describeTarget({ announcement, announcedAt }: IRosterTarget): ITargetView {
  return {
    id: announcement.target,
    dataCentre: announcement.dataCentre,
    incarnation: announcement.targetIncarnation,
    weightsVersion: announcement.weightsVersion,
    load: convertLoad(announcement.load, announcedAt),
    draining: announcement.draining,
    healthy: announcement.healthy,
  };
}
