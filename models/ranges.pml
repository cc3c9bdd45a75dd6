/*
 * One range of slots under fencing tokens, as in docs/PLATFORM.md.
 *
 * Upstream 0 owns the range at first; it may move to upstream 1 and back. Hosts 0 and 1 may lead, one at a time, by a
 * record that is bound to a lease. The leader writes the table (owner, previous owner, fencing token, writer), clears
 * the previous owner by a release or by waiting, and sends grants. An order may arrive up to ORDER ticks after it was
 * sent. If its answer is lost, it may be carried out at any later time, but its TTL counts from its arrival. A leader
 * goes on renewing for OUTAGE ticks after its lease has ended, whether or not the store can be reached, or gives way at
 * any time. Host 0 leads first and host 1 takes over; only orders of host 0 lose their answers.
 *
 * An upstream may start again under its name at any time: it forgets its grants and the fencing tokens that it has
 * seen, and nobody is told. Thus an accepted grant rules out grants of earlier leaders only if it was sent when these
 * had stopped and none of their orders could arrive any more.
 *
 * Once, the store may come back from an older copy, in a new era. The copy's leader record and table do not count,
 * since they name an earlier era, and revisions are given out again. Nobody is told: a leader of the earlier era
 * renews grants until the end of its right. Until then it may claim again and carries over: it goes on under its
 * table and fencing tokens of the earlier era, until it has written the table again. If it led until the store came
 * back, no other host can have led since, and it keeps its table. If its lease had ended, and not long before, another
 * host may have led, but cannot complete a move before the end of its right: the table is kept as well, and later moves
 * wait as follows. Any other new leader that finds no table of its era regards each upstream as a possible holder
 * (anyPrevious), names it so in its table, and waits until all grants of leaders of the earlier era have expired.
 *
 * With EVACUATION an operator empties the data centre of either upstream, or takes the request back, at any time; one
 * request is in force at most. Each host learns of either later, or not at all. A leader moves the range to no upstream
 * whose data centre it knows to be emptied, and its moves out are like all others: the old owner may serve until its
 * grants have ended, since hosts that do not know of the request, or know that it was taken back, go on sending to it.
 * The store does not come back from a copy then.
 *
 * All times are those that are left, so that the search is not bounded in time. With LONG_GRANTS and FEW_WRITES
 * a grant lasts longer than an order takes, and the hosts lead in any order; with the first, the store does not come
 * back from a copy.
 *
 * docs/PROOFS.md maps each transition to the code. Each macro NO_... removes one guard; scripts/check-models shows that
 * spin then finds two upstreams that hold the range at once.
 */
#if defined(LONG_GRANTS) || defined(FEW_WRITES)
#define HOLD 2 /* TTL of a grant */
#define mayLead(k) true
#else
#define HOLD 1
#define mayLead(k) (era == 1 || (writes == 0 -> k == 0 : k == 1))
#endif
#define ORDER 1
#define LEASE 1 /* TTL of a leader's lease */
#define OUTAGE 1
#ifdef FEW_WRITES
#define LAST_WRITE 2 /* of each era */
#else
#define LAST_WRITE 4
#endif
#if defined(LONG_GRANTS) || defined(EVACUATION)
#define RETURN false /* of the store from an older copy */
#else
#define RETURN true
#endif
#define NOBODY 2

/* The store. */
bit era = 0;
byte leader = NOBODY;
byte leaseLeft = 0;
byte writes = 0; /* revision */
bit tableEra = 0; /* named in the table */
bit owner = 0;
bool previous = false; /* the other upstream is the previous owner and not yet cleared */
byte predecessorLeft = 0; /* until the right of the leader before the table's writer has ended */
bool anyPrevious = false; /* each upstream may be one */
byte tableUnknownLeft = 0; /* until grants have expired that neither the table nor its writer knows of */
byte writer = NOBODY;
bool isClaimed = false; /* a leader was elected in this era; the claim that the copy may contain is gone */
byte lastLeader = NOBODY; /* led when the store came back */
#ifdef NO_TABLE_ERA
bit ownerAt[LAST_WRITE + 1]; /* by revision, for the copy */
bool previousAt[LAST_WRITE + 1];
byte writerAt[LAST_WRITE + 1] = NOBODY;
#endif

