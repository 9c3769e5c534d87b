// Token grants of one client account (docs/design.md, section 3.4).
//
// Time is discrete. The ledger uses logical time, which may lag behind real time but is never ahead of
// it. Commands take effect between two ticks.
module grants {
  // Rule that this variant breaks, or "none".
  const VARIANT: str
  const BURST: int // tokens
  // Ticks per second. With 2, intervals can also start in the middle of an epoch; with 1, a run of the
  // same number of steps covers twice the time.
  const SECOND: int

  pure val RATE = 1 // tokens per tick
  pure val EPOCH = SECOND // ticks
  pure val LEASE = 2 * SECOND // ticks from the time the entry sent its request
  pure val EXPIRY = 4 * SECOND // ticks of logical time from the commit of the grant
  pure val EPOCHS_KEPT = 4
  pure val MAX_TIME = 16 // ticks
  pure val MAX_GRANTS = 6

  // A grant, as the ledger and the entry know it. Ledger: `left` are the tokens that still count in
  // `outstanding`, `reported` is the highest total of spent tokens that it has received. Entry: `spent`
  // and `returned`.
  type Grant = {
    sentAt: int,
    committedAt: int,
    epoch: int,
    amount: int,
    left: int,
    reported: int,
    spent: int,
    returned: int,
    // Whether the ledger has applied the return.
    isReturned: bool
  }

  type Admission = { grant: int, at: int, charge: int, refund: int, isRefunded: bool }

  type Message =
    | Want({ sentAt: int, amount: int })
    // All tokens of a grant that the entry has spent so far.
    | Spent({ grant: int, total: int })
    | Returned({ grant: int, amount: int })
    // Unused tokens of an admission.
    | Refund({ admission: int, amount: int })

  // How rarely entries admit requests in this run: 1, 2 or 4, with 4 the rarest. Runs with different
  // values reach different states: unspent grants expire only when admissions are rare.
  var pace: int
  var now: int
  var logical: int
  // State of the ledger.
  var level: int
  var outstanding: int
  var grants: List[Grant]
  // Epoch limits: upper limits for level plus outstanding in refunds of grants of an epoch.
  var epochLimits: int -> int
  // Messages that are sent to the ledger; each may arrive at any time or never.
  var messages: Set[Message]
  var admissions: List[Admission]
  // Tokens admitted since each start tick, less unused ones.
  var admittedSince: int -> int

  action init = {
    nondet chosen = Set(1, 2, 4).oneOf()
    all {
      pace' = chosen,
      now' = 0,
      logical' = 0,
      level' = BURST,
      outstanding' = 0,
      grants' = [],
      epochLimits' = Map(0 -> BURST),
      messages' = Set(),
      admissions' = [],
      admittedSince' = Map(0 -> 0),
    }
  }

  action keepLedger = all {
    level' = level,
    outstanding' = outstanding,
    grants' = grants,
    epochLimits' = epochLimits,
  }

  action keepTime = all { now' = now, logical' = logical, pace' = pace }

  action keepEntries = all { admissions' = admissions, admittedSince' = admittedSince }

  pure def min(a: int, b: int): int = if (a < b) a else b
  pure def max(a: int, b: int): int = if (a > b) a else b

  def refill(value: int): int = min(BURST, value + RATE)

  // Tokens that are not reported within EXPIRY ticks of logical time count as spent.
  pure def isExpired(g: Grant, t: int): bool = g.left > 0 and t - g.committedAt >= EXPIRY

  // Real time advances, and logical time with it unless it lags, as around a failover.
  action tick: bool = {
    nondet isLagging = Set(1, 2, 3, 4, 5, 6).oneOf()
    val t = if (isLagging == 1) logical else logical + 1
    val gone = grants.foldl(0, (sum, g) => if (isExpired(g, t)) sum + g.left else sum)
    val o = outstanding - gone
    // Expired tokens count as reported spending, before the refill of the tick.
    val l =
      if (t == logical) level
      else if (VARIANT == "outstandingNotCounted") refill(level)
      else refill(level + o) - o
    val levels = epochLimits.keys().mapBy(e => {
      val s = epochLimits.get(e) - gone
      if (t == logical) s else refill(s)
    })
    val epoch = t / EPOCH
    all {
      now < MAX_TIME,
      now' = now + 1,
      logical' = t,
      outstanding' = o,
      level' = l,
      grants' = grants.foldl([], (list, g) =>
        list.append(if (isExpired(g, t)) { ...g, left: 0 } else g)),
      epochLimits' = (if (levels.keys().contains(epoch)) levels else levels.put(epoch, BURST))
        .keys().filter(e => e > epoch - EPOCHS_KEPT)
        .mapBy(e => if (levels.keys().contains(e)) levels.get(e) else BURST),
      admittedSince' = admittedSince.put(now + 1, 0),
      messages' = messages,
      admissions' = admissions,
      pace' = pace,
    }
  }

