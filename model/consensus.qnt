// Replicated log with membership changes and lost disks (docs/design.md, section 3.1).
//
// The identity of a member consists of its member id and its disk id. Disk ids are never reused, so the
// disk id alone identifies the member; the record of a disk holds its member id. Apart from losing its
// disk, a process does not crash: a frozen or isolated process is one that takes no steps. A request and
// its response are one step, and the response may be lost after the receiver has acted on the request.
module consensus {
  // Rule that this variant breaks, or "none".
  const VARIANT: str
  // Voters at the start; disk i belongs to member i.
  const INITIAL_VOTERS: Set[int]
  // Whether a process may be killed for good, in addition to the lost disks, once a successor votes beside it.
  const HAS_KILLS: bool
  // Whether disk 3 leads at the start, with disk 4 as a learner of a group of three, or disk 1 stopping in a group of four.
  const IS_LED: bool

  type Entry = {
    term: int,
    // Disk of the leader that appended the entry. Together with term and index it represents the value.
    author: int,
    // Membership in force from this entry on.
    voters: Set[int],
    learners: Set[int],
    // Disk that this entry promotes, or 0, and the commit index when the promotion was proposed.
    promoted: int,
    base: int,
    // Commit index of the leader when it appended this entry. A disk that stores the entry knows it also after a restart.
    known: int
  }

  type Role = Follower | Candidate | Leader

  type Disk = {
    member: int,
    isAlive: bool,
    term: int,
    votedFor: int,
    role: Role,
    votes: Set[int],
    log: List[Entry],
    // Whether its process is stopping; such a disk is not promoted.
    isStopping: bool,
    // On the leader: number of entries known to be stored on each other disk.
    matched: int -> int,
    commit: int
  }

  pure val MAX_TERM = 4
  pure val MAX_LOG = 9
  pure val MAX_DISKS = 6
  pure val FIRST_ENTRY: Entry =
    { term: 0, author: 0, voters: INITIAL_VOTERS, learners: Set(), promoted: 0, base: 0, known: 0 }

  var disks: int -> Disk
  // Disks that may still be lost before the next repair is complete.
  var lossesLeft: int
  // History, which only the invariants read: all committed entries, and the term in which each was
  // committed.
  var committed: List[Entry]
  var committedIn: List[int]
  // Whether a leader has committed a different entry at the index of a committed one.
  var isReplaced: bool
  // Disks that have been leader, by term.
  var leaders: int -> Set[int]

  pure def emptyDisk(member: int): Disk = {
    member: member,
    isAlive: true,
    term: 0,
    votedFor: 0,
    role: Follower,
    votes: Set(),
    log: [],
    isStopping: false,
    matched: Map(),
    commit: 0
  }

  pure val FIRST_LED_ENTRY: Entry =
    { ...FIRST_ENTRY, term: 1, author: 3, learners: Set(4).exclude(INITIAL_VOTERS) }
  pure val FIRST_LOG: List[Entry] = if (IS_LED) [FIRST_ENTRY, FIRST_LED_ENTRY] else [FIRST_ENTRY]

  pure def firstDisk(i: int): Disk =
    if (IS_LED) { ...emptyDisk(i),
      log: FIRST_LOG,
      term: 1,
      votedFor: 3,
      role: if (i == 3) Leader else Follower,
      commit: if (i == 3) 2 else 0,
      isStopping: INITIAL_VOTERS.contains(4) and i == 1,
    } else { ...emptyDisk(i), log: FIRST_LOG }

  action init = all {
    disks' = INITIAL_VOTERS.union(if (IS_LED) Set(4) else Set()).mapBy(i => firstDisk(i)),
    lossesLeft' = 1,
    committed' = FIRST_LOG,
    committedIn' = if (IS_LED) [0, 1] else [0],
    isReplaced' = false,
    leaders' = if (IS_LED) Map(1 -> Set(3)) else Map(),
  }

  action keepHistory = all {
    committed' = committed,
    committedIn' = committedIn,
    isReplaced' = isReplaced,
    leaders' = leaders,
  }

  pure def min(a: int, b: int): int = if (a < b) a else b
  pure def max(a: int, b: int): int = if (a > b) a else b

  pure def last(log: List[Entry]): Entry = log[log.length() - 1]

