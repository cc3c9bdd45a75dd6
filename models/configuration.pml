/*
 * The configuration head: two operators race to publish, answers are lost, one data centre's host lags and is cut off,
 * and a fresh host starts empty. A host's revision never falls, and of two changes on one base only one is published.
 *
 * NO_CAS publishes without the base; NO_FLOOR lets a host take whatever it is told; NO_SETTLE takes a lost answer for
 * a failure and publishes the same change again.
 */
#define OPERATORS 2
#define HOSTS 2
#define LAST 4

byte head = 0; /* revision in the store */
byte published[4]; /* how often each change took effect */
byte inForce[HOSTS];
bool fell = false;
byte message[HOSTS]; /* a revision on its way to a host; 0 none */

#ifdef NO_FLOOR
#define takes(h) true
#else
#define takes(h) (message[h] > inForce[h])
#endif
#ifdef NO_CAS
#define baseHolds true
#else
#define baseHolds (head == base)
#endif
#ifdef NO_SETTLE
#define sendsAgain true
#else
#define sendsAgain false
#endif

/* Publishes two changes in turn. A lost answer is settled by reading the change id back, or by fencing the head. */
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
            :: (baseHolds && base < LAST) ->
                head = base + 1;
                published[_pid * 2 + round] = published[_pid * 2 + round] + 1;
                if
                :: lost = true
                :: skip
                fi
            :: else -> skip /* a typed conflict */
            fi
        };
        if
        :: (lost && sendsAgain && !again) ->
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
        :: atomic { message[h] == 0 -> message[h] = head } /* a watch or a peer tells, now or late */
        :: atomic { message[h] > 0 ->
                if
                :: takes(h) ->
                    fell = (fell || message[h] < inForce[h]);
                    inForce[h] = message[h]
                :: else -> skip
                fi;
                if
                :: message[h] = 0
                :: true /* delivered again later */
                fi
            }
        :: atomic { message[1 - h] > 0 && message[h] == 0 -> message[h] = message[1 - h] } /* an old one, relayed */
        :: skip
        fi
    :: else -> break
    od
}

ltl neverFalls { [] !fell }
ltl publishedOnce { [] (published[0] <= 1 && published[1] <= 1 && published[2] <= 1 && published[3] <= 1) }
ltl headOnlyRises { [] (head == 2 -> [] (head >= 2)) }
/* Checked to be violated: something is published. */
ltl nothingHappens { [] (head == 0) }
