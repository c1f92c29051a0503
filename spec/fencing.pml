/* Orders with fencing tokens: two control processes that hold the controller lease in succession, the first of which
 * may pause after its lease check; one engine rejects old tokens, another ignores tokens. docs/MODELS.md maps the steps
 * to the code.
 *
 * Properties: on the engine that checks tokens an older order never takes effect after a newer one, and tokens are
 * unique; the engine that ignores tokens converges to the state that the newest holder ordered, and executing an order
 * twice on it has no further effect.
 *
 * Broken variants: NO_TOKEN_CHECK, TOKEN_REUSED, LEASE_UNCONDITIONAL, NO_READ_BACK, UNSAFE_ORDER. */

#define CONTROLLERS 2
#define TAKEOVERS 2
#define PERIOD 2         /* ticks of the controller lease */

byte leaseHolder = 255;
byte leaseToken;
byte leaseVersion;       /* of the lease object; renewals raise it */
byte newest;             /* highest token whose holder has sent an order to the engine that ignores tokens */

/* Orders in flight: the token of each, 0 for none; at most one from each controller to each engine. */
byte toChecking[CONTROLLERS];
byte toIgnoring[CONTROLLERS];

byte checkingToken;      /* highest token that the checking engine has received */
byte checkingApplied;    /* token of the order in effect there */
byte ignoringApplied;    /* the same on the engine that ignores tokens */
byte loads[4];           /* number of effects of each token's order on the ignoring engine */
byte tokenUsed[4];       /* number of holders of each token */
byte clockOf[CONTROLLERS] = PERIOD; /* ticks since the controller's last renewal; PERIOD: expired */
byte watched[CONTROLLERS];          /* ticks since the last observed renewal of the other controller */
byte seenVersion[CONTROLLERS];
byte takeovers;

#define SATURATE(a) a = (a < PERIOD -> a + 1 : PERIOD)

proctype Controller(byte c) {
    byte token;
    byte version;
    /* Takes over the lease if it is free or has not been renewed for a whole period since this process first saw it. */
endTake:
    atomic { takeovers < TAKEOVERS && (leaseHolder == 255 || leaseHolder == c || watched[c] >= PERIOD) ->
        version = leaseVersion }
    atomic {
        if
#ifdef LEASE_UNCONDITIONAL
        :: true ->
#else
        :: leaseVersion == version ->
#endif
            takeovers++;
            leaseVersion++;
            leaseHolder = c;
#ifdef TOKEN_REUSED
            leaseToken = 1;
#elif defined(LEASE_UNCONDITIONAL)
            leaseToken = version + 1;
#else
            leaseToken++;
#endif
            token = leaseToken;
            tokenUsed[token]++;
            assert(tokenUsed[token] == 1);
            clockOf[c] = 0
#ifndef LEASE_UNCONDITIONAL
        :: else -> goto endTake
#endif
        fi
    }
    /* Sends orders while the lease is valid by the local clock; a pause between check and sending is possible. */
    do
    :: clockOf[c] < PERIOD ->
        if
        :: skip
        :: toChecking[c] = token
        :: atomic { newest = (token > newest -> token : newest); toIgnoring[c] = token }
        fi
    :: clockOf[c] >= PERIOD ->
        if
        :: goto endTake
        :: break
        fi
    od
}

/* Orders are delivered at any time, in any order. */
proctype Network() {
    byte c;
end:
    do
    :: atomic { toChecking[0] != 0 || toChecking[1] != 0 ->
            if
            :: toChecking[0] != 0 -> c = 0
            :: toChecking[1] != 0 -> c = 1
            fi;
            if
#ifdef NO_TOKEN_CHECK
            :: true ->
#else
            :: toChecking[c] >= checkingToken ->
#endif
                assert(toChecking[c] >= checkingApplied);
                checkingToken = toChecking[c];
                checkingApplied = toChecking[c]
#ifndef NO_TOKEN_CHECK
            :: else /* rejected */
#endif
            fi;
            toChecking[c] = 0; c = 0 }
    :: atomic { toIgnoring[0] != 0 || toIgnoring[1] != 0 ->
            if
            :: toIgnoring[0] != 0 -> c = 0
            :: toIgnoring[1] != 0 -> c = 1
            fi;
            ignoringApplied = toIgnoring[c];
#ifdef UNSAFE_ORDER
            loads[toIgnoring[c]]++;
#else
            loads[toIgnoring[c]] = 1; /* loading a version that is already loaded has no effect */
#endif
            assert(loads[toIgnoring[c]] <= 1);
            toIgnoring[c] = 0; c = 0 }
    od
}

proctype Time() {
end:
    do
    :: atomic { clockOf[0] < PERIOD || clockOf[1] < PERIOD || watched[0] < PERIOD || watched[1] < PERIOD ->
            SATURATE(clockOf[0]); SATURATE(clockOf[1]); SATURATE(watched[0]); SATURATE(watched[1]) }
    :: atomic { leaseVersion != seenVersion[0] -> seenVersion[0] = leaseVersion; watched[0] = 0 }
    :: atomic { leaseVersion != seenVersion[1] -> seenVersion[1] = leaseVersion; watched[1] = 0 }
    od
}

/* The newest holder reads back the state and resends its order until the engine shows it; runs after the others. */
proctype ReadBack() {
    timeout;
#ifndef NO_READ_BACK
    do
    :: newest != 0 && ignoringApplied != 0 && ignoringApplied != newest ->
        toIgnoring[0] = newest;
        (toIgnoring[0] == 0)
    :: else -> break
    od;
#endif
    assert(ignoringApplied == 0 || ignoringApplied == newest)
}

init {
    atomic { run Controller(0); run Controller(1); run Network(); run Time(); run ReadBack() }
}