#ifdef EVACUATION
/* The upstream whose data centre is emptied; the last values are those that the hosts know. */
byte emptied = NOBODY;
byte knownEmptied[2] = NOBODY;
bool wasMovedOut = false;
#define mayMoveTo(k, u) (knownEmptied[k] != (u))
#define isMovedOut(k) (knownEmptied[k] == 1 - owner)
#else
#define mayMoveTo(k, u) true
#define isMovedOut(k) false
#endif
/* Whether a move out is complete at once, since nothing is sent to the old owner any more. */
#ifdef NO_WAIT_FOR_EMPTIED
#define isClearedAtOnce(k) isMovedOut(k)
#else
#define isClearedAtOnce(k) false
#endif

/* Upstreams. */
byte holdLeft[2];
byte seenFence[2];

/* Hosts: state of each as leader. The view is its copy of the table. */
bool isLeader[2]; /* acts as leader; may not yet know of a new one or of a new era */
bit claimEra[2]; /* of its leader record */
byte rightLeft[2]; /* to renew grants; its lease has not ended while more than OUTAGE + 1 are left */
byte viewWrites[2];
bit viewOwner[2];
bool viewPrevious[2];
bool viewAny[2];
byte viewFence[2];
bool cleared[2];
bool released[2];
byte earlierLeft[2]; /* until grants of earlier leaders have expired */
byte unknownLeft[2]; /* until grants have expired that no table of this era names */
byte answeredLeft[4]; /* by host * 2 + upstream: until the host's answered grants have expired */
byte unansweredLeft[4]; /* the same for grants without an answer */
mtype = { no, withTable, withoutTable };
mtype carriesOver[2] = no;

/*
 * At most one grant per host is in flight. grantState: 0 none, 1 sent, 2 arrived. A late grant has arrived, its answer
 * is lost, and it may be carried out at any time.
 */
byte grantState[2];
byte orderLeft[2]; /* until the sender gives it up */
byte ttlLeft[2]; /* of one that has arrived */
bit grantTo[2];
byte grantFence[2];
bool sentAfterStop[2]; /* when no earlier leader could send an order any more and none of theirs could arrive */
byte lateTtlLeft; /* only host 0 loses answers; 0: no late grant */
bit lateTo;
byte lateFence;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define holds(u) (holdLeft[u] > 0)

#ifdef NO_RIGHT
#define mayRenew(k) (isLeader[k])
#else
#define mayRenew(k) (isLeader[k] && rightLeft[k] > 0)
#endif
#define mayWrite(k) (isLeader[k] && rightLeft[k] > OUTAGE)
#define leadsWithCurrentView(k) (leader == k && claimEra[k] == era && carriesOver[k] == no && viewWrites[k] == writes)
#ifdef NO_PREDECESSOR
#define earlierGrantsExpired(k) true
#else
#define earlierGrantsExpired(k) (earlierLeft[k] == 0)
#endif
/* Whether an accepted grant that is sent now rules out grants of earlier leaders. */
#ifdef NO_STOP_BEFORE_PROOF
#define isEnoughAfterStop(k) true
#elif defined(NO_ORDER_AFTER_STOP)
#define isEnoughAfterStop(k) (earlierLeft[k] <= ORDER + HOLD)
#else
#define isEnoughAfterStop(k) (earlierLeft[k] < HOLD)
#endif
#ifdef NO_UNANSWERED
#define unansweredExpired(k, u) true
#else
#define unansweredExpired(k, u) (unansweredLeft[(k) * 2 + (u)] == 0)
#endif
#ifdef NO_HOLD_WAIT
#define answeredExpired(k, u) true
#else
#define answeredExpired(k, u) (answeredLeft[(k) * 2 + (u)] == 0)
#endif

