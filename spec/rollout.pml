/* Roll-out of a bad version, then of a good one, by two hosts that coordinate through one object of the store. Writes
 * carry the revision that was read and may take effect at any later time. docs/MODELS.md maps the steps to the code.
 *
 * Properties: a decided order never changes; each host sends at most LIMIT requests to the bad version, whatever the
 * store does; a bad version is never completed; a good version is never rolled back.
 *
 * Broken variants: UNCONDITIONAL, NO_LOCAL_STOP, EVIDENCE_KEPT, REVISION_OF_KIND, TIME_ALONE, REPORT_OF_ANY_ORDER. */

#define HOSTS 2
#define LIMIT 2  /* bad responses after which a host rejects the version */
#define STAGES 2 /* stages of a roll-out in progress; completed after the last */

#define IN_PROGRESS 0
#define COMPLETED 1
#define ROLLED_BACK 2

byte revision = 1;
byte order = 1;  /* 1: bad version; 2: good version, ordered after the first order is decided */
byte state;
byte stage;

/* Writes in flight, at most one per host. */
bit isPending[HOSTS];
byte pendingRevision[HOSTS];
byte pendingState[HOSTS];
byte pendingStage[HOSTS];
byte pendingOrder[HOSTS];

byte sent[HOSTS]; /* requests to the bad version */

/* Evidence that each host shares with the other: the order for which it has accepted the version; 0: none. */
byte reportedOrder[HOSTS];

/* The first and the third order are for bad versions. */
#define IS_BAD(number) (number != 2)

proctype Store() {
    byte h;
endStore:
    do
    :: atomic {
        if
        :: isPending[0] -> h = 0
        :: isPending[1] -> h = 1
        fi;
        isPending[h] = 0;
        if
#ifdef UNCONDITIONAL
        :: true ->
#elif defined(REVISION_OF_KIND)
        :: pendingRevision[h] <= revision ->
#else
        :: pendingRevision[h] == revision ->
#endif
            assert(state == IN_PROGRESS);
            assert(pendingState[h] != ROLLED_BACK || IS_BAD(order));
            assert(pendingState[h] != COMPLETED || !IS_BAD(order));
            state = pendingState[h];
            stage = pendingStage[h];
            revision++
        :: else -> skip
        fi
    }
    od
}

/* Orders the roll-out of the good version once the first order is decided, and then of a bad one again. */
proctype Operator() {
    atomic { state != IN_PROGRESS && order == 1 ->
        order = 2;
        state = IN_PROGRESS;
        stage = 0;
        revision++
    }
    atomic { state != IN_PROGRESS && order == 2 ->
        order = 3;
        state = IN_PROGRESS;
        stage = 0;
        revision++
    }
}

#ifdef TIME_ALONE
#define IS_ACCEPTED 1
#elif defined(REPORT_OF_ANY_ORDER)
#define IS_ACCEPTED (reportedOrder[0] != 0 || reportedOrder[1] != 0)
#else
#define IS_ACCEPTED (reportedOrder[0] == seenOrder || reportedOrder[1] == seenOrder)
#endif

#ifdef NO_LOCAL_STOP
#define MAY_SEND (sent[h] <= LIMIT)
#else
#define MAY_SEND !isRejected
#endif

inline submit(newState, newStage) {
    isPending[h] = 1;
    pendingRevision[h] = seenRevision;
    pendingOrder[h] = seenOrder;
    pendingState[h] = newState;
    pendingStage[h] = newStage
}

proctype Host(byte h) {
    byte seenRevision;
    byte seenOrder;
    byte seenState;
    byte seenStage;
    byte bad;
    bit isRejected;
endHost:
    do
    /* Reads the object. */
    :: atomic { seenRevision != revision ->
        seenRevision = revision;
        seenState = state;
        seenStage = stage;
        if
        :: seenOrder != order ->
            seenOrder = order;
            sent[h] = 0;
#ifndef EVIDENCE_KEPT
            bad = 0;
            isRejected = 0
#endif
        :: else -> skip
        fi
    }
    /* A request to the version in roll-out, and its response. */
    :: atomic { IS_BAD(seenOrder) && seenOrder > 0 && seenState == IN_PROGRESS && MAY_SEND ->
        sent[h]++;
        assert(sent[h] <= LIMIT);
        bad++;
        isRejected = (bad >= LIMIT)
    }
    :: atomic { seenOrder == 2 && seenState == IN_PROGRESS && reportedOrder[h] != 2 -> reportedOrder[h] = 2 }
    /* Records the roll-back. */
    :: atomic { isRejected && seenState == IN_PROGRESS && !isPending[h] && seenRevision > 0 ->
        submit(ROLLED_BACK, seenStage)
    }
    /* Advances to the next stage. */
    :: atomic { !isRejected && seenState == IN_PROGRESS && !isPending[h] && seenRevision > 0 ->
        if
        :: seenStage + 1 < STAGES -> submit(IN_PROGRESS, seenStage + 1)
        :: seenStage + 1 >= STAGES && IS_ACCEPTED -> submit(COMPLETED, seenStage)
        :: else -> skip
        fi
    }
    od
}

init {
    atomic {
        run Store();
        run Operator();
        run Host(0);
        run Host(1)
    }
}