  pure def votersOf(d: Disk): Set[int] = if (d.log.length() == 0) Set() else last(d.log).voters
  pure def learnersOf(d: Disk): Set[int] = if (d.log.length() == 0) Set() else last(d.log).learners

  pure def isMajority(part: Set[int], whole: Set[int]): bool =
    2 * part.intersect(whole).size() > whole.size()

  // Index of the entry that set the membership in force at the end of a log.
  pure def membershipIndex(log: List[Entry]): int =
    log.indices().filter(j => j > 0).filter(j =>
      log[j].voters != log[j - 1].voters or log[j].learners != log[j - 1].learners)
      .fold(0, (a, j) => max(a, j))

  // Whether a restart of all that are left must be survived. Then a process is killed only once the commit of the group is
  // recorded on all its disks.
  pure val HAS_RESTARTS = Set("restarts", "commitNotRecorded").contains(VARIANT)

  pure def recordOf(d: Disk): int = if (VARIANT == "commitNotRecorded") 0 else d.commit

  // Whether the log of a disk shows that the membership of another log is committed.
  pure def isRecordedOn(d: Disk, log: List[Entry]): bool =
    d.log.foldl(0, (a, e) => max(a, e.known)) > membershipIndex(log)

  pure def isUpToDate(candidate: List[Entry], voter: List[Entry]): bool =
    if (voter.length() == 0) true
    else if (candidate.length() == 0) false
    else or {
      last(candidate).term > last(voter).term,
      last(candidate).term == last(voter).term and candidate.length() >= voter.length(),
    }

  pure def isPrefix(part: List[Entry], whole: List[Entry]): bool = and {
    part.length() <= whole.length(),
    part == whole.slice(0, part.length()),
  }

  // State of the disk after a message of this term: a higher term makes it a follower without a vote.
  pure def seeTerm(d: Disk, term: int): Disk =
    if (term > d.term) { ...d, term: term, votedFor: 0, role: Follower, votes: Set() } else d

  val alive: Set[int] = disks.keys().filter(i => disks.get(i).isAlive)
  val leading: Set[int] = alive.filter(i => disks.get(i).role == Leader)

  // Disks whose members have returned with another disk, and said so.
  val reportedLost: Set[int] = disks.keys().filter(i => and {
    not(disks.get(i).isAlive),
    alive.exists(n => disks.get(n).member == disks.get(i).member),
  })

  // A majority; or half of an even group of which a voter has lost its disk, without that voter. The half is a majority of
  // the group that is left. The membership must be known to be committed, so that all disks of the half know no older one.
  def isQuorum(part: Set[int], whole: Set[int], isCommitted: bool): bool = or {
    isMajority(part, whole),
    and {
      VARIANT != "majoritiesOnly",
      isCommitted or VARIANT == "halfBeforeCommit",
      whole.size() >= 4 and whole.size() % 2 == 0,
      whole.intersect(reportedLost) != Set() or VARIANT == "halfWithoutLoss",
      2 * part.exclude(reportedLost).intersect(whole).size() >= whole.size(),
    },
  }