#ifdef NO_TABLE_ERA
#define tableCounts true
#else
#define tableCounts (tableEra == era)
#endif
#ifdef NO_FENCE_ERA
#define newFence writes
#else
#define newFence (era * (LAST_WRITE + 1) + writes)
#endif
/* A leader says that it has stopped only if it has, also while it may claim again. */
#ifdef NO_TRUE_STOP
#define saysStopped(k) (!isLeader[k] || claimEra[k] < era)
#else
#define saysStopped(k) (!isLeader[k])
#endif
/*
 * A leader under a table of an earlier era does not believe that a host has stopped which was elected in a later one:
 * if that host gave way, whoever leads next grants as its table says.
 */
#ifdef NO_STOP_ERA
#define believesStop(k) (carriesOver[k] == no)
#elif defined(NO_STOP_TABLE)
#define believesStop(k) (claimEra[k] == era || !isClaimed)
#else
#define believesStop(k) (carriesOver[k] == no && (claimEra[k] == era || !isClaimed))
#endif
#ifdef NO_RENEWAL_ERA
#define isLeaseRenewed(k) (isLeader[k] && (leader == k || claimEra[k] < era))
#else
#define isLeaseRenewed(k) (isLeader[k] && leader == k && claimEra[k] == era)
#endif
/* Whether a leader that claims again may keep its table. */
#ifdef NO_UNBROKEN_LEASE
#define mayKeepTable(k) true
#else
#define mayKeepTable(k) (lastLeader == k)
#endif
/*
 * Whether its lease ended so short a time ago that any move of another leader which waits for this one to stop ends
 * after the right of that leader. Of the lease it knows only that it ended LEASE to LEASE + 1 ticks after the renewal.
 */
#ifdef NO_KEEP_BOUND
#define hasJustEnded(k) true
#else
#define hasJustEnded(k) (rightLeft[k] + ORDER + HOLD >= LEASE + OUTAGE + 2)
#endif
#ifdef NO_UNKNOWN_IN_MOVES
#define unknownGrantsMayHold(k) false
#else
#define unknownGrantsMayHold(k) (unknownLeft[k] > 0)
#endif
#ifdef NO_UNKNOWN_IN_TABLE
#define inheritedUnknown 0
#else
#define inheritedUnknown tableUnknownLeft
#endif
#ifdef NO_CLAIM
#define findsClaim true
#else
#define findsClaim (!isClaimed)
#endif
#ifdef NO_TABLE_READ
#define findsTable false
#else
#define findsTable tableCounts
#endif
/* A leader of the earlier era may have renewed its lease just before the store came back. */
#ifdef NO_LEASE_IN_WAIT
#define ANY_WAIT (OUTAGE + ORDER + HOLD)
#else
#define ANY_WAIT (LEASE + OUTAGE + ORDER + HOLD)
#endif
#ifdef NO_ANY_IN_TABLE
#define namesAny false
#else
#define namesAny true
#endif

inline applyGrant(to, atFence, left)
{
    if
    :: atFence >= seenFence[to] ->
        seenFence[to] = atFence;
        holdLeft[to] = MAX(holdLeft[to], left)
    :: else
    fi
}

/* The forget... macros reset what has no use any more, so that spin regards more states as the same. */
inline forgetGrant(k)
{
    grantState[k] = 0; orderLeft[k] = 0; ttlLeft[k] = 0; grantTo[k] = 0; grantFence[k] = 0;
    sentAfterStop[k] = false
}

inline forgetLedger(k)
{
    answeredLeft[k * 2] = 0; answeredLeft[k * 2 + 1] = 0;
    unansweredLeft[k * 2] = 0; unansweredLeft[k * 2 + 1] = 0
}

