/*
 * Model of the configuration head. Two operators publish concurrently, answers of the store may be lost, hosts start
 * without a configuration, and messages to them arrive late, repeatedly or never. A host's version never falls, no
 * change takes effect twice, and the published version never falls when two changes have the same base version.
 *
 * Once, the store may come back from an older copy, in a new era: the head is an older one, its revision is given out
 * again, and later what the operators wrote is written again. A host's copy of the store is ordered by (era, revision),
 * its configuration by the version. So no host goes back, and none refuses the store's present state.
 *
 * NO_CAS publishes without comparing the base version. NO_FLOOR lets a host accept a message older than its own copy.
 * NO_SETTLE treats a lost answer as a failure and publishes the same change again. NO_ERA orders copies by the revision
 * alone. NO_VERSION takes the configuration of a newer copy, whatever its version.
 */
#define OPERATORS 2
#define HOSTS 2
#define LAST 4
#define ERA 8 /* more than any revision */

byte head = 0; /* published version in the store */
byte newest = 0; /* published version, also if the store has lost it */
byte versionAtReturn = 0; /* newest version when the store came back; 0 before */
byte state = 0; /* of the store: era * ERA + revision of the head */
bool headFell = false; /* because of a publication */
byte published[4]; /* number of times each change took effect */
byte inForce[HOSTS]; /* each host's current version */
byte copied[HOSTS]; /* state of the store in each host's copy */
bool versionFell = false;
bool presentRefused = false;
/* In flight to a host; state 0 means none. */
byte message[HOSTS]; /* version */
byte messageState[HOSTS];

#ifdef NO_ERA
#define order(s) ((s) % ERA)
#else
#define order(s) (s)
#endif
#ifdef NO_FLOOR
#define accepts(h) true
#else
#define accepts(h) (order(messageState[h]) > order(copied[h]))
#endif
#if defined(NO_VERSION) || defined(NO_FLOOR)
#define takesVersion(h) true
#else
#define takesVersion(h) (message[h] > inForce[h])
#endif
#ifdef NO_CAS
#define baseMatches true
#else
#define baseMatches (head == base)
#endif
#ifdef NO_SETTLE
#define republishes true
#else
#define republishes false
#endif

/*
 * Publishes two changes in sequence. After a lost answer, the operator determines the outcome instead of publishing
 * again: it reads the change id back, or rewrites the head unchanged so that the lost write can no longer succeed. After
 * a return of the store, operators wait until what they wrote has been written again.
 */
active [OPERATORS] proctype Operator() {
    byte base;
    byte round = 0;
    bool lost, again;
    do
    :: round < 2 ->
        again = false;
        base = head;
sending:
        atomic {
            lost = false;
            if
            :: (baseMatches && base < LAST && head == newest) ->
                headFell = (headFell || base + 1 < head);
                head = base + 1; newest = head; state = state + 1;
                published[_pid * 2 + round] = published[_pid * 2 + round] + 1;
                if
                :: lost = true
                :: skip
                fi
            :: else -> skip /* the store reports a conflict */
            fi
        };
        if
        :: (lost && republishes && !again) ->
            again = true;
            base = head;
            goto sending
        :: else -> skip
        fi;
        round = round + 1
    :: else -> break
    od
}

/* Messages to host h. */
active [HOSTS] proctype Distribution() {
    byte h = _pid - OPERATORS;
    do
    :: atomic { /* sent by a store watch or another host, delivered at any time */
            messageState[h] == 0 && state > 0 -> message[h] = head; messageState[h] = state
        }
    :: atomic { messageState[h] > 0 ->
            if
            :: accepts(h) ->
                copied[h] = messageState[h];
                if
                :: takesVersion(h) ->
                    versionFell = (versionFell || message[h] < inForce[h]);
                    inForce[h] = message[h]
                :: else -> skip
                fi
            :: else -> presentRefused = (presentRefused || (messageState[h] == state && copied[h] != state))
            fi;
            if
            :: message[h] = 0; messageState[h] = 0
            :: true /* the message is delivered again later */
            fi
        }
    :: atomic { /* relayed by the other host, possibly an old one */
            messageState[1 - h] > 0 && messageState[h] == 0 ->
                message[h] = message[1 - h]; messageState[h] = messageState[1 - h]
        }
    od
}

/* The store comes back from an older copy, and gets what the operators wrote again. */
active proctype Store() {
    atomic { head > 0 ->
        if
        :: head = 0
        :: head > 1 -> head = 1
        :: head > 2 -> head = 2
        :: head > 3 -> head = 3
        fi;
        versionAtReturn = newest; state = ERA + head };
    atomic { head < newest -> head = newest; state = state + 1 }
}

ltl neverFalls { [] !versionFell }
ltl presentIsTaken { [] !presentRefused }
ltl publishedOnce { [] (published[0] <= 1 && published[1] <= 1 && published[2] <= 1 && published[3] <= 1) }
ltl headOnlyRises { [] !headFell }
/* Expected to be violated: some run publishes a change. */
ltl nothingHappens { [] (head == 0) }
/* Expected to be violated: a host has a configuration that was published after the store's return. */
ltl neverPublishedAgain { [] !(copied[0] > ERA && inForce[0] > versionAtReturn) }