  action startElection: bool = {
    val able = alive.filter(i => and {
      disks.get(i).role != Leader,
      disks.get(i).term < MAX_TERM,
      votersOf(disks.get(i)).contains(i),
    })
    all {
      able.size() > 0,
      nondet i = able.oneOf()
      val d = disks.get(i)
      disks' = disks.set(i,
        { ...d, term: d.term + 1, votedFor: i, role: Candidate, votes: Set(i) }),
      lossesLeft' = lossesLeft,
      keepHistory,
    }
  }

  // A disk answers a vote request, and the answer may be lost.
  action vote: bool = {
    val candidates = alive.filter(i => disks.get(i).role == Candidate)
    all {
      candidates.size() > 0,
      nondet c = candidates.oneOf()
      nondet v = alive.oneOf()
      nondet chance = 1.to(6).oneOf()
      val candidate = disks.get(c)
      val voter = seeTerm(disks.get(v), candidate.term)
      val isGranted = and {
        voter.term == candidate.term,
        voter.votedFor == 0 or voter.votedFor == c,
        isUpToDate(candidate.log, voter.log),
      }
      val isCounted = isGranted and chance > 1
      all {
        v != c,
        not(candidate.votes.contains(v)),
        disks' = disks
          .set(v, if (isGranted) { ...voter, votedFor: c } else voter)
          .set(c, if (isCounted) { ...candidate, votes: candidate.votes.union(Set(v)) }
            else candidate),
        lossesLeft' = lossesLeft,
        keepHistory,
      },
    }
  }

  action becomeLeader: bool = {
    val elected = alive.filter(i => {
      val d = disks.get(i)
      val index = membershipIndex(d.log)
      // A candidate may have learned of any commit.
      val isCommitted = index < committed.length() and committed[index] == d.log[index]
      d.role == Candidate and isQuorum(d.votes, votersOf(d), isCommitted)
    })
    all {
      elected.size() > 0,
      nondet i = elected.oneOf()
      val d = disks.get(i)
      all {
        disks' = disks.set(i, { ...d,
          role: Leader,
          matched: Map(),
          log: d.log.append({ ...last(d.log), term: d.term, author: i, promoted: 0, base: 0, known: recordOf(d) })
        }),
        leaders' = leaders.put(d.term,
          (if (leaders.keys().contains(d.term)) leaders.get(d.term) else Set()).union(Set(i))),
        committed' = committed,
        committedIn' = committedIn,
        isReplaced' = isReplaced,
        lossesLeft' = lossesLeft,
      },
    }
  }

  action appendValue: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val d = disks.get(i)
    all {
      d.log.length() < MAX_LOG - 4,
      disks' = disks.set(i, { ...d,
        log: d.log.append({ ...last(d.log), term: d.term, author: i, promoted: 0, base: 0, known: recordOf(d) })
      }),
      lossesLeft' = lossesLeft,
      keepHistory,
    },
  }

  // A disk stores a prefix of the leader's log and acknowledges it. The acknowledgement may be lost.
  action replicate: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val leader = disks.get(i)
    val others = alive.intersect(votersOf(leader).union(learnersOf(leader))).exclude(Set(i))
    all {
      others.size() > 0,
      nondet f = others.oneOf()
      nondet chance = 1.to(6).oneOf()
      nondet part = 1.to(leader.log.length()).oneOf()
      val count = if (chance <= 4) leader.log.length() else part
      val sent = leader.log.slice(0, count)
      val follower = seeTerm(disks.get(f), leader.term)
      val isAccepted = leader.term >= follower.term
      val log = if (isPrefix(sent, follower.log)) follower.log else sent
      val known = if (leader.matched.keys().contains(f)) leader.matched.get(f) else 0
      all {
        // Skips messages that change nothing.
        or { known < count, follower.term != disks.get(f).term, not(isAccepted) },
        disks' =
          if (not(isAccepted)) disks.set(i, seeTerm(leader, follower.term))
          else disks
            .set(f, { ...follower, role: Follower, log: log })
            .set(i, if (chance == 6) leader
              else { ...leader, matched: leader.matched.put(f, max(known, count)) }),
        lossesLeft' = lossesLeft,
        keepHistory,
      },
    },
  }

  action commit: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val d = disks.get(i)
    val index = membershipIndex(d.log)
    val isCommitted = index < d.commit
    val previous = if (index > 0) d.log[index - 1].voters else votersOf(d)
    // A change that leaves an even group needs a quorum of that group too, because half of it may elect a leader.
    val leavesEven = and {
      not(isCommitted),
      previous.size() >= 4 and previous.size() % 2 == 0,
      VARIANT != "leavesEvenByNewMajority",
    }
    val able = 1.to(d.log.length()).filter(k => {
      val holders = votersOf(d).union(previous).filter(f =>
        if (f == i) true else d.matched.keys().contains(f) and d.matched.get(f) >= k)
      and {
        k > d.commit,
        d.log[k - 1].term == d.term,
        isQuorum(holders, votersOf(d), isCommitted),
        leavesEven implies isQuorum(holders, previous, true),
      }
    })
    all {
      able.size() > 0,
      val k = able.fold(0, (a, b) => max(a, b))
      val entries = d.log.slice(0, k)
      val isNew = k > committed.length()
      val newEntries = if (isNew) entries.slice(committed.length(), k) else []
      all {
        disks' = disks.set(i, { ...d, commit: k }),
        committed' = committed.concat(newEntries),
        committedIn' = committedIn.concat(newEntries.foldl([], (list, _) => list.append(d.term))),
        isReplaced' = or {
          isReplaced,
          entries.slice(0, min(k, committed.length())) !=
            committed.slice(0, min(k, committed.length())),
        },
        // The commit of the new disk's promotion completes the repair; then another disk may be lost. So does
        // the removal of a voter that others replaced.
        lossesLeft' =
          if (newEntries.select(e => e.promoted != 0).length() > 0 and isWhole(last(entries))) 1
          else lossesLeft,
        leaders' = leaders,
      },
    },
  }

  // Variants that promote a disk while a lost one still votes.
  pure val PROMOTES_BESIDE_LOST =
    Set("promoteBesideLost", "removalAfterPromotion").contains(VARIANT)

  // In these variants the promotion alone completes a repair.
  def isWhole(entry: Entry): bool = or {
    PROMOTES_BESIDE_LOST,
    entry.voters.size() >= 3 and entry.voters.subseteq(alive),
  }

  // A leader changes the membership only after it has committed an entry of its own term, and only one
  // change at a time.
  def mayChange(d: Disk): bool = and {
    d.log.length() < MAX_LOG,
    d.commit > 0,
    d.commit > 0 implies d.log[d.commit - 1].term == d.term,
    d.commit > 0 implies and {
      d.log[d.commit - 1].voters == votersOf(d),
      d.log[d.commit - 1].learners == learnersOf(d),
    },
  }

  action changeMembership(voters: Set[int], learners: Set[int], promoted: int, i: int): bool = {
    val d = disks.get(i)
    all {
      disks' = disks.set(i, { ...d,
        log: d.log.append({
          term: d.term,
          author: i,
          voters: voters,
          learners: learners,
          promoted: promoted,
          base: d.commit,
          known: recordOf(d)
        })
      }),
      lossesLeft' = lossesLeft,
      keepHistory,
    }
  }

  // Other identities of the same member among the voters: the same member id with another disk.
  def oldIdentities(i: int, voters: Set[int]): Set[int] =
    voters.filter(v => v != i and disks.get(v).member == disks.get(i).member)

  // Removes the old identity of a member that returned with a new disk.
  action remove: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val d = disks.get(i)
    val old = votersOf(d).filter(v => not(disks.get(v).isAlive) and or {
      VARIANT != "removalAfterPromotion",
      oldIdentities(v, votersOf(d)) != Set(),
    })
    all {
      mayChange(d),
      old.size() > 0,
      nondet o = old.oneOf()
      changeMembership(votersOf(d).exclude(Set(o)), learnersOf(d), 0, i),
    },
  }

  action addLearner: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val d = disks.get(i)
    val able = alive.exclude(votersOf(d)).exclude(learnersOf(d)).filter(n => or {
      oldIdentities(n, votersOf(d)) == Set(),
      VARIANT == "removalAfterPromotion",
    })
    all {
      mayChange(d),
      able.size() > 0,
      nondet n = able.oneOf()
      changeMembership(votersOf(d), learnersOf(d).union(Set(n)), 0, i),
    },
  }

  // Promotes a learner that stores all entries that are committed when the promotion is proposed.
  action promote: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val d = disks.get(i)
    val able = learnersOf(d).filter(n => not(disks.get(n).isStopping)).filter(n => or {
      d.matched.keys().contains(n) and d.matched.get(n) >= d.commit,
      VARIANT == "promoteWithoutCatchUp",
    })
    all {
      mayChange(d),
      able.size() > 0,
      or { votersOf(d).subseteq(alive), PROMOTES_BESIDE_LOST },
      nondet n = able.oneOf()
      changeMembership(votersOf(d).union(Set(n)), learnersOf(d).exclude(Set(n)), n, i),
    },
  }

  // The leader takes the vote of a disk whose process is stopping, if the group has one to spare. The disk
  // stays a learner until it ends.
  action withdraw: bool = all {
    leading.size() > 0,
    nondet i = leading.oneOf()
    val d = disks.get(i)
    val able = votersOf(d).filter(v => and {
      disks.get(v).isStopping,
      votersOf(d).size() > 3,
      isMajority(alive, votersOf(d).exclude(Set(v))),
    })
    all {
      mayChange(d),
      able.size() > 0,
      nondet v = able.oneOf()
      changeMembership(votersOf(d).exclude(Set(v)), learnersOf(d).union(Set(v)), 0, i),
    },
  }

  // A process with an empty disk and a member id of its own starts beside the others.
  action startSuccessor: bool = {
    val newDisk = disks.keys().size() + 1
    all {
      newDisk <= MAX_DISKS,
      disks' = disks.put(newDisk, emptyDisk(newDisk)),
      lossesLeft' = lossesLeft,
      keepHistory,
    }
  }

  // The process of a voter begins to stop for good, one at a time, once a successor votes beside it.
  action beginStop: bool = {
    val able = alive.intersect(last(committed).voters)
    all {
      last(committed).voters.size() > 3,
      able == last(committed).voters,
      alive.forall(i => not(disks.get(i).isStopping)),
      nondet i = able.oneOf()
      disks' = disks.set(i, { ...disks.get(i), isStopping: true }),
      lossesLeft' = lossesLeft,
      keepHistory,
    }
  }

  // A process is killed for good, without a signal, once a successor votes beside it.
  action kill: bool = {
    val voters = last(committed).voters
    all {
      HAS_KILLS,
      voters.size() > 3,
      voters.subseteq(alive),
      or {
        VARIANT != "restarts",
        voters.forall(i => isRecordedOn(disks.get(i), committed)),
      },
      alive.forall(i => not(disks.get(i).isStopping)),
      nondet i = voters.oneOf()
      disks' = disks.set(i, { ...disks.get(i), isAlive: false, role: Follower }),
      lossesLeft' = lossesLeft,
      keepHistory,
    }
  }

  // A process that is stopping ends when it knows that it does not vote any more.
  action end: bool = {
    val able = alive.filter(i => and {
      disks.get(i).isStopping,
      or { not(last(committed).voters.contains(i)), VARIANT == "endsAsVoter" },
    })
    all {
      able.size() > 0,
      nondet i = able.oneOf()
      disks' = disks.set(i, { ...disks.get(i), isAlive: false, role: Follower }),
      lossesLeft' = lossesLeft,
      keepHistory,
    }
  }

  // A voter loses its disk and returns with a new disk id and an empty log, or is lost for good and replaced
  // by a new member. No other disk may be lost until the repair is complete.
  action loseDisk: bool = all {
    lossesLeft > 0,
    val newDisk = disks.keys().size() + 1
    val able = alive.intersect(last(committed).voters)
    all {
      newDisk <= MAX_DISKS,
      able.size() > 0,
      nondet i = able.oneOf()
      // With a killed member the group bears no further loss for good.
      nondet member = (if (HAS_KILLS) Set(disks.get(i).member)
        else Set(disks.get(i).member, newDisk)).oneOf()
      disks' =
        if (VARIANT == "returnsWithOldDiskId") disks.set(i, emptyDisk(disks.get(i).member))
        else disks
          .set(i, { ...disks.get(i), isAlive: false, role: Follower })
          .put(newDisk, emptyDisk(member)),
      lossesLeft' = lossesLeft - 1,
      keepHistory,
    },
  }

  action step = {
    nondet chance = 1.to(12).oneOf()
    any {
      vote,
      becomeLeader,
      replicate,
      commit,
      remove,
      addLearner,
      promote,
      withdraw,
      end,
      all { chance == 9, startSuccessor },
      all { chance == 10, beginStop },
      all { chance >= 10, kill },
      all { chance <= 4, appendValue },
      all { chance <= 2 or leading == Set(), startElection },
      all { chance >= 11, loseDisk },
    }
  }

  val oneLeaderPerTerm: bool = leaders.keys().forall(t => leaders.get(t).size() <= 1)

  // A leader stores every entry that was committed in its term or before.
  val committedIsKept: bool = and {
    not(isReplaced),
    leading.forall(i => committed.indices().forall(k =>
      committedIn[k] <= disks.get(i).term implies and {
        k < disks.get(i).log.length(),
        k < disks.get(i).log.length() implies disks.get(i).log[k] == committed[k],
      })),
  }

  // While each lost disk is repaired before the next loss, a majority of the voters is always alive.
  val quorumIsAlive: bool = isQuorum(alive, last(committed).voters, true)

  // Where half of the group has to decide, a disk of it knows after a restart that the group is committed.
  val restartIsSurvived: bool = or {
    not(HAS_RESTARTS),
    isMajority(alive, last(committed).voters),
    alive.intersect(last(committed).voters).exists(i => isRecordedOn(disks.get(i), committed)),
  }

  // At least two living voters store what was committed when the last promotion was proposed, even after
  // another disk is lost. If a process was killed besides, one does.
  val copiesAfterRepair: bool = {
    val base = committed.foldl(0, (b, e) => if (e.promoted != 0) e.base else b)
    val holders = alive.intersect(last(committed).voters)
      .filter(i => isPrefix(committed.slice(0, base), disks.get(i).log))
    base == 0 or holders.size() >= (if (HAS_KILLS) 1 else 2)
  }

  // Witnesses: states that some runs must reach, so that the invariants are not only checked on trivial
  // runs.
  val repairIsComplete: bool = committed.select(e => e.promoted != 0).length() > 0
  val secondDiskIsLost: bool =
    repairIsComplete and disks.keys().filter(i => not(disks.get(i).isAlive)).size() >= 2
  val leaderAfterSecondLoss: bool =
    secondDiskIsLost and leading.exists(i => disks.get(i).log.length() > committed.length())
  val severalLeaders: bool = leaders.keys().size() >= 2
  val diskIsLostAfterEnd: bool = and {
    disks.keys().exists(i => disks.get(i).isStopping and not(disks.get(i).isAlive)),
    disks.keys().exists(i => not(disks.get(i).isStopping) and not(disks.get(i).isAlive)),
  }

  // A leader has committed something after half of a group had elected it or acknowledged it.
  val wasLedByHalf: bool = leading.exists(i => and {
    disks.get(i).commit == committed.length(),
    disks.get(i).commit > 0 implies disks.get(i).log[disks.get(i).commit - 1].term == disks.get(i).term,
    not(isMajority(alive, last(committed).voters)),
  })

  // Half of the group is left, and has to decide.
  val halfIsLeft: bool = not(isMajority(alive, last(committed).voters))

  val safe: bool = and {
    oneLeaderPerTerm,
    committedIsKept,
    quorumIsAlive,
    restartIsSurvived,
    copiesAfterRepair,
  }
}