inline forgetView(k)
{
    claimEra[k] = 0; rightLeft[k] = 0; viewWrites[k] = 0; viewOwner[k] = 0; viewPrevious[k] = false;
    viewAny[k] = false; viewFence[k] = 0; cleared[k] = false; released[k] = false; earlierLeft[k] = 0;
    unknownLeft[k] = 0; carriesOver[k] = no; forgetLedger(k);
    if :: lastLeader == k -> lastLeader = NOBODY :: else fi
}

/* While a leader carries over, its right is that of the earlier era. */
inline renewLease(k)
{
    if :: carriesOver[k] == no -> rightLeft[k] = LEASE + OUTAGE + 1 :: else fi;
    if :: leader == k -> leaseLeft = LEASE :: else fi
}

inline writeTable(k)
{
    writes++;
    tableEra = era;
    tableUnknownLeft = unknownLeft[k];
    predecessorLeft = (earlierLeft[k] > ORDER + HOLD -> earlierLeft[k] - ORDER - HOLD : 0);
    viewWrites[k] = writes;
#ifdef NO_TABLE_ERA
    ownerAt[writes] = owner; previousAt[writes] = previous; writerAt[writes] = writer
#endif
}

inline reloadView(k)
{
    cleared[k] = !previous && !viewAny[k];
    released[k] = false;
    viewOwner[k] = owner;
    viewPrevious[k] = previous;
    viewFence[k] = newFence
}

/* A host that did not lead becomes leader and writes its first table. */
inline takeOver(k)
{
    forgetLedger(k);
    viewAny[k] = anyPrevious || !tableCounts;
    previous = previous && tableCounts;
    anyPrevious = viewAny[k] && namesAny;
    unknownLeft[k] = (tableCounts -> inheritedUnknown : ANY_WAIT);
    earlierLeft[k] = (!tableCounts || writer == NOBODY -> 0 :
        (writer == k -> predecessorLeft : OUTAGE) + ORDER + HOLD);
    leader = k; isLeader[k] = true; claimEra[k] = era; writer = k; carriesOver[k] = no; isClaimed = era == 1;
    renewLease(k);
    writeTable(k);
    reloadView(k)
}

/* A table that names the earlier era counts only in variants. */
inline staleTable(k)
{
    owner = 0; previous = false; anyPrevious = false; writer = NOBODY; tableUnknownLeft = 0;
#if defined(NO_TABLE_ERA) || defined(NO_ANSWER_ERA)
    owner = 1 - viewOwner[k]; previous = true; writer = k;
#endif
#ifdef NO_ANSWER_ERA
    viewWrites[k] = writes; reloadView(k)
#endif
}

/* Ends carrying over; the present lease counts from here on. */
inline rewriteTable(k)
{
    writer = k; owner = viewOwner[k]; previous = viewPrevious[k]; anyPrevious = viewAny[k] && namesAny;
    carriesOver[k] = no; rightLeft[k] = leaseLeft + OUTAGE + 1;
    writeTable(k);
    viewFence[k] = newFence
}

inline keepLedger(k)
{
#ifdef NO_KEPT_LEDGER
    forgetLedger(k)
#else
    skip
#endif
}

#define mayTakeOver(k) (leader == NOBODY && !isLeader[k] && grantState[k] == 0 && writes < LAST_WRITE)

