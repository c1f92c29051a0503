// Task with a libevent base, a mailbox and timers; see event_loop_p.h.
