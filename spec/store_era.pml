/* A host that follows one object of a store which may come back from an older copy. Its revisions are then given out
 * again for other content, and its era rises. The host has two calls on their way at most, whose responses take any
 * time. docs/MODELS.md maps the steps to the code.
 *
 * Property: a host that has read the store's present revision in its present era has its present content.
 *
 * Broken variants: NO_ERA, LATE_RESPONSE, KEEPS_REVISION. */

#define WRITES 4  /* of the operator, those after a rewind included */
#define REWINDS 2
#define CALLS 2

byte era = 1;
byte revision = 1;
byte content = 1;      /* each write stores another one */
byte copyRevision = 1;
byte copyContent = 1;
byte writes = 1;

byte hostEra = 1;
byte hostRevision;     /* 0: the list is to be read */
byte hostContent;

/* Response of the store: era, revision, content; content 0: nothing has changed since the revision that was asked for */
chan responses[CALLS] = [1] of { byte, byte, byte };

proctype Store() {
    byte rewinds;
    do
    :: atomic { writes < WRITES -> writes++; revision++; content = writes }
    :: atomic { copyRevision != revision -> copyRevision = revision; copyContent = content }
    :: atomic { rewinds < REWINDS && copyRevision != revision ->
        rewinds++;
        era++;
        revision = copyRevision;
        content = copyContent
    }
    :: writes == WRITES -> break
    od
}

/* One call at a time; two of these processes stand for a call whose response was given up and is still on its way. */
proctype Call(byte id) {
    byte asked;
    byte responseEra;
    byte responseRevision;
    byte responseContent;
endCall:
    do
    :: atomic { hostRevision != revision || hostEra != era ->
        asked = hostRevision;
        if
        :: asked == 0 || asked < revision -> responses[id]!era, revision, content
        :: else -> responses[id]!era, revision, 0
        fi
       };
       atomic { responses[id]?responseEra, responseRevision, responseContent;
#ifdef NO_ERA
        responseEra = hostEra;
#endif
        if
        :: responseEra > hostEra ->
            hostEra = responseEra;
#ifdef KEEPS_REVISION
            if
            :: responseContent != 0 -> hostRevision = responseRevision; hostContent = responseContent
            :: else -> hostRevision = responseRevision
            fi
#else
            hostRevision = 0
#endif
#ifdef LATE_RESPONSE
        :: responseEra < hostEra ->
            hostRevision = responseRevision;
            hostContent = responseContent
#else
        :: responseEra < hostEra -> skip
#endif
        :: else ->
            if
            :: responseContent != 0 && responseRevision > hostRevision ->
                hostRevision = responseRevision;
                hostContent = responseContent
            :: else -> skip
            fi
        fi;
        assert(hostRevision == 0 || hostRevision != revision || hostContent == content
#ifndef NO_ERA
            || hostEra != era
#endif
        )
       }
    od
}

init {
    atomic {
        run Store();
        run Call(0);
        run Call(1)
    }
}
