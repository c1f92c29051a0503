/* One ledger segment, one key: two hosts that both act as owner of the segment, and a third that appends to the log
 * and compacts it. docs/MODELS.md maps the steps to the code.
 *
 * Properties: the request runs at most once; it is billed once if its response was delivered; a host that reported
 * "not run" has no effective claim.
 *
 * Broken variants: NO_FLOOR_CHECK, NO_RECHECK, LOST_IS_REFUSED, NO_BATCH_ID, DELETE_BEFORE_FLOOR, BLIND_WRITE,
 * ALL_BILLS_COUNT, NO_COPY. */

#define N 4          /* indices of the log */
#define ROUNDS 1     /* snapshots */
#define EMPTY 0
#define CLAIM0 1     /* CLAIM0 + h: batch with the claim of host h */
#define FILLER 3     /* batch of other keys */
#define BILL 4

#define NOTHING 0    /* outcome that a host has reported */
#define NOT_RUN 1
#define UNKNOWN 2
#define DUPLICATE 3
#define DELIVERED 4

byte log[N];         /* existing objects */
byte first[N];       /* first content ever created at each index: the authoritative log */
byte base;           /* index of the snapshot */
byte baseClaim;      /* claim in the snapshot: 0 none, else CLAIM0 + h */
byte floor;
byte runs;
byte bills;          /* bill batches in the log */
byte told[2];        /* outcome that each host has reported */
byte late[2];        /* 1 + index of a create in flight; 0 none */
bool copyKept;       /* a host of another failure domain holds a copy of the bill */

#ifdef BLIND_WRITE
#define FREE(at) true
#else
#define FREE(at) (log[at] == EMPTY)
#endif

/* A create-if-absent takes effect. */
inline create(at, batch) {
#ifdef BLIND_WRITE
    log[at] = batch;
#else
    if
    :: log[at] == EMPTY -> log[at] = batch
    :: else
    fi;
#endif
    if
    :: first[at] == EMPTY -> first[at] = batch
    :: else
    fi
}

/* Deletes the objects below an index. */
inline erase(below) {
    atomic {
        byte j = 0;
        do
        :: j < below -> log[j] = EMPTY; j++
        :: else -> break
        od;
        j = 0
    }
}

/* First claim of the authoritative log: the effective one. */
inline effectiveClaim(result) {
    byte k = 0;
    result = 0;
    do
    :: k < N ->
        if
        :: result == 0 && (first[k] == CLAIM0 || first[k] == CLAIM0 + 1) -> result = first[k]
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0
}

