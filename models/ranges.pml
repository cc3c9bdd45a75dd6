/*
 * One range of slots under fencing tokens, as in docs/PLATFORM.md.
 *
 * Upstream 0 owns the range at first; it may move to upstream 1 and back. Hosts 0 and 1 may lead, one at a time, by a
 * record that is bound to a lease. The leader writes the table (owner, previous owner, fencing token, writer), clears
 * the previous owner by a release or by waiting, and sends grants. An order may arrive up to ORDER ticks after it was
 * sent. If its answer is lost, it may be carried out at any later time, but its TTL counts from its arrival. A leader
 * goes on renewing for OUTAGE ticks after its lease has ended, whether or not the store can be reached. Host 0 leads
 * first and host 1 takes over; only orders of host 0 lose their answers.
 *
 * docs/PROOFS.md maps each transition to the code. Each macro NO_... removes one guard; scripts/check-models shows for
 * three of them that spin then finds two upstreams that hold the range at once. For the others see docs/PROOFS.md.
 */
#define HOLD 1 /* TTL of a grant */
#define ORDER 1
#define LEASE 1 /* TTL of a leader's lease */
#define OUTAGE 1
#define LAST_TICK 5
#define LAST_WRITE 3
#define NOBODY 2

byte now = 0;

/* The store. */
byte leader = NOBODY;
byte leaseEnd = 0;
byte writes = 0;
bit owner = 0;
bool previous = false; /* the other upstream is the previous owner and not yet cleared */
byte fence = 0;
byte writer = NOBODY;

/* Upstreams. */
byte expires[2];
byte seenFence[2];

/* Hosts: state of each as leader. The view is its copy of the table. */
bool isLeader[2]; /* acts as leader; may not yet know of a new one */
byte knownLeaseEnd[2]; /* the lease's end as far as the host knows */
byte viewWrites[2];
bit viewOwner[2];
bool viewPrevious[2];
byte viewFence[2];
bool cleared[2];
bool released[2];
bool hasEarlierGrants[2]; /* grants of the previous leader may still be valid */
byte leaderSince[2];
byte stoppedAt[2];
bool stopKnown[2];
byte answeredUntil[4]; /* by host * 2 + upstream: when the host's answered grants have expired */
byte unansweredUntil[4]; /* the same for grants without an answer */

/*
 * At most one grant per host is in flight. grantState: 0 none, 1 sent, 2 arrived. A late grant has arrived, its answer
 * is lost, and it may be carried out at any time.
 */
byte grantState[2];
byte sentAt[2];
byte arrivedAt[2];
bit grantTo[2];
byte grantFence[2];
bool lateGrant[2];
byte lateArrived[2];
bit lateTo[2];
byte lateFence[2];

#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_RIGHT
#define mayRenew(k) (isLeader[k])
#else
#define mayRenew(k) (isLeader[k] && now < knownLeaseEnd[k] + OUTAGE)
#endif
#ifdef NO_PREDECESSOR
#define earlierGrantsExpired(k) true
#else
#define earlierGrantsExpired(k) (!hasEarlierGrants[k] \
    || now >= (stopKnown[k] -> stoppedAt[k] : leaderSince[k] + OUTAGE) + ORDER + HOLD)
#endif
#ifdef NO_UNANSWERED
#define unansweredExpired(k, u) true
#else
#define unansweredExpired(k, u) (now >= unansweredUntil[(k) * 2 + (u)])
#endif
#ifdef NO_HOLD_WAIT
#define answeredExpired(k, u) true
#else
#define answeredExpired(k, u) (now >= answeredUntil[(k) * 2 + (u)])
#endif
#define leadsWithCurrentView(k) (leader == k && now < leaseEnd && viewWrites[k] == writes)

inline applyGrant(to, atFence, arrived)
{
    if
    :: atFence >= seenFence[to] ->
        seenFence[to] = atFence;
        expires[to] = MAX(expires[to], arrived + HOLD)
    :: else
    fi
}

inline reloadView(k)
{
    cleared[k] = !previous;
    released[k] = false;
    viewWrites[k] = writes;
    viewOwner[k] = owner;
    viewPrevious[k] = previous;
    viewFence[k] = fence
}

