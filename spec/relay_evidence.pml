/* Evidence on roll-outs that a host passes to the relay that it follows, in batches. Queries and responses may be lost or
 * take any time, relays may refuse to serve, and the host may leave its relay at any point, for another relay or to read
 * the store and share its evidence itself. docs/MODELS.md maps the steps to the code.
 *
 * Property: no response is counted twice. Some may be lost.
 *
 * Broken variants: KEPT_ON_SILENCE, KEPT_ON_LEAVING, REFUSAL_SAYS_NOTHING. */

#define RESPONSES 3 /* that the host records */

byte recorded;
byte counted;       /* by the relays and by the host itself, when it reads the store */

byte unsent;
byte batch;         /* responses in the batch that the relay hasn't confirmed */
byte batchId;       /* 0: none */
bit relay;          /* that the host follows */
bit isPending;      /* a query has neither been answered nor given up */
byte query;         /* number of the last query; responses to others are ignored */

/* relay, query, batch id, responses */
chan toRelay = [3] of { bit, byte, byte, byte };
/* query, id of the batch that was taken or 0, whether the relay serves */
chan toHost = [3] of { byte, byte, bit };

proctype Relays() {
    bit to;
    byte number;
    byte id;
    byte size;
    byte taken[2];
    bit takes;
    bit serves;
end:
    do
    :: toRelay ? to, number, id, size ->
        atomic {
            if
            :: takes = (id > 0)
            :: takes = 0 /* it doesn't read the store */
            fi;
            if
            :: takes && taken[to] != id -> counted = counted + size; taken[to] = id
            :: else
            fi;
            if
            :: serves = 1
            :: serves = 0
            fi;
#ifdef REFUSAL_SAYS_NOTHING
            if
            :: !serves -> takes = 0
            :: else
            fi;
#endif
            if
            :: toHost ! number, (takes -> id : 0), serves
            :: skip /* the response is lost */
            fi
        }
    :: toRelay ? to, number, id, size /* the query is lost */
    od
}

inline drop() {
    batch = 0;
    batchId = 0
}

proctype Host() {
    byte number;
    byte takenId;
    bit serves;
    byte nextId = 1;
end:
    do
    :: atomic { recorded < RESPONSES -> recorded++; unsent++ }
    :: atomic { !isPending && query < 4 && nfull(toRelay) ->
        if
        :: batchId == 0 && unsent > 0 -> batch = unsent; unsent = 0; batchId = nextId; nextId++
        :: else
        fi;
        query++;
        isPending = 1;
        toRelay ! relay, query, batchId, batch
    }
    :: atomic { toHost ? number, takenId, serves ->
        if
        :: isPending && number == query ->
            isPending = 0;
            if
            :: takenId == batchId -> drop()
            :: else
            fi;
            if
            :: !serves -> relay = 1 - relay
            :: else
            fi
        :: else
        fi
    }
    :: atomic { isPending -> /* no response in time */
        isPending = 0;
#ifndef KEPT_ON_SILENCE
        drop();
#endif
        relay = 1 - relay
    }
    :: atomic { /* other hosts query this one: it reads the store and shares what it has itself */
        if
        :: isPending ->
            isPending = 0;
#ifndef KEPT_ON_LEAVING
            drop()
#endif
        :: else
        fi;
        counted = counted + batch + unsent;
        unsent = 0;
        drop()
    }
    od
}

active proctype Check() {
end:
    do
    :: atomic { counted > recorded -> assert(false) }
    od
}

init {
    atomic {
        run Relays();
        run Host()
    }
}