module consensusCorrect {
  import consensus(VARIANT = "none", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = false).*
}
module consensusCorrectFour {
  import consensus(VARIANT = "none", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = false, IS_LED = false).*
}
module consensusReturnsWithOldDiskId {
  import consensus(VARIANT = "returnsWithOldDiskId", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = false).*
}
module consensusPromoteWithoutCatchUp {
  import consensus(VARIANT = "promoteWithoutCatchUp", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = false).*
}
module consensusRemovalAfterPromotion {
  import consensus(VARIANT = "removalAfterPromotion", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = false).*
}
module consensusPromoteBesideLost {
  import consensus(VARIANT = "promoteBesideLost", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = false).*
}
module consensusEndsAsVoter {
  import consensus(VARIANT = "endsAsVoter", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = false, IS_LED = false).*
}
module consensusCorrectKills {
  import consensus(VARIANT = "none", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = true, IS_LED = false).*
}
module consensusCorrectRestarts {
  import consensus(VARIANT = "restarts", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = true, IS_LED = false).*
}
module consensusCommitNotRecorded {
  import consensus(VARIANT = "commitNotRecorded", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = true, IS_LED = false).*
}
module consensusMajoritiesOnly {
  import consensus(VARIANT = "majoritiesOnly", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = true, IS_LED = false).*
}
module consensusHalfBeforeCommit {
  import consensus(VARIANT = "halfBeforeCommit", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = true).*
}
module consensusHalfWithoutLoss {
  import consensus(VARIANT = "halfWithoutLoss", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = true, IS_LED = false).*
}
module consensusLeavesEvenByNewMajority {
  import consensus(VARIANT = "leavesEvenByNewMajority", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = false, IS_LED = true).*
}
module consensusCorrectLedThree {
  import consensus(VARIANT = "none", INITIAL_VOTERS = Set(1, 2, 3), HAS_KILLS = false, IS_LED = true).*
}
module consensusCorrectLedFour {
  import consensus(VARIANT = "none", INITIAL_VOTERS = Set(1, 2, 3, 4), HAS_KILLS = false, IS_LED = true).*
}