proctype Host(byte k)
{
    do
    :: d_step { mayTakeOver(k) && tableCounts && mayLead(k) -> takeOver(k) }
    :: d_step { mayTakeOver(k) && !tableCounts -> owner = 0; takeOver(k) }
    :: d_step { mayTakeOver(k) && !tableCounts -> owner = 1; takeOver(k) }
    :: d_step { mayRenew(k) && claimEra[k] < era && leader == NOBODY && writes < LAST_WRITE ->
        if
        :: mayKeepTable(k) -> carriesOver[k] = withTable
        :: !mayKeepTable(k) && hasJustEnded(k) -> carriesOver[k] = withTable; unknownLeft[k] = ANY_WAIT
        :: else -> carriesOver[k] = withoutTable; unknownLeft[k] = ANY_WAIT
        fi;
        leader = k; claimEra[k] = era; leaseLeft = LEASE; isClaimed = true;
        if :: lastLeader == k -> lastLeader = NOBODY :: else fi }
    :: d_step { carriesOver[k] == withTable && leader == k && mayRenew(k) && !findsTable && writes < LAST_WRITE ->
        rewriteTable(k);
        keepLedger(k) }
    /* Starts anew from its own table, since nobody has written one in this era, or from one of this era. */
    :: d_step { carriesOver[k] != no && leader == k && rightLeft[k] == 0 && !findsTable && writes < LAST_WRITE &&
            grantState[k] == 0 ->
        viewPrevious[k] = false; viewAny[k] = true; cleared[k] = false; released[k] = false;
        if :: unknownLeft[k] == 0 -> unknownLeft[k] = ANY_WAIT :: else fi;
        earlierLeft[k] = 0; forgetLedger(k); rewriteTable(k) }
    :: d_step { carriesOver[k] != no && leader == k && findsTable && writes < LAST_WRITE && grantState[k] == 0 ->
        takeOver(k) }
    :: d_step { isLeaseRenewed(k) -> renewLease(k) }
    :: d_step { mayWrite(k) && leadsWithCurrentView(k) && writes < LAST_WRITE && !viewPrevious[k] && !viewAny[k] &&
            grantState[k] == 0 && mayMoveTo(k, 1 - viewOwner[k]) ->
        owner = 1 - viewOwner[k]; previous = true;
        viewAny[k] = unknownGrantsMayHold(k); anyPrevious = viewAny[k] && namesAny;
        writeTable(k); reloadView(k);
        if :: isClearedAtOnce(k) -> cleared[k] = true :: else fi;
#ifdef EVACUATION
        wasMovedOut = isMovedOut(k)
#endif
    }
#ifdef EVACUATION
    :: d_step { knownEmptied[k] != emptied -> knownEmptied[k] = emptied }
#endif
    /*
     * A leader that has not heard of the new era writes. Revisions may match by chance, and its claim may be in the
     * copy; the table names the earlier era, and so the write has no effect if its writer sees the answer's era.
     */
    :: d_step { mayWrite(k) && claimEra[k] < era && findsClaim && writes < LAST_WRITE && !viewPrevious[k] &&
            grantState[k] == 0 ->
        writes++; tableEra = claimEra[k]; staleTable(k) }
    /* Learns of the new leader or era, or its process ends. */
    :: d_step { isLeader[k] && (leader != k || claimEra[k] < era) -> isLeader[k] = false; forgetView(k) }
    :: d_step { isLeader[k] && earlierLeft[k] > ORDER + HOLD && saysStopped(1 - k) &&
            believesStop(k) ->
        earlierLeft[k] = ORDER + HOLD }
    /* Gives way by itself; its lease is revoked. */
    :: d_step { isLeader[k] && leader == k && claimEra[k] == era ->
        leader = NOBODY; leaseLeft = 0; isLeader[k] = false; forgetView(k) }
    :: d_step { mayRenew(k) && viewPrevious[k] && !cleared[k] && grantState[k] == 0 && !released[k] ->
        holdLeft[1 - viewOwner[k]] = 0; released[k] = true }
    :: d_step { mayRenew(k) && viewPrevious[k] && !cleared[k] && grantState[k] == 0 && earlierGrantsExpired(k) &&
            (!viewAny[k] || unknownLeft[k] == 0) && unansweredExpired(k, 1 - viewOwner[k]) &&
            (released[k] || answeredExpired(k, 1 - viewOwner[k])) ->
        cleared[k] = true; released[k] = false }
    :: d_step { mayRenew(k) && viewAny[k] && !viewPrevious[k] && !cleared[k] && unknownLeft[k] == 0 ->
        cleared[k] = true }
    :: d_step { mayRenew(k) && cleared[k] && grantState[k] == 0 ->
        grantState[k] = 1; orderLeft[k] = ORDER; grantTo[k] = viewOwner[k]; grantFence[k] = viewFence[k];
        sentAfterStop[k] = earlierLeft[k] > 0 && isEnoughAfterStop(k) }
    :: d_step { grantState[k] == 1 -> grantState[k] = 2; ttlLeft[k] = HOLD }
    :: d_step { grantState[k] == 2 ->
        if
        :: isLeader[k] ->
            if
            :: grantFence[k] == viewFence[k] && grantFence[k] >= seenFence[grantTo[k]] ->
                if :: sentAfterStop[k] -> earlierLeft[k] = 0 :: else fi
            :: else
            fi;
            answeredLeft[k * 2 + grantTo[k]] = HOLD
        :: else
        fi;
        applyGrant(grantTo[k], grantFence[k], ttlLeft[k]);
        forgetGrant(k) }
    :: d_step { grantState[k] > 0 && k == 0 && lateTtlLeft == 0 ->
        lateTtlLeft = ttlLeft[k];
        if :: lateTtlLeft > 0 -> lateTo = grantTo[k]; lateFence = grantFence[k] :: else fi;
        if :: isLeader[k] -> unansweredLeft[k * 2 + grantTo[k]] = HOLD :: else fi;
        forgetGrant(k) }
    :: d_step { k == 0 && lateTtlLeft > 0 ->
        applyGrant(lateTo, lateFence, lateTtlLeft);
        lateTtlLeft = 0; lateTo = 0; lateFence = 0 }
    :: d_step { mayWrite(k) && cleared[k] && (viewPrevious[k] || viewAny[k]) && leadsWithCurrentView(k) &&
            writes < LAST_WRITE && holds(owner) ->
        previous = false; anyPrevious = false; viewPrevious[k] = false; viewAny[k] = false; writeTable(k) }
    od
}

