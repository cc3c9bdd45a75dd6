/*
 * One range of slots under fencing tokens, as in docs/PLATFORM.md.
 *
 * Upstream 0 owns the range at first; it may move to upstream 1 and back. Hosts 0 and 1 may keep the range, one at a
 * time by a leased record. A keeper writes the table (owner, previous owner, fence, writer), clears the previous owner by
 * a release or by waiting, and grants. An order may arrive up to ORDER ticks after it was sent; when its answer is lost
 * it may be carried out at any later time, but its time counts from its arrival. A keeper goes on renewing for OUTAGE
 * ticks after its lease, whether or not the store can be reached. Host 0 keeps the range first and host 1 takes over; only
 * orders of host 0 lose their answers.
 *
 * Which code is which transition: docs/PROOFS.md. Each macro NO_... takes one guard out; scripts/check-models shows for
 * three of them that spin then finds two upstreams that hold the range at once; for the others see docs/PROOFS.md.
 */
#define HOLD 1
#define ORDER 1
#define LEASE 1
#define OUTAGE 1
#define LAST_TICK 5
#define LAST_WRITE 3
#define NOBODY 2

byte now = 0;

/* The store. */
byte keeper = NOBODY;
byte leaseEnd = 0;
byte writes = 0;
bit owner = 0;
bool previous = false; /* the other upstream is still to be cleared */
byte fence = 0;
byte writer = NOBODY;

/* Upstreams. */
byte expires[2];
byte seenFence[2];

/* Keepers. */
bool keeping[2];
byte held[2]; /* end of the lease as the keeper knows it */
byte viewWrites[2];
bit viewOwner[2]; /* the table as the keeper knows it */
bool viewPrevious[2];
byte viewFence[2];
bool cleared[2];
bool released[2];
bool inherited[2];
byte tookOver[2];
byte stoppedAt[2];
bool stopKnown[2];
byte answeredUntil[4]; /* by keeper * 2 + upstream */
byte unansweredUntil[4];

/* Orders under way, one for each keeper: 0 none, 1 sent, 2 arrived. Late ones are carried out at will. */
byte flight[2];
byte sentAt[2];
byte arrivedAt[2];
bit flightTo[2];
byte flightFence[2];
bool late[2];
byte lateArrived[2];
bit lateTo[2];
byte lateFence[2];

#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_RIGHT
#define mayRenew(k) (keeping[k])
#else
#define mayRenew(k) (keeping[k] && now < held[k] + OUTAGE)
#endif
#ifdef NO_PREDECESSOR
#define earlierOver(k) true
#else
#define earlierOver(k) (!inherited[k] || now >= (stopKnown[k] -> stoppedAt[k] : tookOver[k] + OUTAGE) + ORDER + HOLD)
#endif
#ifdef NO_UNANSWERED
#define unansweredOver(k, u) true
#else
#define unansweredOver(k, u) (now >= unansweredUntil[(k) * 2 + (u)])
#endif
#ifdef NO_HOLD_WAIT
#define answeredOver(k, u) true
#else
#define answeredOver(k, u) (now >= answeredUntil[(k) * 2 + (u)])
#endif
#define tableMine(k) (keeper == k && now < leaseEnd && viewWrites[k] == writes)

inline carryOut(to, atFence, arrived)
{
    if
    :: atFence >= seenFence[to] ->
        seenFence[to] = atFence;
        expires[to] = MAX(expires[to], arrived + HOLD)
    :: else
    fi
}

