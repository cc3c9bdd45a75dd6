/*
 * Model of the configuration head. Two operators publish concurrently, answers of the store may be lost, hosts start
 * without a configuration, and messages to them arrive late, repeatedly or never. A host's revision never falls, no
 * change takes effect twice, and the published revision never falls when two changes have the same base revision.
 *
 * NO_CAS publishes without comparing the base revision. NO_FLOOR lets a host accept a revision lower than its own.
 * NO_SETTLE treats a lost answer as a failure and publishes the same change again.
 */
#define OPERATORS 2
#define HOSTS 2
#define LAST 4

byte head = 0; /* published revision in the store */
byte published[4]; /* number of times each change took effect */
byte inForce[HOSTS]; /* each host's current revision */
bool revisionFell = false;
byte message[HOSTS]; /* revision in flight to a host; 0 means none */

#ifdef NO_FLOOR
#define accepts(h) true
#else
#define accepts(h) (message[h] > inForce[h])
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

/* Publishes two changes in sequence. After a lost answer, the operator determines the outcome instead of publishing
 * again: it reads the change id back, or rewrites the head unchanged so that the lost write can no longer succeed. */
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
            :: (baseMatches && base < LAST) ->
                head = base + 1;
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

active proctype Distribution() {
    byte h;
    byte n = 0;
    do
    :: n < 6 ->
        n = n + 1;
        select(h : 0 .. 1);
        if
        :: atomic { /* sent by a store watch or another host, delivered at any time */
                message[h] == 0 -> message[h] = head
            }
        :: atomic { message[h] > 0 ->
                if
                :: accepts(h) ->
                    revisionFell = (revisionFell || message[h] < inForce[h]);
                    inForce[h] = message[h]
                :: else -> skip
                fi;
                if
                :: message[h] = 0
                :: true /* the message is delivered again later */
                fi
            }
        :: atomic { /* relayed by the other host, possibly an old revision */
                message[1 - h] > 0 && message[h] == 0 -> message[h] = message[1 - h]
            }
        :: skip
        fi
    :: else -> break
    od
}

ltl neverFalls { [] !revisionFell }
ltl publishedOnce { [] (published[0] <= 1 && published[1] <= 1 && published[2] <= 1 && published[3] <= 1) }
ltl headOnlyRises { [] (head == 2 -> [] (head >= 2)) }
/* Expected to be violated: some run publishes a change. */
ltl nothingHappens { [] (head == 0) }
