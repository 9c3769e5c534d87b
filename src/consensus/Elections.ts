/** Elections: the task that stands for election, and the answers to requests for a vote. */
import { create } from '@bufbuild/protobuf';
import { isAborted, runWithLimit, sleep } from '../common/Tasks.js';
import {
  VoteRequestSchema,
  VoteResponseSchema,
  type Member,
  type VoteRequest,
  type VoteResponse,
} from '../gen/redwingwharf/v1/consensus_pb.js';
import type { MemberState } from './MemberState.js';
import { countMajority, isSamePair, listVoters, toPair } from './Memberships.js';
import type { IConsensusTimings } from './Timings.js';
import type { IConsensusTransport } from './Transport.js';

export class Elections {
  private _lastCampaignAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _state: MemberState,
    private readonly _transport: IConsensusTransport,
    private readonly _timings: IConsensusTimings,
    private readonly _random: () => number,
    private readonly _startLeadership: () => void,
  ) {}

  /** Stands for election whenever there is no leader, until the signal is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await this._waitForSilence(signal);
      if (isAborted(signal)) {
        return;
      }
      this._lastCampaignAt = this._state.clock.now();
      // The trial round raises no term, so a member that is cut off disturbs nobody on its return.
      if (await this._collectVotes(true, signal)) {
        await this._runElection(signal);
      }
    }
  }

  /** Answers a request for a vote. */
  public handleVote(request: VoteRequest): Promise<VoteResponse> {
    return this._state.exclusive.run(async () => {
      const granted = await this._decideVote(request);
      return create(VoteResponseSchema, { sender: this._state.createSender(), granted });
    });
  }

  private async _decideVote(request: VoteRequest): Promise<boolean> {
    const state = this._state;
    const { sender } = request;
    if (!state.isFromMember(sender) || this._hasLeader()) {
      return false;
    }
    const term = Number(sender.term);
    if (request.preVote) {
      return term >= state.term && this._isUpToDate(request);
    }
    if (term > state.term) {
      await state.enterTerm(term);
    }
    const { votedFor } = state.store;
    const isFree = votedFor === undefined || isSamePair(votedFor, sender);
    if (term !== state.term || !isFree || !this._isUpToDate(request)) {
      return false;
    }
    await state.store.saveVote(sender);
    state.noteContact();
    return true;
  }

  /** True while a leader is known to be alive; its members don't take part in elections. */
  private _hasLeader(): boolean {
    const state = this._state;
    if (state.role === 'leader') {
      return true;
    }
    const isRecent = state.clock.now() - state.lastContactAt < this._timings.electionMinMs;
    return state.leaderAddress !== undefined && isRecent;
  }

  private _isUpToDate(request: VoteRequest): boolean {
    const { lastTerm, lastIndex } = this._state.store;
    const term = Number(request.lastTerm);
    return term > lastTerm || (term === lastTerm && Number(request.lastIndex) >= lastIndex);
  }

  /** Waits until this member is a voter and has not heard from a leader for a random time. */
  private async _waitForSilence(signal: AbortSignal): Promise<void> {
    const { heartbeatMs } = this._timings;
    const random = this._random();
    const state = this._state;
    while (!isAborted(signal)) {
      const since = Math.max(state.lastContactAt, this._lastCampaignAt);
      const remainingMs = since + this._pickTimeout(random) - state.clock.now();
      const mayStand = state.role !== 'leader' && state.isVoter;
      // A group of one has nobody to wait for.
      if (mayStand && (remainingMs <= 0 || state.membership.members.length === 1)) {
        return;
      }
      await sleep(Math.max(1, Math.min(heartbeatMs, remainingMs)), signal);
    }
  }

  private _pickTimeout(random: number): number {
    const { electionMinMs, electionMaxMs, firstElectionMinMs, firstElectionMaxMs } = this._timings;
    const hasHeard = this._state.hasHeardLeader || this._lastCampaignAt > Number.NEGATIVE_INFINITY;
    return hasHeard
      ? electionMinMs + (electionMaxMs - electionMinMs) * random
      : firstElectionMinMs + (firstElectionMaxMs - firstElectionMinMs) * random;
  }

  private async _runElection(signal: AbortSignal): Promise<void> {
    const state = this._state;
    const isCandidate = await state.exclusive.run(async () => {
      if (this._hasLeader() || !state.isVoter || isAborted(signal)) {
        return false;
      }
      await state.startCandidacy();
      return true;
    });
    if (!isCandidate) {
      return;
    }
    const { term } = state;
    const isElected = await this._collectVotes(false, signal);
    await state.exclusive.run(() => {
      if (isElected && state.role === 'candidate' && state.term === term && !isAborted(signal)) {
        this._startLeadership();
      }
      return Promise.resolve();
    });
  }

  /** Asks all voters; true as soon as a majority, this member included, has granted its vote. */
  private async _collectVotes(preVote: boolean, signal: AbortSignal): Promise<boolean> {
    const state = this._state;
    const { membership, term } = state;
    const { lastIndex, lastTerm } = state.store;
    const request = create(VoteRequestSchema, {
      sender: state.createSender(),
      lastIndex: BigInt(lastIndex),
      lastTerm: BigInt(lastTerm),
      preVote,
    });
    const others = listVoters(membership).filter((voter) => !isSamePair(toPair(voter), state.pair));
    const needed = countMajority(membership) - 1;
    const votes = others.map((voter) => this._requestVote(voter, request, term, signal));
    return hasAtLeast(votes, needed);
  }

  private async _requestVote(
    voter: Member,
    request: VoteRequest,
    term: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    try {
      const limitMs = Math.min(this._timings.callMs, this._timings.electionMinMs);
      const response = await runWithLimit(signal, limitMs, (limited) =>
        this._transport.requestVote(voter.address, request, limited),
      );
      if (!this._state.isExpectedResponse(response.sender, toPair(voter))) {
        return false;
      }
      const responseTerm = Number(response.sender.term);
      if (responseTerm > term) {
        await this._state.observeTerm(responseTerm);
        return false;
      }
      return response.granted;
    } catch (error) {
      this._state.log.debug('vote request failed', { address: voter.address, error });
      return false;
    }
  }
}

/** True as soon as enough of the promises gave true, false once that is impossible. */
function hasAtLeast(answers: readonly Promise<boolean>[], needed: number): Promise<boolean> {
  return new Promise((resolve) => {
    let granted = 0;
    let pending = answers.length;
    const settle = (): void => {
      if (granted >= needed) {
        resolve(true);
      } else if (granted + pending < needed) {
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
