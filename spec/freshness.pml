/* Acceptance of a change and freshness leases on three registered hosts, of which two are a majority. Time advances in
 * ticks that may pass between any two steps, so a host can pause at every step; ages saturate at the lease period.
 * docs/MODELS.md maps the steps to the code.
 *
 * Operator A withdraws a version (a new generation), operator B makes an unrelated change. Property: after A's change
 * was reported as accepted, no host dispatches under a generation without it, and the store never loses it.
 *
 * Broken variants: ACCEPT_AT_WRITE, ACCEPT_NO_WAIT, ACK_KEPT, RECOVER_AT_ONCE, RECOVER_FROM_RECOVERING, RECOVER_FROM_ONE,
 * VOUCH_WHILE_RECOVERING, DATED_AT_RECEIPT, VOUCH_MINORITY, BLIND_UPDATE, GENERATION_DOWN. */

#define N 3
#define L 2          /* lease period in ticks */
#define NONE 0
#define SLOW 0       /* root whose messages may be delayed; those of the others arrive at once */
#define QUICK 1      /* second root; the third host receives updates from the others */

byte storeGen = 1;
bool storeUp = true;
bool withdrawn[4];   /* by generation */
byte changeGen;      /* generation that A's change created; 0 before */
bool accepted;

byte gen[N] = 1;
byte leaseAge[N] = L;    /* L: no lease */
bool recovering[N];
byte restartAge[N] = L;  /* ticks since the restart */
byte answered[N];        /* while recovering: bit mask of the hosts that responded */
byte best[N];            /* highest generation among their responses */
byte readGen[N];         /* generation of a store read or a stamp in flight; NONE: none */
byte readAge[N] = L;     /* its age: since the start of the read, or the sender's age plus transit time */
byte ackAge[N] = L;      /* since a host's newest acknowledgement of changeGen */
byte waitAge = L;        /* since the control process had a majority of acknowledgements */
bool waiting;
byte restarts;

#define PEER(g) if :: g = (h + 1) % N :: g = (h + 2) % N fi
#define BITS(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define SATURATE(a) a = (a < L -> a + 1 : L)
#define ACKED(h) (ackAge[h] < L)

inline adopt(h, g) {
    if
#ifdef GENERATION_DOWN
    :: g != gen[h] -> gen[h] = g; leaseAge[h] = L
#else
    :: g > gen[h] -> gen[h] = g; leaseAge[h] = L
#endif
    :: else
    fi
}

inline stamp(h, age) {
    if
    :: age < leaseAge[h] -> leaseAge[h] = age
    :: else
    fi
}

inline restart(h) {
    restarts++;
    gen[h] = 0; leaseAge[h] = L; recovering[h] = true; restartAge[h] = 0; answered[h] = 0; best[h] = 0;
    readGen[h] = NONE; readAge[h] = L
}

inline recoverFrom(h, g) {
    answered[h] = answered[h] | (1 << g);
    if
    :: gen[g] > best[h] -> best[h] = gen[g]
    :: else
    fi
}

