/** Leader election: campaigns when there is no leader, and answers vote requests of other members. */
import { create } from '@bufbuild/protobuf';
import { isAborted, isSettledWithin, runWithTimeout, sleep } from '../common/Tasks.js';
import {
  VoteRequestSchema,
  VoteResponseSchema,
  type Member,
  type Sender,
  type VoteRequest,
  type VoteResponse,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import type { MemberState } from './MemberState.js';
import { formatMemberIdentity, isSameMember, getMemberIdentity } from './Memberships.js';
import type { IConsensusTimings } from './Timings.js';
import type { IConsensusTransport } from './Transport.js';

/** A candidate waits this many of the longest election timeouts for votes that voters are saving. */
const MAX_SAVE_TIMEOUTS = 4;

/** Runs the election timer and campaigns of one member, and decides its votes. */
export class Elections {
  private _lastCampaignAt = Number.NEGATIVE_INFINITY;
  /** Time that the last candidacy took to save. It spreads the campaigns of members with slow disks. */
  private _candidacySaveMs = 0;
  /** Votes that are being decided or saved, by candidate and term. */
  private readonly _votes = new Map<string, Promise<boolean>>();

  constructor(
    private readonly _state: MemberState,
    private readonly _transport: IConsensusTransport,
    private readonly _timings: IConsensusTimings,
    private readonly _generateRandom: () => number,
    private readonly _startLeadership: () => void,
  ) {}

  /** Campaigns whenever the election timeout passes without a leader, until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await this._waitForElectionTimeout(signal);
      if (isAborted(signal)) {
        return;
      }
      this._lastCampaignAt = this._state.clock.now();
      // A pre-vote does not raise the term, so a member that returns from a partition does not force the
      // leader to step down.
      if (await this._collectVotes(true, signal)) {
        await this._runElection(signal);
      }
    }
  }

  /** Answers a vote request or pre-vote request; within a heartbeat interval, however slow the disk is. */
  public async handleVote(request: VoteRequest): Promise<VoteResponse> {
    const state = this._state;
    if (!state.isFromMember(request.sender)) {
      return create(VoteResponseSchema, { sender: state.createSender(), granted: false });
    }
    state.lostDisks.recordContact(request.sender);
    state.lostDisks.recordReported(state.membership, request.lostDisks);
    if (request.preVote) {
      const granted = this._mayGrantPreVote(request, request.sender);
      return create(VoteResponseSchema, { sender: state.createSender(), granted });
    }
    const vote = this._startVote(request, request.sender);
    const pending = !(await isSettledWithin(vote, this._timings.heartbeatIntervalMs));
    const granted = !pending && (await vote);
    return create(VoteResponseSchema, { sender: state.createSender(), granted, pending });
  }

  private _mayGrantPreVote(request: VoteRequest, sender: Sender): boolean {
    return (
      !this._hasLiveLeader() && Number(sender.term) >= this._state.term && this._isUpToDate(request)
    );
  }

  /** Decides and saves a vote, or joins an earlier request for it. */
  private _startVote(request: VoteRequest, sender: Sender): Promise<boolean> {
    const key = `${formatMemberIdentity(sender)}/${sender.term}`;
    const running = this._votes.get(key);
    if (running !== undefined) {
      return running;
    }
    const vote = this._state.mutex.run(() => this._decideVote(request, sender));
    this._votes.set(key, vote);
    vote
      .catch((error: unknown) => {
        this._state.fail(error);
      })
      .finally(() => {
        this._votes.delete(key);
      });
    return vote;
  }

  private async _decideVote(request: VoteRequest, sender: Sender): Promise<boolean> {
    const state = this._state;
    const term = Number(sender.term);
    if (this._hasLiveLeader() || term < state.term) {
      return false;
    }
    const isNewTerm = term > state.term;
    const { votedFor } = state.store;
    const isFree = isNewTerm || votedFor === undefined;
    const granted = (isFree || isSameMember(votedFor, sender)) && this._isUpToDate(request);
    // The election timeout counts from the vote as well as from its save, which may take longer than the timeout.
    if (granted) {
      state.recordContact();
    }
    if (isNewTerm) {
      await state.enterTerm(term, granted ? sender : undefined);
    } else if (granted && isFree) {
      await state.store.saveVote(sender);
    }
    if (granted) {
      state.recordContact();
    }
    return granted;
  }

  /** True while the leader was heard from recently. A member then grants no votes and does not campaign. */
  private _hasLiveLeader(): boolean {
    const state = this._state;
    if (state.role === 'leader') {
      return true;
    }
    const timeoutMs = this._timings.minElectionTimeoutMs + this._getDelayMs();
    const isRecent = state.clock.now() - state.lastContactAt < timeoutMs;
    return state.leaderAddress !== undefined && isRecent;
  }

  private _isUpToDate(request: VoteRequest): boolean {
    const { lastTerm, lastIndex } = this._state.store;
    const term = Number(request.lastTerm);
    return term > lastTerm || (term === lastTerm && Number(request.lastIndex) >= lastIndex);
  }

  /** Waits until this member is a voter and a random election timeout has passed without a leader. */
  private async _waitForElectionTimeout(signal: AbortSignal): Promise<void> {
    const { heartbeatIntervalMs } = this._timings;
    const random = this._generateRandom();
    const state = this._state;
    while (!isAborted(signal)) {
      const since = Math.max(state.lastContactAt, this._lastCampaignAt);
      const remainingMs = since + this._getElectionTimeoutMs(random) - state.clock.now();
      const canCampaign = state.role !== 'leader' && state.isVoter && this._votes.size === 0;
      // A group of one has no leader to wait for.
      if (canCampaign && (remainingMs <= 0 || state.membership.members.length === 1)) {
        return;
      }
      await sleep(Math.max(1, Math.min(heartbeatIntervalMs, remainingMs)), signal);
    }
  }

  private _getElectionTimeoutMs(random: number): number {
    const {
      minElectionTimeoutMs,
      maxElectionTimeoutMs,
      minFirstElectionTimeoutMs,
      maxFirstElectionTimeoutMs,
    } = this._timings;
    const hasHadContact =
      this._state.hasHadContact || this._lastCampaignAt > Number.NEGATIVE_INFINITY;
    return hasHadContact
      ? minElectionTimeoutMs +
          this._getDelayMs() +
          (maxElectionTimeoutMs - minElectionTimeoutMs + this._candidacySaveMs) * random
      : minFirstElectionTimeoutMs +
          (maxFirstElectionTimeoutMs - minFirstElectionTimeoutMs) * random;
  }

  /** How much later than after two heartbeat intervals the messages of the leader came, up to the longest election timeout. */
  private _getDelayMs(): number {
    const { heartbeatIntervalMs, maxElectionTimeoutMs } = this._timings;
    const delayMs = this._state.contactGapMs - 2 * heartbeatIntervalMs;
    return Math.min(Math.max(0, delayMs), maxElectionTimeoutMs);
  }

  private async _runElection(signal: AbortSignal): Promise<void> {
    const state = this._state;
    const isCandidate = await state.mutex.run(async () => {
      const hasHeardSince = state.lastContactAt > this._lastCampaignAt;
      if (this._hasLiveLeader() || hasHeardSince || !state.isVoter || isAborted(signal)) {
        return false;
      }
      const startedAt = state.clock.now();
      await state.startCandidacy();
      this._candidacySaveMs = state.clock.now() - startedAt;
      return true;
    });
    if (!isCandidate) {
      return;
    }
    const { term } = state;
    const isElected = await this._collectVotes(false, signal);
    await state.mutex.run(() => {
      if (isElected && state.role === 'candidate' && state.term === term && !isAborted(signal)) {
        this._startLeadership();
      }
      return Promise.resolve();
    });
  }

  /** Asks the voters; true as soon as a quorum, counting this member, has granted the vote. */
  private async _collectVotes(preVote: boolean, signal: AbortSignal): Promise<boolean> {
    const state = this._state;
    const { membership, term, quorum } = state;
    const { lastIndex, lastTerm } = state.store;
    const request = create(VoteRequestSchema, {
      sender: state.createSender(),
      lastIndex: BigInt(lastIndex),
      lastTerm: BigInt(lastTerm),
      preVote,
      lostDisks: state.lostDisks
        .list(membership)
        .map(({ memberId, diskId }) => ({ memberId, diskId })),
    });
    const otherVoters = quorum.voters.filter(
      (voter) => !isSameMember(getMemberIdentity(voter), state.identity),
    );
    const votes = otherVoters.map((voter) => this._requestVote(voter, request, term, signal));
    return awaitQuorum(votes, quorum.size - 1);
  }

  private async _requestVote(
    voter: Member,
    request: VoteRequest,
    term: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { callTimeoutMs, minElectionTimeoutMs, maxElectionTimeoutMs } = this._timings;
    const timeoutMs = Math.min(callTimeoutMs, minElectionTimeoutMs);
    const deadline = this._state.clock.now() + MAX_SAVE_TIMEOUTS * maxElectionTimeoutMs;
    try {
      for (;;) {
        const response = await runWithTimeout(signal, timeoutMs, (limited) =>
          this._transport.requestVote(voter.address, request, limited),
        );
        if (!this._state.isExpectedResponse(response.sender, getMemberIdentity(voter))) {
          return false;
        }
        this._state.lostDisks.recordContact(response.sender);
        const responseTerm = Number(response.sender.term);
        if (responseTerm > term) {
          await this._state.observeTerm(responseTerm);
          return false;
        }
        const isOver = this._state.term > term || this._state.clock.now() > deadline;
        if (!response.pending || isOver) {
          return response.granted;
        }
      }
    } catch (error) {
      this._state.log.debug('vote request failed', { address: voter.address, error });
      return false;
    }
  }
}

/** Resolves to true as soon as enough answers are true, and to false once that is impossible. */
function awaitQuorum(
  answers: readonly Promise<boolean>[],
  requiredCount: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    let granted = 0;
    let pending = answers.length;
    const settle = (): void => {
      if (granted >= requiredCount) {
        resolve(true);
      } else if (granted + pending < requiredCount) {
        resolve(false);
      }
    };
    for (const answer of answers) {
      void answer.then((isGranted) => {
        granted += isGranted ? 1 : 0;
        pending -= 1;
        settle();
      });
    }
    settle();
  });
}