  // An entry requests as many tokens as it can get.
  action want: bool = {
    val message = Want({ sentAt: now, amount: BURST })
    all {
      grants.length() < MAX_GRANTS,
      level > 0,
      not(messages.contains(message)),
      messages' = messages.union(Set(message)),
      keepTime,
      keepLedger,
      keepEntries,
    }
  }

  // An entry admits a request with tokens of a grant whose lease has not expired.
  action admit: bool = all {
    grants.length() > 0,
    nondet index = grants.indices().oneOf()
    val g = grants[index]
    val free = g.amount - g.spent - g.returned
    nondet charge = oneOf(Set(1, free))
    all {
      free > 0,
      now < g.sentAt + LEASE or VARIANT == "spendAfterLease",
      grants' = grants.replaceAt(index, { ...g, spent: g.spent + charge }),
      admissions' = admissions.append(
        { grant: index, at: now, charge: charge, refund: 0, isRefunded: false }),
      admittedSince' = admittedSince.keys().mapBy(s => admittedSince.get(s) + charge),
      messages' = messages,
      level' = level,
      outstanding' = outstanding,
      epochLimits' = epochLimits,
      keepTime,
    },
  }

  // An entry reports the total that it has spent of a grant.
  action report: bool = all {
    grants.length() > 0,
    nondet index = grants.indices().oneOf()
    val g = grants[index]
    val message = Spent({ grant: index, total: g.spent })
    all {
      g.spent > g.reported,
      not(messages.contains(message)),
      messages' = messages.union(Set(message)),
      keepTime,
      keepLedger,
      keepEntries,
    },
  }

  // An entry returns the unspent tokens of a grant and can't spend them any more.
  action returnTokens: bool = all {
    grants.length() > 0,
    nondet index = grants.indices().oneOf()
    val g = grants[index]
    val free = g.amount - g.spent - g.returned
    all {
      free > 0,
      g.returned == 0,
      grants' = grants.replaceAt(index, { ...g, returned: free }),
      messages' = messages.union(Set(Returned({ grant: index, amount: free }))),
      level' = level,
      outstanding' = outstanding,
      epochLimits' = epochLimits,
      keepTime,
      keepEntries,
    },
  }

  // A request that used less than it was charged ends, and its unused tokens are refunded.
  action settle: bool = all {
    admissions.length() > 0,
    nondet index = admissions.indices().oneOf()
    val a = admissions[index]
    nondet unused = Set(1, a.charge).oneOf()
    all {
      a.refund == 0,
      admissions' = admissions.replaceAt(index, { ...a, refund: unused }),
      admittedSince' = admittedSince.keys().mapBy(s =>
        if (s <= a.at) admittedSince.get(s) - unused else admittedSince.get(s)),
      messages' = messages.union(Set(Refund({ admission: index, amount: unused }))),
      keepTime,
      keepLedger,
    },
  }

  // The ledger applies a message. The message may arrive again, because the entry resends it when the
  // answer is lost.
  action deliver: bool = all {
    messages.size() > 0,
    nondet message = messages.oneOf()
    nondet chance = 1.to(5).oneOf()
    val isResent = match message {
      | Want(_) => false
      | _ => chance <= 2
    }
    all {
      messages' = if (isResent) messages else messages.exclude(Set(message)),
      match message {
        | Want(w) => all {
            val amount = min(w.amount, level)
            all {
              grants' =
                if (amount <= 0 or grants.length() >= MAX_GRANTS) grants
                else grants.append({
                  sentAt: w.sentAt,
                  committedAt: logical,
                  epoch: logical / EPOCH,
                  amount: amount,
                  left: amount,
                  reported: 0,
                  spent: 0,
                  returned: 0,
                  isReturned: false
                }),
              level' = if (grants.length() >= MAX_GRANTS) level else level - max(0, amount),
              outstanding' =
                if (grants.length() >= MAX_GRANTS) outstanding else outstanding + max(0, amount),
            },
            epochLimits' = epochLimits,
            admissions' = admissions,
          }
        | Spent(m) => {
            val g = grants[m.grant]
            val newlySpent =
              if (VARIANT == "duplicateReport") m.total else max(0, m.total - g.reported)
            val used =
              if (VARIANT == "duplicateReport" or VARIANT == "lateReport") min(outstanding, newlySpent)
              else min(g.left, newlySpent)
            all {
              grants' = grants.replaceAt(m.grant,
                { ...g, reported: max(g.reported, m.total), left: max(0, g.left - used) }),
              outstanding' = outstanding - used,
              epochLimits' = epochLimits.keys().mapBy(e => epochLimits.get(e) - used),
              level' = level,
              admissions' = admissions,
            }
          }
        | Returned(m) => {
            val g = grants[m.grant]
            // An entry returns all unspent tokens, once. Expired ones still count as spent.
            val back =
              if (VARIANT == "duplicateReturn") min(m.amount, outstanding)
              else if (g.isReturned) 0
              else min(m.amount, g.left)
            all {
              grants' = grants.replaceAt(m.grant, { ...g, isReturned: true, left: max(0, g.left - back) }),
              outstanding' = outstanding - back,
              level' = level + back,
              epochLimits' = epochLimits,
              admissions' = admissions,
            }
          }
        | Refund(m) => {
            val a = admissions[m.admission]
            val epoch = grants[a.grant].epoch
            val isKept = epochLimits.keys().contains(epoch)
            val isApplied = and {
              isKept or VARIANT == "plainRefund",
              not(a.isRefunded) or VARIANT == "duplicateRefund",
            }
            val p = level + outstanding
            val cap =
              if (VARIANT == "plainRefund") BURST
              else if (isKept) epochLimits.get(epoch)
              else 0
            all {
              level' = if (isApplied) max(p, min(p + m.amount, cap)) - outstanding else level,
              epochLimits' =
                if (not(isApplied)) epochLimits
                else epochLimits.keys().mapBy(e =>
                  if (e < epoch) max(epochLimits.get(e), min(epochLimits.get(e) + m.amount, cap))
                  else epochLimits.get(e)),
              admissions' = admissions.replaceAt(m.admission, { ...a, isRefunded: true }),
              outstanding' = outstanding,
              grants' = grants,
            }
          }
      },
      admittedSince' = admittedSince,
      keepTime,
    },
  }

  action step = {
    nondet chance = 1.to(4).oneOf()
    any {
      tick,
      tick,
      deliver,
      deliver,
      report,
      all { chance == 1, settle },
      all { chance * pace <= 4, admit },
      all { chance >= 3, want },
      all { chance == 1, returnTokens },
    }
  }

  // For every start tick, the tokens admitted since then, less unused ones, are at most
  // rate x elapsed + burst.
  val withinRateAndBurst: bool = admittedSince.keys().forall(s =>
    admittedSince.get(s) <= RATE * (now - s) + BURST)

  // Level plus outstanding tokens of the ledger never exceed the burst, and neither is negative.
  val levelWithinBurst: bool = level >= 0 and outstanding >= 0 and level + outstanding <= BURST

  // No entry holds tokens that the ledger does not count as outstanding.
  val heldIsOutstanding: bool = grants.foldl(0, (sum, g) =>
    if (now < g.sentAt + LEASE) sum + g.amount - g.spent - g.returned else sum) <= outstanding

  // Witnesses: states that some runs must reach, so that the invariants are not only checked on trivial
  // runs.
  val refundWasApplied: bool = admissions.foldl(false, (found, a) => found or a.isRefunded)
  val refundMeetsCap: bool = messages.exists(message => match message {
    | Refund(m) => {
        val epoch = grants[admissions[m.admission].grant].epoch
        and {
          not(admissions[m.admission].isRefunded),
          epochLimits.keys().contains(epoch),
          epochLimits.keys().contains(epoch) implies and {
            epochLimits.get(epoch) < BURST,
            level + outstanding + m.amount > epochLimits.get(epoch),
          },
        }
      }
    | _ => false
  })
  val grantExpired: bool = grants.foldl(false, (found, g) =>
    found or (g.left == 0 and not(g.isReturned) and g.reported < g.amount))
  val logicalTimeLags: bool = logical < now

  val safe: bool = withinRateAndBurst and levelWithinBurst and heldIsOutstanding
}

module grantsCorrect {
  import grants(VARIANT = "none", BURST = 3, SECOND = 2).*
}
module grantsCorrectShort {
  import grants(VARIANT = "none", BURST = 2, SECOND = 1).*
}
module grantsCorrectLargeBurst {
  import grants(VARIANT = "none", BURST = 4, SECOND = 1).*
}
module grantsPlainRefund {
  import grants(VARIANT = "plainRefund", BURST = 2, SECOND = 1).*
}
module grantsOutstandingNotCounted {
  import grants(VARIANT = "outstandingNotCounted", BURST = 2, SECOND = 1).*
}
module grantsSpendAfterLease {
  import grants(VARIANT = "spendAfterLease", BURST = 2, SECOND = 1).*
}
module grantsDuplicateReport {
  import grants(VARIANT = "duplicateReport", BURST = 2, SECOND = 1).*
}
module grantsLateReport {
  import grants(VARIANT = "lateReport", BURST = 2, SECOND = 1).*
}
module grantsDuplicateReturn {
  import grants(VARIANT = "duplicateReturn", BURST = 2, SECOND = 1).*
}
module grantsDuplicateRefund {
  import grants(VARIANT = "duplicateRefund", BURST = 4, SECOND = 1).*
}