proctype Host(byte k)
{
    do
    :: d_step { leader == NOBODY && (writes == 0 -> k == 0 : k == 1) && !isLeader[k] && grantState[k] == 0 &&
            writes < LAST_WRITE ->
        leader = k; leaseEnd = now + LEASE; knownLeaseEnd[k] = leaseEnd; isLeader[k] = true;
        hasEarlierGrants[k] = (writer != NOBODY); leaderSince[k] = now;
        stopKnown[k] = (writer == k); stoppedAt[k] = now;
        answeredUntil[k * 2] = 0; answeredUntil[k * 2 + 1] = 0;
        unansweredUntil[k * 2] = 0; unansweredUntil[k * 2 + 1] = 0;
        writes++; fence = writes; writer = k; reloadView(k) }
    :: d_step { isLeader[k] && leader == k && now < leaseEnd -> leaseEnd = now + LEASE; knownLeaseEnd[k] = leaseEnd }
    :: d_step { isLeader[k] && now < knownLeaseEnd[k] && leadsWithCurrentView(k) && writes < LAST_WRITE &&
            !viewPrevious[k] && grantState[k] == 0 ->
        owner = 1 - viewOwner[k]; previous = true; writes++; fence = writes; reloadView(k) }
    :: d_step { isLeader[k] && leader != k -> isLeader[k] = false } /* learns of the new leader, or its process ends */
    :: d_step { isLeader[k] && hasEarlierGrants[k] && !stopKnown[k] && !isLeader[1 - k] ->
        stopKnown[k] = true; stoppedAt[k] = now }
    :: d_step { mayRenew(k) && viewPrevious[k] && !cleared[k] && grantState[k] == 0 && !released[k] ->
        expires[1 - viewOwner[k]] = 0; released[k] = true }
    :: d_step { mayRenew(k) && viewPrevious[k] && !cleared[k] && grantState[k] == 0 && earlierGrantsExpired(k) &&
            unansweredExpired(k, 1 - viewOwner[k]) && (released[k] || answeredExpired(k, 1 - viewOwner[k])) ->
        cleared[k] = true }
    :: d_step { mayRenew(k) && cleared[k] && grantState[k] == 0 ->
        grantState[k] = 1; sentAt[k] = now; grantTo[k] = viewOwner[k]; grantFence[k] = viewFence[k] }
    :: d_step { grantState[k] == 1 -> grantState[k] = 2; arrivedAt[k] = now }
    :: d_step { grantState[k] == 2 ->
        if
        :: grantFence[k] >= seenFence[grantTo[k]] ->
            if :: grantFence[k] == viewFence[k] -> hasEarlierGrants[k] = false :: else fi
        :: else
        fi;
        applyGrant(grantTo[k], grantFence[k], arrivedAt[k]);
        answeredUntil[k * 2 + grantTo[k]] = MAX(answeredUntil[k * 2 + grantTo[k]], now + HOLD);
        grantState[k] = 0 }
    :: d_step { grantState[k] > 0 && k == 0 && !lateGrant[k] ->
        if
        :: grantState[k] == 2 -> lateGrant[k] = true; lateArrived[k] = arrivedAt[k]; lateTo[k] = grantTo[k];
            lateFence[k] = grantFence[k]
        :: else
        fi;
        unansweredUntil[k * 2 + grantTo[k]] = MAX(unansweredUntil[k * 2 + grantTo[k]], now + HOLD);
        grantState[k] = 0 }
    :: d_step { lateGrant[k] -> lateGrant[k] = false;
        if :: lateArrived[k] + HOLD > now -> applyGrant(lateTo[k], lateFence[k], lateArrived[k]) :: else fi }
    :: d_step { mayRenew(k) && cleared[k] && viewPrevious[k] && leadsWithCurrentView(k) && !hasEarlierGrants[k] &&
            writes < LAST_WRITE && expires[owner] > now && now < knownLeaseEnd[k] ->
        previous = false; viewPrevious[k] = false; writes++; viewWrites[k] = writes }
    :: now == LAST_TICK -> break
    od
}

/* Time stops ORDER ticks after a grant was sent if it is still in flight, because its sender gives it up by then. */
proctype Clock()
{
    do
    :: d_step { now < LAST_TICK && !(grantState[0] > 0 && now >= sentAt[0] + ORDER) &&
            !(grantState[1] > 0 && now >= sentAt[1] + ORDER) ->
        now++;
        if :: leader != NOBODY && now >= leaseEnd -> leader = NOBODY :: else fi }
    :: now == LAST_TICK -> break
    od
}

init { atomic { run Host(0); run Host(1); run Clock() } }

ltl oneOwner { [] !(expires[0] > now && expires[1] > now) }
/* Expected to be violated, which shows that the range can move to the other upstream. */
ltl neverMoves { [] !(expires[1] > now) }
