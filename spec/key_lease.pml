/* Key lease of a host that reads the configuration from the store or through a relay. Version 1 contains a key that
 * version 2 withdraws; responses take any time, and each process may pause at any point. docs/MODELS.md maps the steps
 * to the code.
 *
 * Property: no request with the key is accepted LEASE ticks or more after the operator's acknowledgement.
 *
 * Broken variants: RELAY_DATED_AT_RECEIPT, HOST_DATED_AT_RECEIPT, NO_AGE, GOES_BACK, CLOCK_STOPS, NO_LEASE. */

#define LEASE 2 /* ticks */
#define LAST 5  /* tick at which the model's time ends */

byte now;
byte hostClock;         /* reading of the host's clock; differs from now if it stops while the process is paused */
byte storeVersion = 1;
bit isWithdrawn;
byte withdrawnAt;

byte relayVersion;      /* 0: not read yet */
short relayConfirmed;   /* time at which relayVersion was known to be the newest */
byte hostVersion;
short hostConfirmed = -1;

proctype Time() {
    do
    :: atomic { now < LAST ->
        now++;
#ifdef CLOCK_STOPS
        if
        :: hostClock++
        :: skip
        fi
#else
        hostClock = now
#endif
    }
    :: atomic { now == LAST -> break }
    od
}

proctype Operator() {
    atomic {
        storeVersion = 2;
        isWithdrawn = 1;
        withdrawnAt = now
    }
}

proctype Relay() {
    byte sentAt;
    byte version;
endRelay:
    do
    :: now < LAST ->
        sentAt = now;
        version = storeVersion; /* the store sends its response */
        atomic {
            relayVersion = version;
#ifdef RELAY_DATED_AT_RECEIPT
            relayConfirmed = now
#else
            relayConfirmed = sentAt
#endif
        }
    :: now == LAST -> break
    od
}

inline adopt(version, confirmed) {
#ifdef GOES_BACK
    hostVersion = version;
#else
    hostVersion = (version > hostVersion -> version : hostVersion);
#endif
    hostConfirmed = (confirmed > hostConfirmed -> confirmed : hostConfirmed)
}

proctype Host() {
    byte askedAt;
    byte version;
    byte age;
endHost:
    do
    :: now < LAST ->
        askedAt = hostClock;
        if
        :: atomic { relayVersion > 0 ->
            version = relayVersion;
            age = now - relayConfirmed /* both on the relay's clock */
           }
        :: version = storeVersion;
           age = 0
        fi;
#ifdef NO_AGE
        age = 0;
#endif
        atomic {
#ifdef HOST_DATED_AT_RECEIPT
            adopt(version, hostClock - age)
#else
            adopt(version, askedAt - age)
#endif
        }
    :: now == LAST -> break
    od
}

#ifdef NO_LEASE
#define HAS_LEASE true
#else
#define HAS_LEASE (hostClock - hostConfirmed < LEASE)
#endif

/* Sends a request with the key. */
proctype Caller() {
    do
    :: atomic { hostVersion == 1 && HAS_LEASE ->
        assert(!isWithdrawn || now - withdrawnAt < LEASE);
        break
    }
    :: atomic { now == LAST -> break }
    od
}

init {
    atomic {
        run Time();
        run Operator();
        run Relay();
        run Host();
        run Caller()
    }
}