proctype Host(byte h) {
    byte next;      /* m_nextIndex */
    byte known;     /* claim in m_index */
    byte from;      /* m_unverifiedFrom + 1; 0 none */
    byte seen;
    bool uncertain; /* m_batchMaybeWritten */

load:
    atomic { next = base; known = baseClaim; from = next + 1; uncertain = false }
readLog:
    atomic {
        if
        :: next >= N -> told[h] = UNKNOWN; goto done
        :: else -> seen = log[next]
        fi;
        if
        :: seen == EMPTY -> goto verifyRead
        :: else ->
            if
            :: known == 0 && (seen == CLAIM0 || seen == CLAIM0 + 1) -> known = seen
            :: else
            fi;
            next++;
            goto readLog
        fi
    }
verifyRead:
    atomic {
        if
#ifndef NO_FLOOR_CHECK
        :: floor + 1 > from -> goto load
#endif
        :: else -> from = 0
        fi;
    if
#ifdef NO_RECHECK
    :: known != 0 && known != CLAIM0 + h && !uncertain -> told[h] = DUPLICATE; goto done
#else
    :: known != 0 && known != CLAIM0 + h -> told[h] = DUPLICATE; goto done
#endif
    :: known == CLAIM0 + h -> goto granted
    :: else
    fi;
    if
    :: next >= N -> told[h] = UNKNOWN; goto done
    :: else -> seen = 0
    fi
    }
write:
    atomic {
        if
        :: log[next] != EMPTY -> goto settle                /* conflict */
        :: FREE(next) -> create(next, CLAIM0 + h); goto verifyWrite
        :: true -> create(next, CLAIM0 + h); uncertain = true; goto lost /* response lost */
        :: late[h] == 0 -> late[h] = next + 1; uncertain = true; goto lost /* takes effect later, or never */
        :: !uncertain -> told[h] = NOT_RUN; goto done       /* rejected by the store */
        fi
    }
lost:
    atomic {
#ifdef LOST_IS_REFUSED
        told[h] = NOT_RUN; goto done;
#endif
        if
        :: told[h] = UNKNOWN; goto done  /* outcome not resolved in time */
        :: skip
        fi
    }
settle:
    atomic {
        seen = log[next];
        if
        :: seen == EMPTY && uncertain -> goto write
        :: seen == EMPTY && !uncertain -> goto load
#ifdef NO_BATCH_ID
        :: seen != EMPTY -> goto verifyWrite
#else
        :: seen == CLAIM0 + h -> goto verifyWrite
        :: else ->
            from = next + 1;
#ifndef NO_RECHECK
            if
            :: known == 0 && (seen == CLAIM0 || seen == CLAIM0 + 1) -> known = seen
            :: else
            fi;
#endif
            uncertain = false;
            next++;
            goto verifyRead
#endif
        fi
    }
verifyWrite:
    atomic {
        if
#ifndef NO_FLOOR_CHECK
        :: floor > next -> goto load
#endif
        :: else
        fi
    }
granted:
    atomic { runs++; assert(runs <= 1); next = 0; known = 0; from = 0; seen = 0; uncertain = false };
    /* Billing: the bill is written, or copied while the store is unavailable; the host may be killed after either. */
    atomic {
        if
        :: bills++
#ifdef NO_COPY
        :: skip
#else
        :: copyKept = true
        :: copyKept = true; bills++ /* copied, and written after the store is back */
#endif
        fi;
        told[h] = DELIVERED
    }
done:
    atomic { next = 0; known = 0; from = 0; seen = 0; uncertain = false }
}

/* Appends batches of other keys, and makes ROUNDS snapshots, deleting the objects that they replace. */
proctype Compactor() {
    byte end = 0;
    byte claim = 0;
    byte round = 0;
    do
    :: atomic { end < N - 1 && log[end] == EMPTY -> create(end, FILLER); end++ }
    :: atomic { end < N && log[end] != EMPTY ->
            if
            :: claim == 0 && (log[end] == CLAIM0 || log[end] == CLAIM0 + 1) -> claim = log[end]
            :: else
            fi;
            end++ }
    :: atomic { round < ROUNDS && end > base -> round++; baseClaim = claim; base = end };
#ifdef DELETE_BEFORE_FLOOR
        erase(end);
        floor = end
#else
        floor = end;
        erase(end)
#endif
    :: atomic { round == ROUNDS -> end = 0; claim = 0; break }
    od
}

/* Delivers or drops creates whose response was lost before they took effect. */
proctype Network() {
end:
    do
    :: atomic { late[0] != 0 -> create(late[0] - 1, CLAIM0); late[0] = 0 }
    :: atomic { late[1] != 0 -> create(late[1] - 1, CLAIM0 + 1); late[1] = 0 }
    :: late[0] != 0 -> late[0] = 0 /* never takes effect */
    :: late[1] != 0 -> late[1] = 0
    od
}

/* After all others: the holder of the copy writes it (nothing else depends on when), then a reader reads the log. */
proctype Reader() {
    byte claim;
    timeout;
    atomic {
        if
        :: copyKept -> bills++
        :: else
        fi;
        effectiveClaim(claim);
        assert(!(told[0] == NOT_RUN && claim == CLAIM0));
        assert(!(told[1] == NOT_RUN && claim == CLAIM0 + 1));
        assert(runs == 0 || claim != 0);
#ifdef ALL_BILLS_COUNT
        assert((told[0] != DELIVERED && told[1] != DELIVERED) || bills == 1);
#else
        /* Only the first bill in log order is effective. */
        assert((told[0] != DELIVERED && told[1] != DELIVERED) || bills >= 1);
#endif
    }
}

init {
    atomic { run Host(0); run Host(1); run Compactor(); run Network(); run Reader() }
}
