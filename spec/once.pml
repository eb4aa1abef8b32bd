/*
 * At most once: one non-idempotent operation, whose id names incarnation 1 of
 * its home VM by an operation lease.
 *
 * A message is a fact: once it is sent it may be delivered at any later time,
 * any number of times, in any order with the others, or never. That covers
 * loss, delay, duplication and reordering, and a resend by the caller. A pause
 * is a delay between two steps of a process.
 *
 * Each protective rule stands under an #ifndef; defining its name takes it out
 * (see mutants.txt), and the checker must then find a violation.
 */
#define N 2                     /* attempts, and owners */

mtype = { UNSEEN, OPEN, RAN, NOT_RUN, UNKNOWN };   /* entry of the home's table */
mtype = { IDLE, QUEUED, SENT, CLOSED };            /* an attempt at its owner */

/* Messages. */
bool to_home, to_other, forwarded;      /* copies of the caller's request */
bool request[N], cancel[N];             /* home to owner */
bool ok_reply[N], not_run_reply[N];     /* owner to home */
bool in_flight[N];                      /* owner to upstream, on one connection */
bool up_ran[N], up_shed[N];             /* upstream to owner */

/* The home VM. */
byte home = 1;                  /* its incarnation */
mtype entry = UNSEEN;
byte attempts;                  /* made so far */
bool expired, evicted;          /* the lease; the table has dropped its ids */
bool handling, seen_valid;      /* a request whose clock reading may be old */

/* The owners: two may serve the upstream at once. */
byte owner[N];                  /* whom the attempt went to */
byte bound[N];                  /* which incarnation of it */
byte incarnation[N] = 1;
mtype at[N] = IDLE;
bool unwritten[N];              /* nothing of the attempt was written */

/* What is promised. */
byte executed;
bool told_not_run;

inline answer_not_run() { told_not_run = true; assert(executed == 0) }
inline answer_ran()     { assert(executed == 1) }

inline execute() {
	executed++;
	assert(executed <= 1);
	assert(!told_not_run)
}

/* One more attempt, to either owner; the stream may break before the write. */
inline dispatch() {
	if
	:: attempts < N ->
		if
		:: owner[attempts] = 0
		:: owner[attempts] = 1
		fi;
		bound[attempts] = incarnation[owner[attempts]];
		if
		:: request[attempts] = true
		:: unwritten[attempts] = true
		fi;
		attempts++;
		entry = OPEN
	:: else
	fi
}

inline decide() {
	handling = false;
	if
#ifndef NO_MONOTONIC_TABLE
	/* A clock reading from before the eviction does not revive the lease. */
	:: evicted -> skip
#endif
	:: !seen_valid ->
#ifdef EXPIRED_IS_NOT_RUN
		answer_not_run()
#else
		skip                    /* answered unknown */
#endif
	:: else ->
		if
		:: entry == UNSEEN -> dispatch()
		:: entry == UNSEEN ->   /* refused by admission */
			answer_not_run();
#ifndef REFUSAL_NOT_RECORDED
			entry = NOT_RUN
#endif
#ifdef NO_TABLE
		:: entry != UNSEEN -> dispatch()
#endif
		:: entry == OPEN -> skip        /* waits for the first outcome */
		:: entry == RAN -> answer_ran()
		:: entry == NOT_RUN -> answer_not_run()
		:: entry == UNKNOWN -> skip
		fi
	fi
}

#define current(n)  (home == 1 && attempts == n + 1 && (entry == OPEN || entry == UNKNOWN))

#ifdef STREAM_NOT_BOUND
#define same_request(n) true
#else
#define same_request(n) (incarnation[owner[n]] == bound[n])
#endif
#ifdef CANCEL_NOT_BOUND
#define same_cancel(n) true
#else
#define same_cancel(n) (incarnation[owner[n]] == bound[n])
#endif

inline home_steps(n) {
	if
	:: current(n) && ok_reply[n] -> entry = RAN; answer_ran()
	:: current(n) && (not_run_reply[n] || unwritten[n]) ->
		entry = NOT_RUN; answer_not_run()
	:: current(n) && entry == OPEN && (not_run_reply[n] || unwritten[n]) -> dispatch()
	:: current(n) && entry == OPEN && request[n] -> cancel[n] = true
	:: current(n) && entry == OPEN ->      /* deadline, or the stream was lost */
#ifdef TIMEOUT_IS_NOT_RUN
		entry = NOT_RUN; answer_not_run()
#else
		entry = UNKNOWN
#endif
#ifdef RETRY_WITHOUT_PROOF
	:: current(n) && entry == OPEN -> dispatch()
#endif
#ifdef CANCEL_IS_PROOF
	:: current(n) && cancel[n] -> entry = NOT_RUN; answer_not_run()
#endif
#ifdef OUTCOME_FORGOTTEN
	:: entry == NOT_RUN -> entry = UNSEEN
#endif
	fi
}

