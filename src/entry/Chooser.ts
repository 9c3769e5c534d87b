/** Fifth stage: chooses a target through the service's policy. */
import { encodeHex, signHmac } from '../common/Hashes.js';
import type { IDisposable } from '../common/Lifecycle.js';
import { isBroken } from '../common/TestSwitches.js';
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

/** What the choice depends on. */
export interface IChooseInput {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  /** Empty for a plain service. */
  readonly model: string;
  readonly prompt: Buffer;
  readonly promptTokens: number;
  readonly priority: number;
  readonly deadlineMs: number;
}

/** A chosen target. */
export interface IChoice {
  readonly target: IRosterTarget;
  readonly view: ITargetView;
  readonly decision: ITargetDecision;
  readonly routeRequest: IRouteRequest;
  readonly cacheSalt: string;
}

interface ISaltedRequest {
  readonly cacheSalt: string;
  readonly routeRequest: IRouteRequest;
}

/** Joins the roster with one policy for each service. */
export class Chooser implements IDisposable {
  private readonly _policies = new Map<string, IRoutingPolicy>();
  /** Hashing the prompt is the longest part of a choice, so a retry uses the chain again. */
  private readonly _routeRequests = new WeakMap<IChooseInput, ISaltedRequest>();
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

  /** Chooses among the targets that were not tried yet; undefined when there is none. */
  public choose(input: IChooseInput, tried: ReadonlySet<string>, now: number): IChoice | undefined {
    const targets = this._roster
      .listTargets(input.service, now)
      .filter(({ announcement }) => isCandidate(announcement, input, tried));
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

  /** The target refused, because its queue is longer than the decision assumed. */
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
    const known = this._routeRequests.get(input);
    if (known?.cacheSalt === cacheSalt) {
      return known.routeRequest;
    }
    const { prompt, ...fields } = input;
    const routeRequest = { ...fields, chain: hashPrefixChain(prompt, cacheSalt) };
    this._routeRequests.set(input, { cacheSalt, routeRequest });
    return routeRequest;
  }

  /** During a change of weights the groups of targets share the load by their size. */
  private _pickWeightsGroup(targets: readonly IRosterTarget[]): IRosterTarget[] {
    const picked = targets[Math.floor(this._random() * targets.length)];
    return targets.filter(
      ({ announcement }) => announcement.weightsVersion === picked?.announcement.weightsVersion,
    );
  }

  /** Client accounts and weights versions never share a salt, so they never share cache entries. */
  private _deriveCacheSalt(input: IChooseInput, weightsVersion: string): string {
    TEST_ONLY: if (isBroken('cache-salt')) return 'shared';
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

  private _applyEvidence(policy: IRoutingPolicy | undefined, target: IRosterTarget): void {
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
        this._applyEvidence(policy, change.target);
    }
  }
}

function isCandidate(
  announcement: IRosterTarget['announcement'],
  input: IChooseInput,
  tried: ReadonlySet<string>,
): boolean {
  const hasModel = input.model === '' || announcement.model === input.model;
  return hasModel && !tried.has(announcement.target);
}

/** Load of an announcement or a receipt in the form of the policies. */
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
