/*
 * Ownership of one slot, as in docs/DESIGN.md.
 *
 * Upstream 0 owns the slot at first; upstream 1 may get it. Hosts 0 and 1 may renew upstream 0. The planner marks
 * upstream 0 lost, hears from both hosts, waits, and gives the slot away by a conditional write. Time is a counter; a
 * grant lives TTL ticks from the issue of the challenge that its renewal echoed. One renewal may be held up at will
 * in the network. Hosts pause simply by not being scheduled; a host may restart empty at any time.
 *
 * Which code is which transition: docs/PROOFS.md. Each of the macros NO_CHALLENGE, NO_TTL_WAIT, NO_ACCOUNT and NO_FENCE
 * takes one guard out; scripts/check-models shows that spin then finds a violation.
 */
#define TTL 2
#define LAST_TICK 4
#define LAST_CHALLENGE 4
#define HOSTS 2

byte now = 0;

/* The store: the old owner's record (fence 1 serving, 2 lost, 3 serving again) and the slot's page. */
byte fence = 1;
bit pageOwner = 0;
byte pageEpoch = 1;

/* Upstream 0's grant. Challenges are numbered as they are issued; 0 is none. */
byte challenge = 1;
byte challengeIssuedAt = 0;
byte term = 0;
byte expires0 = 0;
byte expires1 = 0; /* upstream 1's grant */

/* Hosts. */
byte promised[HOSTS];
byte viewFence[HOSTS];
bit viewOwner[HOSTS];
byte hostTerm[HOSTS];
byte hostChallenge[HOSTS];
byte challengeSeenAt[HOSTS];
byte grantBound[HOSTS];
bool restarted = false;

/* The renewal in the network: at most one at a time, delivered whenever the scheduler likes, or never. */
byte flyingTerm = 0;
byte flyingChallenge = 0; /* 0: none in flight */

/* The planner. */
bool stopped[HOSTS];
byte waitUntil = 0;

#ifdef NO_FENCE
#define respectsPromise(h) true
#else
#define respectsPromise(h) (viewFence[h] > promised[h])
#endif
#ifdef NO_CHALLENGE
#define echoesLastChallenge true
#define grantEnd (now + TTL)
#else
#define echoesLastChallenge (flyingChallenge == challenge)
#define grantEnd (challengeIssuedAt + TTL)
#endif
#ifdef NO_ACCOUNT
#define allStopped true
#else
#define allStopped (stopped[0] && stopped[1])
#endif
#ifdef NO_TTL_WAIT
#define waitOver true
#else
#define waitOver (now >= waitUntil)
#endif

/* A probe: adopts a higher term and learns a fresh challenge; extends nothing. */
inline fetchChallenge(h) {
    if
    :: hostTerm[h] >= term ->
        term = hostTerm[h];
        challenge = challenge + 1;
        challengeIssuedAt = now;
        hostChallenge[h] = challenge;
        challengeSeenAt[h] = now
    :: else ->
        hostTerm[h] = term + 1;
        hostChallenge[h] = 0;
        challengeSeenAt[h] = 0
    fi
}

inline readStore(h) {
    viewFence[h] = fence;
    viewOwner[h] = pageOwner
}

active [HOSTS] proctype Host() {
    atomic {
        viewFence[_pid] = 1;
        hostTerm[_pid] = _pid + 1
    };
end:
    do
    :: atomic { (now < LAST_TICK && challenge < LAST_CHALLENGE) -> fetchChallenge(_pid) }
    :: atomic { /* sends a renewal, if the view and the promise allow it */
            (flyingChallenge == 0 && hostChallenge[_pid] > 0 && viewFence[_pid] != 2 && viewOwner[_pid] == 0
                && respectsPromise(_pid)) ->
            flyingTerm = hostTerm[_pid];
            flyingChallenge = hostChallenge[_pid];
            grantBound[_pid] = (challengeSeenAt[_pid] + TTL > grantBound[_pid] -> challengeSeenAt[_pid] + TTL : grantBound[_pid]);
            hostChallenge[_pid] = 0;
            challengeSeenAt[_pid] = 0
        }
    :: atomic { (viewFence[_pid] != fence || viewOwner[_pid] != pageOwner) -> readStore(_pid) } /* late or never */
    :: atomic { /* promises the planner to stop; its last grant counts from then */
            (fence == 2 && !stopped[_pid]) ->
            promised[_pid] = 2;
            stopped[_pid] = true;
            waitUntil = (grantBound[_pid] > waitUntil -> grantBound[_pid] : waitUntil)
        }
    :: atomic { /* restarts empty and reads the store before anything else */
            !restarted ->
            restarted = true;
            promised[_pid] = 0;
            hostChallenge[_pid] = 0;
            challengeSeenAt[_pid] = 0;
            grantBound[_pid] = now + TTL;
            readStore(_pid)
        }
    od
}

active proctype Network() {
end:
    do
    :: atomic { flyingChallenge > 0 ->
            if
            :: (flyingTerm >= term && echoesLastChallenge) ->
                term = flyingTerm;
                expires0 = (grantEnd > expires0 -> grantEnd : expires0);
                challenge = challenge + 1;
                challengeIssuedAt = now
            :: else -> skip
            fi;
            flyingTerm = 0;
            flyingChallenge = 0
        }
    :: atomic { now < LAST_TICK -> now = now + 1 }
    od
}

active proctype Planner() {
end:
    do
    :: atomic { fence == 1 -> fence = 2 } /* by conditional write; its answer may be lost, the state tells */
    :: atomic { (fence == 2 && pageOwner == 0 && allStopped && waitOver) ->
            pageOwner = 1;
            pageEpoch = pageEpoch + 1
        }
    :: atomic { (fence == 2 && pageOwner == 1) -> fence = 3 } /* the old owner is back, without the slot */
    :: atomic { (pageOwner == 1 && expires1 < now + TTL) -> expires1 = now + TTL } /* the new owner is granted it */
    od
}

#define holds0 (now < expires0)
#define holds1 (now < expires1)

/* At most one upstream holds the slot; an assignment once written stays, since epochs only rise. */
ltl oneOwner { [] !(holds0 && holds1) }
ltl neverReverts { [] (pageEpoch == 2 -> [] (pageOwner == 1 && pageEpoch == 2)) }
/* The slot is given away in some run: what cannot happen proves nothing. Checked to be violated. */
ltl neverMoves { [] (pageOwner == 0) }