inline owner_steps(n) {
	if
	:: request[n] && same_request(n) && at[n] == IDLE -> at[n] = QUEUED
	:: request[n] && same_request(n) && at[n] == IDLE ->   /* queue full */
		at[n] = CLOSED; not_run_reply[n] = true
#ifdef DUPLICATE_QUEUED
	:: request[n] && same_request(n) && at[n] == CLOSED -> at[n] = QUEUED
#endif
	:: cancel[n] && same_cancel(n) && (at[n] == IDLE || at[n] == QUEUED) ->
		not_run_reply[n] = true;
#ifdef NO_TOMBSTONE
		at[n] = IDLE
#else
		at[n] = CLOSED
#endif
#ifdef CANCEL_AFTER_SEND
	:: cancel[n] && at[n] == SENT -> not_run_reply[n] = true
#endif
#ifdef CANCEL_AT_ANY_OWNER
	/* The other owner never saw the request and takes that for proof. */
	:: cancel[n] -> not_run_reply[n] = true
#endif
	:: at[n] == QUEUED -> at[n] = SENT; in_flight[n] = true
	:: at[n] == SENT && up_ran[n] -> at[n] = CLOSED; ok_reply[n] = true
	:: at[n] == SENT && up_shed[n] -> at[n] = CLOSED; not_run_reply[n] = true
	:: at[n] == SENT ->                     /* no answer in time */
		at[n] = CLOSED;
#ifdef OWNER_TIMEOUT_IS_NOT_RUN
		not_run_reply[n] = true
#endif
#ifdef LIBRARY_RETRY
	:: at[n] == SENT && !up_shed[n] -> in_flight[n] = true
#endif
	/* The upstream; the connection delivers a request at most once. */
	:: in_flight[n] -> in_flight[n] = false; up_ran[n] = true; execute()
	:: in_flight[n] -> in_flight[n] = false; up_shed[n] = true
	fi
}

inline crash_owner(o) {
	incarnation[o] = 2;
	if
	:: attempts > 0 && owner[0] == o -> at[0] = IDLE
	:: else
	fi;
	if
	:: attempts > 1 && owner[1] == o -> at[1] = IDLE
	:: else
	fi
}

active proctype system() {
end:	do
	/* The caller, at first and again, to any VM. */
	:: atomic { !to_home -> to_home = true }
	:: atomic { !to_other -> to_other = true }

	/* Another VM: passes the copy on, or believes the home gone: unknown. */
	:: atomic { to_other && !forwarded -> forwarded = true }
#ifdef OTHER_VM_RUNS
	:: atomic { to_other && attempts < N -> dispatch() }
#endif
#ifdef FAILED_FORWARD_IS_NOT_RUN
	:: atomic { to_other && !told_not_run -> answer_not_run() }
#endif

	/* The home. A new incarnation answers unknown. */
#ifdef NEW_INCARNATION_RUNS
	:: atomic { (to_home || forwarded) && !handling -> handling = true; seen_valid = !expired }
#else
	:: atomic { (to_home || forwarded) && home == 1 && !handling -> handling = true; seen_valid = !expired }
#endif
	:: atomic { handling -> decide() }
	:: atomic { !expired -> expired = true }
	:: atomic { expired && !evicted && home == 1 -> evicted = true; entry = UNSEEN }
	:: atomic { home == 1 -> home = 2; entry = UNSEEN; handling = false }
	:: atomic { home_steps(0) }
	:: atomic { home_steps(1) }

	/* The owners and the upstream. */
	:: atomic { owner_steps(0) }
	:: atomic { owner_steps(1) }
	:: atomic { incarnation[0] == 1 -> crash_owner(0) }
	:: atomic { incarnation[1] == 1 -> crash_owner(1) }

	/* Witnesses: states that the model must reach, or the checks say little. */
#ifdef WITNESS_SECOND_ATTEMPT_RUNS
	:: atomic { executed == 1 && up_ran[1] -> assert(false) }
#endif
#ifdef WITNESS_FORWARDED_COPY_RUNS
	:: atomic { executed == 1 && !to_home -> assert(false) }
#endif
#ifdef WITNESS_TOMBSTONE_STOPS_COPY
	:: atomic { told_not_run && request[0] && cancel[0] && at[0] == CLOSED && attempts == 1 && !up_shed[0] -> assert(false) }
#endif
	od
}
