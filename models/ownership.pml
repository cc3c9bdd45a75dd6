/*
 * Model of the ownership of one slot, as described in docs/DESIGN.md.
 *
 * Upstream 0 owns the slot at first; upstream 1 may become its next owner. Hosts 0 and 1 may renew upstream 0's grant.
 * The planner marks upstream 0 as lost, waits for both hosts to promise to stop renewing, waits for earlier grants to
 * expire, and assigns the slot to upstream 1 by a conditional write. Time is a counter of ticks. A grant is valid for
 * TTL ticks from the issue of the challenge that its renewal echoed. The network may delay one renewal indefinitely.
 * A paused host is a host that the scheduler does not run. One host may restart once, at any time, and loses its state.
 *
 * docs/PROOFS.md maps the transitions to the code. Each of the macros NO_CHALLENGE, NO_TTL_WAIT, NO_ACCOUNT and
 * NO_FENCE disables one guard; scripts/check-models checks that spin then finds a violation.
 */
#define TTL 2
#define LAST_TICK 4
#define LAST_CHALLENGE 4
#define HOSTS 2

byte now = 0;

/* The store: upstream 0's record (fence 1: serving, 2: lost, 3: serving again) and the slot's page. */
byte fence = 1;
bit pageOwner = 0;
byte pageEpoch = 1;

/* Upstream 0's grant. Challenges are numbered in the order of issue; 0 means none. */
byte challenge = 1;
byte challengeIssuedAt = 0;
byte term = 0;
byte expires0 = 0;
byte expires1 = 0; /* expiry of upstream 1's grant */

/* The hosts. viewFence and viewOwner are a host's copy of the store. */
byte promisedFence[HOSTS]; /* last fence under which the host promised not to renew */
byte viewFence[HOSTS];
bit viewOwner[HOSTS];
byte hostTerm[HOSTS];
byte hostChallenge[HOSTS];
byte challengeReceivedAt[HOSTS];
byte grantBound[HOSTS]; /* upper bound on the expiry of the host's grants */
bool restarted = false;

/* The renewal in flight: at most one at a time, delivered at any time or never. */
byte inFlightTerm = 0;
byte inFlightChallenge = 0; /* 0 if none is in flight */

/* The planner. */
bool stopped[HOSTS]; /* the host promised to stop renewing */
byte waitUntil = 0; /* when all grants of the stopped hosts have expired */

#ifdef NO_FENCE
#define isAbovePromisedFence(h) true
#else
#define isAbovePromisedFence(h) (viewFence[h] > promisedFence[h])
#endif
#ifdef NO_CHALLENGE
#define echoesLastChallenge true
#define grantEnd (now + TTL)
#else
#define echoesLastChallenge (inFlightChallenge == challenge)
#define grantEnd (challengeIssuedAt + TTL)
#endif
#ifdef NO_ACCOUNT
#define allRenewersStopped true
#else
#define allRenewersStopped (stopped[0] && stopped[1])
#endif
#ifdef NO_TTL_WAIT
#define grantsExpired true
#else
#define grantsExpired (now >= waitUntil)
#endif

/* A renewal without a challenge: upstream 0 adopts a higher term and issues a new challenge, but its grant is not
 * extended. */
inline requestChallenge(h) {
    if
    :: hostTerm[h] >= term ->
        term = hostTerm[h];
        challenge = challenge + 1;
        challengeIssuedAt = now;
        hostChallenge[h] = challenge;
        challengeReceivedAt[h] = now
    :: else ->
        hostTerm[h] = term + 1;
        hostChallenge[h] = 0;
        challengeReceivedAt[h] = 0
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
    :: atomic { (now < LAST_TICK && challenge < LAST_CHALLENGE) -> requestChallenge(_pid) }
    :: atomic { /* sends a renewal if the host's view and its promise permit it */
            (inFlightChallenge == 0 && hostChallenge[_pid] > 0 && viewFence[_pid] != 2 && viewOwner[_pid] == 0
                && isAbovePromisedFence(_pid)) ->
            inFlightTerm = hostTerm[_pid];
            inFlightChallenge = hostChallenge[_pid];
            grantBound[_pid] = (challengeReceivedAt[_pid] + TTL > grantBound[_pid] -> challengeReceivedAt[_pid] + TTL : grantBound[_pid]);
            hostChallenge[_pid] = 0;
            challengeReceivedAt[_pid] = 0
        }
    :: atomic { /* reads the store, perhaps late or never */
            (viewFence[_pid] != fence || viewOwner[_pid] != pageOwner) -> readStore(_pid)
        }
    :: atomic { /* promises the planner to stop and reports the bound of its last grant */
            (fence == 2 && !stopped[_pid]) ->
            promisedFence[_pid] = 2;
            stopped[_pid] = true;
            waitUntil = (grantBound[_pid] > waitUntil -> grantBound[_pid] : waitUntil)
        }
    :: atomic { /* restarts without state and reads the store first; an earlier grant may be as recent as now */
            !restarted ->
            restarted = true;
            promisedFence[_pid] = 0;
            hostChallenge[_pid] = 0;
            challengeReceivedAt[_pid] = 0;
            grantBound[_pid] = now + TTL;
            readStore(_pid)
        }
    od
}

active proctype Network() {
end:
    do
    :: atomic { inFlightChallenge > 0 ->
            if
            :: (inFlightTerm >= term && echoesLastChallenge) ->
                term = inFlightTerm;
                expires0 = (grantEnd > expires0 -> grantEnd : expires0);
                challenge = challenge + 1;
                challengeIssuedAt = now
            :: else -> skip
            fi;
            inFlightTerm = 0;
            inFlightChallenge = 0
        }
    :: atomic { now < LAST_TICK -> now = now + 1 }
    od
}

active proctype Planner() {
end:
    do
    :: atomic { fence == 1 -> fence = 2 } /* conditional write; if its answer is lost, the store shows the result */
    :: atomic { (fence == 2 && pageOwner == 0 && allRenewersStopped && grantsExpired) ->
            pageOwner = 1;
            pageEpoch = pageEpoch + 1
        }
    :: atomic { (fence == 2 && pageOwner == 1) -> fence = 3 } /* upstream 0 serves again, without the slot */
    :: atomic { (pageOwner == 1 && expires1 < now + TTL) -> expires1 = now + TTL } /* upstream 1's grant is renewed */
    od
}

#define isGranted0 (now < expires0)
#define isGranted1 (now < expires1)

/* At most one upstream has a valid grant of the slot. A written assignment stays, since epochs only rise. */
ltl oneOwner { [] !(isGranted0 && isGranted1) }
ltl neverReverts { [] (pageEpoch == 2 -> [] (pageOwner == 1 && pageEpoch == 2)) }
/* Expected to be violated: some run moves the slot. Without such a run the properties above would hold trivially. */
ltl neverMoves { [] (pageOwner == 0) }