/* Forgets the token that an upstream has seen if no order can bear a lower one: new tokens are higher. */
#if defined(KEEP_FENCES) || defined(NO_FENCE_ERA)
#define mayComeBelow(u) true
#else
#define isBelow(fence, u) (fence < seenFence[u])
#define mayComeBelow(u) ((isLeader[0] && isBelow(viewFence[0], u)) || (isLeader[1] && isBelow(viewFence[1], u)) || \
    (grantState[0] > 0 && isBelow(grantFence[0], u)) || (grantState[1] > 0 && isBelow(grantFence[1], u)) || \
    (lateTtlLeft > 0 && isBelow(lateFence, u)))
#endif
inline forgetFence(u)
{
    if :: !mayComeBelow(u) -> seenFence[u] = 0 :: else fi
}

#define passTick(time) time = (time > 0 -> time - 1 : 0)
#define givesUp(k) (grantState[k] > 0 && orderLeft[k] == 0)

/* Time stops while a grant in flight is to be given up or a lease that was not renewed is to end. */
proctype Clock()
{
    do
    :: d_step { !givesUp(0) && !givesUp(1) && !(leader != NOBODY && leaseLeft == 0) ->
        passTick(leaseLeft); passTick(holdLeft[0]); passTick(holdLeft[1]);
        passTick(rightLeft[0]); passTick(rightLeft[1]); passTick(earlierLeft[0]); passTick(earlierLeft[1]);
        passTick(unknownLeft[0]); passTick(unknownLeft[1]); passTick(tableUnknownLeft);
        passTick(predecessorLeft);
        passTick(answeredLeft[0]); passTick(answeredLeft[1]); passTick(answeredLeft[2]); passTick(answeredLeft[3]);
        passTick(unansweredLeft[0]); passTick(unansweredLeft[1]);
        passTick(orderLeft[0]); passTick(orderLeft[1]); passTick(ttlLeft[0]); passTick(ttlLeft[1]);
        passTick(lateTtlLeft);
        if :: lateTtlLeft == 0 -> lateTo = 0; lateFence = 0 :: else fi;
        forgetFence(0); forgetFence(1) }
    :: d_step { leader != NOBODY && leaseLeft == 0 -> leader = NOBODY }
    od
}

