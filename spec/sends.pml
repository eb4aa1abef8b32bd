/*
 * One VM's sends to one upstream: a send is planned by what is in force, waits for a
 * connection, and is written. Meanwhile the operator evacuates the upstream's data centre or
 * takes it out of the homes of the route, and the upstream's process crashes and another
 * starts, cold, at its address. The VM learns of each at any later time, or never.
 *
 * An upstream that turns cold without a new process is left out: only its entry tells.
 */
#define CHANGES   3             /* of what the operator allows */
#define PROCESSES 3             /* of the upstream, one after the other */
#define NONE      PROCESSES     /* no connection */

mtype = { WARM, COLD, DOUBTFUL };

/* The operator and the upstream. */
bool allowed = true;            /* by the store */
byte changes;
byte process;                   /* which one runs, or ran last */
bool up = true;
bool cold;

/* The VM. */
bool allowed_here = true;       /* by what is in force */
mtype known = WARM;             /* of the upstream */
byte known_of;                  /* the process whose entry it has */
byte connection = NONE;         /* to which process */
bool planned;                   /* a send waits */

#define broken (connection != NONE && (connection != process || !up))
#define may_send (allowed_here && known == WARM)

inline disconnect() {
	connection = NONE;
	known = DOUBTFUL
}

inline greet() {
#ifndef NO_GREETING
	if
	:: cold -> known = COLD
	:: else -> skip
	fi
#else
	skip
#endif
}

inline write() {
	if
#ifndef NO_LAST_LOOK
	:: !may_send -> planned = false
#ifdef WITNESS_BARRED
		; assert(false)
#endif
	:: may_send && broken -> disconnect(); planned = false
	:: may_send && !broken ->
#else
	:: broken -> disconnect(); planned = false
	:: !broken ->
#endif
		assert(allowed_here);
		assert(!cold);
		planned = false
#ifdef WITNESS_SENT_AGAIN
		; assert(process == 0)
#endif
	fi
}

active proctype world() {
end:
	do
	/* The operator. */
	:: atomic { changes < CHANGES -> allowed = !allowed; changes++ }
	/* The upstream. */
	:: atomic { up -> up = false }
	:: atomic { !up && process < PROCESSES - 1 -> process++; up = true; cold = true }
	:: atomic { up && cold -> cold = false }
	/* What the VM learns. */
	:: atomic { allowed_here != allowed -> allowed_here = allowed }
	:: atomic { up && known_of != process -> /* the entry of a new process */
		known_of = process;
		if
		:: cold -> known = COLD
		:: else -> skip
		fi }
	:: atomic { broken -> disconnect() }
	:: atomic { known == DOUBTFUL && up -> /* a health check of its own */
		if
		:: cold -> known = COLD
		:: else -> known = WARM
		fi }
	:: atomic { known == COLD && !cold && up -> known = WARM } /* its time is over */
	/* Its sends. */
	:: atomic { !planned && may_send -> planned = true }
	:: atomic { planned && connection == NONE && up -> connection = process; greet() }
	:: atomic { planned && connection != NONE -> write() }
	od
}