proctype Host(byte h) {
    byte g;
    do
    :: atomic { storeUp && h == QUICK ->
            recovering[h] = false; answered[h] = 0; best[h] = 0; adopt(h, storeGen); stamp(h, 0) }
    /* A root's read of the store; the host may pause before it processes the response. */
    :: atomic { storeUp && h == SLOW && readGen[h] == NONE -> readGen[h] = storeGen; readAge[h] = 0 }
    :: atomic { readGen[h] != NONE ->
            recovering[h] = false; answered[h] = 0; best[h] = 0;
            adopt(h, readGen[h]);
            if
#ifdef DATED_AT_RECEIPT
            :: readGen[h] == gen[h] -> stamp(h, 0)
#else
            :: readGen[h] == gen[h] -> stamp(h, readAge[h])
#endif
            :: else
            fi;
            readGen[h] = NONE; readAge[h] = L }
    /* An acknowledgement of another host forms a majority with this one. It is dated when it is made, the latest
     * possible date: the implementation dates a round at its start. */
    :: atomic { !recovering[h] -> PEER(g);
            if
#ifdef VOUCH_WHILE_RECOVERING
            :: recovering[g] || gen[g] == gen[h] -> stamp(h, 0)
#else
            :: !recovering[g] && gen[g] == gen[h] -> stamp(h, 0)
#endif
            :: else
            fi; g = 0 }
#ifdef VOUCH_MINORITY
    :: atomic { !recovering[h] -> stamp(h, 0) }
#endif
    /* The relay: configuration and stamp of another host; the stamp may be delayed. */
    :: atomic { !recovering[h] -> PEER(g);
            if
            :: !recovering[g] && gen[g] != gen[h] -> adopt(h, gen[g])
            :: !recovering[g] && gen[g] == gen[h] && leaseAge[g] < L && h == SLOW && readGen[h] == NONE ->
                readGen[h] = gen[g]; readAge[h] = leaseAge[g]
            :: else
            fi; g = 0 }
    /* Recovery from other hosts. */
#ifdef RECOVER_AT_ONCE
    :: atomic { recovering[h] -> PEER(g);
#else
    :: atomic { recovering[h] && restartAge[h] >= L -> PEER(g);
#endif
            if
#ifdef RECOVER_FROM_RECOVERING
            :: g != h -> recoverFrom(h, g)
#else
            :: !recovering[g] -> recoverFrom(h, g)
#endif
            :: else
            fi; g = 0 }
#ifdef RECOVER_FROM_ONE
    :: atomic { recovering[h] && BITS(answered[h]) >= 1 && best[h] != 0 ->
#else
    :: atomic { recovering[h] && BITS(answered[h]) >= 2 && best[h] != 0 ->
#endif
            recovering[h] = false; adopt(h, best[h]); answered[h] = 0; best[h] = 0 }
    /* Killed and restarted without state. */
    :: atomic { restarts < RESTARTS && !recovering[h] -> restart(h) }
    /* Dispatches under the current generation while the lease is valid. */
    :: atomic { accepted && !recovering[h] && leaseAge[h] < L -> assert(withdrawn[gen[h]]) }
    od
}

proctype Time() {
    byte i;
    do
    :: atomic {
            i = 0;
            do
            :: i < N ->
                SATURATE(leaseAge[i]); SATURATE(restartAge[i]); SATURATE(readAge[i]);
#ifndef ACK_KEPT
                SATURATE(ackAge[i]);
#endif
                i++
            :: else -> break
            od;
            i = 0;
            SATURATE(waitAge)
        }
    od
}

/* A second operator with a possibly outdated view of the store; its update may lose the race. */
proctype OperatorB() {
    byte seen;
    bool seenWithdrawn;
    atomic { storeUp -> seen = storeGen; seenWithdrawn = withdrawn[storeGen] };
    atomic {
        if
#ifdef BLIND_UPDATE
        :: storeUp -> storeGen = seen + 1; withdrawn[storeGen] = seenWithdrawn
#else
        :: storeUp && storeGen == seen -> storeGen = seen + 1; withdrawn[storeGen] = seenWithdrawn
        :: storeUp && storeGen != seen -> skip /* conflict */
#endif
        fi;
        seen = 0; seenWithdrawn = false
    }
}

/* Operator A and the control process: write, resolve the outcome, collect acknowledgements, wait. A lost response needs
 * no separate step: the write took effect or did not, and the read that resolves it finds the change id. */
proctype Control() {
    byte g;
    atomic { storeUp -> storeGen++; withdrawn[storeGen] = true; changeGen = storeGen };
#ifdef ACCEPT_AT_WRITE
    accepted = true;
#endif
    do
    :: atomic { !accepted -> if :: g = 0 :: g = 1 :: g = 2 fi;
            if
            :: !recovering[g] && gen[g] >= changeGen -> ackAge[g] = 0
            :: else
            fi; g = 0 }
    :: atomic { !accepted && ACKED(0) && ACKED(1) && ACKED(2) -> accepted = true }
    :: atomic { !accepted && !waiting && (ACKED(0) + ACKED(1) + ACKED(2) >= 2) -> waiting = true; waitAge = 0 }
#ifdef ACCEPT_NO_WAIT
    :: atomic { !accepted && waiting -> accepted = true }
#else
    :: atomic { !accepted && waiting && waitAge >= L -> accepted = true }
#endif
    :: atomic { accepted -> ackAge[0] = L; ackAge[1] = L; ackAge[2] = L; break }
    od
}

/* The store fails permanently; from then on only the hosts can propagate the change. */
proctype Outage() {
    storeUp = false
}

init {
    atomic {
        run Host(0); run Host(1); run Host(2); run Time(); run Control(); run Outage();
#ifdef TWO_OPERATORS
        run OperatorB()
#endif
    }
}