/*
 * The store comes back from a copy as of some earlier revision. If the copy's table does not count, the revision has no
 * effect: a new fencing token is higher by its era, and a stale write may always find the revision that it expects.
 */
inline restoreCopy(revision)
{
    d_step { RETURN && era == 0 && writes > 0 && revision <= writes ->
        lastLeader = leader; era = 1; leader = NOBODY; leaseLeft = 0;
        writes = revision; owner = 0; previous = false; writer = NOBODY; predecessorLeft = 0;
#ifdef NO_TABLE_ERA
        owner = ownerAt[writes]; previous = previousAt[writes]; writer = writerAt[writes]
#endif
    }
}

/*
 * An order's connection belongs to one process of an upstream: those that have arrived are lost with it, and their
 * senders see the connection end. One that has not arrived reaches the next process.
 */
inline restart(u)
{
    holdLeft[u] = 0; seenFence[u] = 0;
    if :: grantState[0] == 2 && grantTo[0] == u -> forgetGrant(0) :: else fi;
    if :: grantState[1] == 2 && grantTo[1] == u -> forgetGrant(1) :: else fi;
    if :: lateTtlLeft > 0 && lateTo == u -> lateTtlLeft = 0; lateTo = 0; lateFence = 0 :: else fi
}

#define hasArrived(k, u) (grantState[k] == 2 && grantTo[k] == u)

proctype Upstream(bit u)
{
    do
    :: d_step { seenFence[u] > 0 || holds(u) || hasArrived(0, u) || hasArrived(1, u) ||
            (lateTtlLeft > 0 && lateTo == u) ->
        restart(u) }
    od
}

proctype Store()
{
#ifdef NO_TABLE_ERA
    if
    :: restoreCopy(0)
    :: restoreCopy(1)
    :: restoreCopy(2)
    :: restoreCopy(3)
    :: restoreCopy(4)
    fi
#else
    restoreCopy(0)
#endif
}

#ifdef EVACUATION
proctype Operator()
{
    do
    :: d_step { emptied == NOBODY -> emptied = 0 }
    :: d_step { emptied == NOBODY -> emptied = 1 }
    :: d_step { emptied != NOBODY -> emptied = NOBODY }
    od
}
#endif

init { atomic { run Host(0); run Host(1); run Clock(); run Store(); run Upstream(0); run Upstream(1)
#ifdef EVACUATION
    ; run Operator()
#endif
} }

ltl oneOwner { [] !(holds(0) && holds(1)) }
/* Expected to be violated, which shows that the range can move to the other upstream. */
ltl neverMoves { [] !holds(1) }
#ifdef EVACUATION
/* Expected to be violated, which shows that the range leaves a data centre that is emptied and is served elsewhere. */
ltl neverLeaves { [] !(wasMovedOut && holds(owner) && emptied == 1 - owner) }
#endif
/* Expected to be violated, which shows that a leader that waited for any upstream grants the range. */
#define grantsAgain(k) (viewAny[k] && cleared[k] && holds(viewOwner[k]) && seenFence[viewOwner[k]] == viewFence[k])
ltl neverGrantsAgain { [] !(grantsAgain(0) || grantsAgain(1)) }
/* Expected to be violated, which shows that a leader whose lease had ended keeps the range with its owner. */
#define keeps(k) (carriesOver[k] == no && unknownLeft[k] > 0 && !viewAny[k] && holds(viewOwner[k]) && \
    seenFence[viewOwner[k]] == viewFence[k])
ltl neverKeeps { [] !(keeps(0) || keeps(1)) }