inline forget(k)
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
    :: d_step { keeper == NOBODY && (writes == 0 -> k == 0 : k == 1) && !keeping[k] && flight[k] == 0 && writes < LAST_WRITE ->
        keeper = k; leaseEnd = now + LEASE; held[k] = leaseEnd; keeping[k] = true;
        inherited[k] = (writer != NOBODY); tookOver[k] = now;
        stopKnown[k] = (writer == k); stoppedAt[k] = now;
        answeredUntil[k * 2] = 0; answeredUntil[k * 2 + 1] = 0;
        unansweredUntil[k * 2] = 0; unansweredUntil[k * 2 + 1] = 0;
        writes++; fence = writes; writer = k; forget(k) }
    :: d_step { keeping[k] && keeper == k && now < leaseEnd -> leaseEnd = now + LEASE; held[k] = leaseEnd }
    :: d_step { keeping[k] && now < held[k] && tableMine(k) && writes < LAST_WRITE && !viewPrevious[k] && flight[k] == 0 ->
        owner = 1 - viewOwner[k]; previous = true; writes++; fence = writes; forget(k) }
    :: d_step { keeping[k] && keeper != k -> keeping[k] = false } /* hears of it, or ends */
    :: d_step { keeping[k] && inherited[k] && !stopKnown[k] && !keeping[1 - k] -> stopKnown[k] = true; stoppedAt[k] = now }
    :: d_step { mayRenew(k) && viewPrevious[k] && !cleared[k] && flight[k] == 0 && !released[k] ->
        expires[1 - viewOwner[k]] = 0; released[k] = true }
    :: d_step { mayRenew(k) && viewPrevious[k] && !cleared[k] && flight[k] == 0 && earlierOver(k) &&
            unansweredOver(k, 1 - viewOwner[k]) && (released[k] || answeredOver(k, 1 - viewOwner[k])) -> cleared[k] = true }
    :: d_step { mayRenew(k) && cleared[k] && flight[k] == 0 ->
        flight[k] = 1; sentAt[k] = now; flightTo[k] = viewOwner[k]; flightFence[k] = viewFence[k] }
    :: d_step { flight[k] == 1 -> flight[k] = 2; arrivedAt[k] = now }
    :: d_step { flight[k] == 2 ->
        if
        :: flightFence[k] >= seenFence[flightTo[k]] ->
            if :: flightFence[k] == viewFence[k] -> inherited[k] = false :: else fi
        :: else
        fi;
        carryOut(flightTo[k], flightFence[k], arrivedAt[k]);
        answeredUntil[k * 2 + flightTo[k]] = MAX(answeredUntil[k * 2 + flightTo[k]], now + HOLD);
        flight[k] = 0 }
    :: d_step { flight[k] > 0 && k == 0 && !late[k] ->
        if
        :: flight[k] == 2 -> late[k] = true; lateArrived[k] = arrivedAt[k]; lateTo[k] = flightTo[k]; lateFence[k] = flightFence[k]
        :: else
        fi;
        unansweredUntil[k * 2 + flightTo[k]] = MAX(unansweredUntil[k * 2 + flightTo[k]], now + HOLD);
        flight[k] = 0 }
    :: d_step { late[k] -> late[k] = false;
        if :: lateArrived[k] + HOLD > now -> carryOut(lateTo[k], lateFence[k], lateArrived[k]) :: else fi }
    :: d_step { mayRenew(k) && cleared[k] && viewPrevious[k] && tableMine(k) && !inherited[k] && writes < LAST_WRITE &&
            expires[owner] > now && now < held[k] -> previous = false; viewPrevious[k] = false; writes++; viewWrites[k] = writes }
    :: now == LAST_TICK -> break
    od
}

/* Time waits for orders that their sender would have given up by now. */
proctype Clock()
{
    do
    :: d_step { now < LAST_TICK && !(flight[0] > 0 && now >= sentAt[0] + ORDER) && !(flight[1] > 0 && now >= sentAt[1] + ORDER) ->
        now++;
        if :: keeper != NOBODY && now >= leaseEnd -> keeper = NOBODY :: else fi }
    :: now == LAST_TICK -> break
    od
}

init { atomic { run Host(0); run Host(1); run Clock() } }

ltl oneOwner { [] !(expires[0] > now && expires[1] > now) }
/* Violated: the range does come to the other upstream. */
ltl neverMoves { [] !(expires[1] > now) }
