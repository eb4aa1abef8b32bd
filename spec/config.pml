/*
 * Adoption of configuration: three daemons, two documents, a platform that can
 * only be read and keeps just the newest value of each document.
 *
 * Any read of the platform may be stale by any amount, and the next one staler. A
 * peer's page may be lost; one at a time may also come late, again and after others. After
 * `healed` there are no more faults, and every exchange that the rules call for
 * takes place; when none is left that changes anything, all must agree.
 *
 * Each protective rule stands under an #ifndef or #ifdef, as in once.pml.
 */
#ifndef REVISIONS
#define REVISIONS 2             /* changes published */
#endif
#ifndef REPLACED
#define REPLACED 2              /* daemons replaced */
#endif
#ifndef CUTS
#define CUTS 1                  /* daemons partitioned off */
#endif
#define D 3                     /* daemons */
#define K 2                     /* documents */
#define PLATFORM D              /* as the source of a page */
#define NOBODY 7

/* What was published: revision r is a version of document_of[r]. */
byte revision;
byte document_of[REVISIONS + 1];
bool good[REVISIONS + 1];       /* passes the check, which is the same everywhere */

/* The daemons. */
byte force[D * K];              /* revision in force of each document */
byte mark[D];                   /* every change up to it was taken in */
byte after[D];                  /* a pull from a peer asks for changes above it */
byte answered[D];               /* sources that answered since the start, as bits */
bool ready[D] = true;           /* serves */
byte apart = NOBODY;            /* the one partitioned from the others */

/* A page: merged as soon as it is read, or kept on its way. */
byte page_from, page_mark;
byte page_force[K];
bool page_whole;                /* not cut: nothing of the source is missing */

/* The one page that comes late, perhaps repeatedly. */
bool was_late;
byte late_to = NOBODY, late_from, late_mark;
byte late_force[K];
bool late_whole;

byte replaced;
byte cuts;
bool healed, platform_up;

/* What a replaced daemon must know before it serves: all that the peers it can
   reach had in force when it started, while nothing fails meanwhile. */
byte known[D * K];

byte p, k, r, upto, newest;     /* scratch, reset after each step */

#define reachable(a, b) (apart != a && apart != b)

/* newest = last revision of document k up to `upto`; 0 for none. */
inline newest_of(k, upto) {
	newest = 0;
	r = 1;
	do
	:: r > upto -> break
	:: else ->
		if
		:: document_of[r] == k -> newest = r
		:: else
		fi;
		r++
	od;
	r = 0
}

/* The platform has dropped the version before a rejected one, so that a daemon
   that holds a rejected version must ask its peers from below it. */
inline set_after(a) {
	after[a] = mark[a];
#ifndef PULL_FROM_MARK
	k = 0;
	do
	:: k == K -> break
	:: else ->
		newest_of(k, mark[a]);
		if
		:: newest > force[a * K + k] && force[a * K + k] < after[a] -> after[a] = force[a * K + k]
		:: else
		fi;
		k++
	od;
	k = 0; newest = 0
#endif
}

inline fetch_platform(a) {
	if
	:: healed -> upto = revision
	:: else -> select(upto : 0 .. revision) /* stale by any amount */
	fi;
	skip;
	d_step {
	page_from = PLATFORM;
	page_whole = true;
	page_mark = upto;
	k = 0;
	do
	:: k == K -> break
	:: else ->
		newest_of(k, upto);
		page_force[k] = 0;
		if
#ifdef ACCEPT_UNCHECKED
		:: newest > mark[a] -> page_force[k] = newest
#else
		:: newest > mark[a] && good[newest] -> page_force[k] = newest
#endif
		:: else
		fi;
		k++
	od;
#ifdef ONE_BAD_REJECTS_PAGE
	k = 0;
	do
	:: k == K -> break
	:: else ->
		newest_of(k, upto);
		if
		:: newest > mark[a] && !good[newest] -> page_force[0] = 0; page_force[1] = 0
		:: else
		fi;
		k++
	od;
#endif
	k = 0; upto = 0; newest = 0
	}
}

/* A page of peer b for a; a long one is cut at some revision. */
inline fetch_peer(a, b) {
	upto = mark[b];
	if
	:: healed || mark[b] == 0 -> skip
	:: else -> select(upto : 1 .. mark[b])
	fi;
	skip;
	d_step {
	page_from = b;
	page_whole = (upto == mark[b]);
#ifdef CUT_PAGE_CLAIMS_ALL
	page_mark = mark[b];
#else
	page_mark = upto;
#endif
	k = 0;
	do
	:: k == K -> break
	:: else ->
		page_force[k] = 0;
		if
		:: force[b * K + k] > after[a] && force[b * K + k] <= upto -> page_force[k] = force[b * K + k]
		:: else
		fi;
		k++
	od;
	k = 0; upto = 0
	}
}

inline no_page() {
	page_from = 0; page_mark = 0; page_whole = false;
	page_force[0] = 0; page_force[1] = 0
}

inline no_late() {
	late_to = NOBODY; late_from = 0; late_mark = 0; late_whole = false;
	late_force[0] = 0; late_force[1] = 0
}

inline put_late(a) {
	was_late = true;
	late_to = a; late_from = page_from; late_mark = page_mark; late_whole = page_whole;
	late_force[0] = page_force[0]; late_force[1] = page_force[1];
	no_page()
}

inline take_late() {
	page_from = late_from; page_mark = late_mark; page_whole = late_whole;
	page_force[0] = late_force[0]; page_force[1] = late_force[1]
}

inline merge(a) {
	k = 0;
	do
	:: k == K -> break
	:: else ->
		if
#ifdef TAKE_PAGE_WHOLE
		:: page_force[k] > 0 ->
			assert(page_force[k] >= force[a * K + k]);
#else
		:: page_force[k] > force[a * K + k] ->
#endif
			force[a * K + k] = page_force[k];
			assert(good[force[a * K + k]])
		:: else
		fi;
		k++
	od;
	k = 0;
	if
	:: page_mark > mark[a] -> mark[a] = page_mark
	:: else
	fi;
	set_after(a);
	if
#ifdef CUT_PAGE_IS_ANSWER
	:: !ready[a] -> answered[a] = answered[a] | (1 << page_from)
#else
	:: !ready[a] && page_whole -> answered[a] = answered[a] | (1 << page_from)
#endif
	:: else
	fi;
	no_page()
}

#define heard(a, b) (a == b || (answered[a] & (1 << b)) || !reachable(a, b))

#ifdef READY_WITHOUT_PEERS
#define may_serve(a) (mark[a] > 0)
#else
#define may_serve(a) (mark[a] > 0 && heard(a, 0) && heard(a, 1) && heard(a, 2))
#endif

inline serve(a) {
	ready[a] = true;
	assert(force[a * K] >= known[a * K] && force[a * K + 1] >= known[a * K + 1]);
	known[a * K] = 0; known[a * K + 1] = 0;
	answered[a] = 0
}

inline excuse() {               /* a fault: replaced daemons may miss what it hides */
	k = 0;
	do
	:: k == D * K -> break
	:: else -> known[k] = 0; k++
	od;
	k = 0
}

inline replace(a) {
	excuse();
	replaced++;
	p = 0;
	do
	:: p == D -> break
	:: else ->
		if
		:: p != a && reachable(a, p) ->
			if
			:: force[p * K] > known[a * K] -> known[a * K] = force[p * K]
			:: else
			fi;
			if
			:: force[p * K + 1] > known[a * K + 1] -> known[a * K + 1] = force[p * K + 1]
			:: else
			fi
		:: else
		fi;
		p++
	od;
	p = 0;
	force[a * K] = 0; force[a * K + 1] = 0;
	mark[a] = 0; after[a] = 0; answered[a] = 0; ready[a] = false;
	if      /* its streams end with it */
	:: late_to == a || late_from == a -> no_late()
	:: else
	fi
}

inline publish() {
	revision++;
	if
	:: document_of[revision] = 0
	:: revision > 1 -> document_of[revision] = 1    /* the first one is document 0 */
	fi;
	if
	:: good[revision] = true
	:: good[revision] = false
	fi
}

/* After healing: a pulls from b when b's heartbeat shows more, or the same mark
   with another digest of what is held, and once when it starts. */
#define differ(a, b) (force[a * K] != force[b * K] || force[a * K + 1] != force[b * K + 1])
#ifdef NO_PEERS
#define asks(a, b)   false
#elif defined(NO_DIGEST)
#define asks(a, b)   (mark[b] > mark[a])
#else
#define asks(a, b)   (mark[b] > mark[a] || (mark[b] == mark[a] && differ(a, b)))
#endif
#define news(a, b, k) (force[b * K + k] > after[a] && force[b * K + k] > force[a * K + k])
#define gains(a, b)  (mark[b] > mark[a] || news(a, b, 0) || news(a, b, 1))
#define first(a, b)  (!ready[a] && !(answered[a] & (1 << b)))
#define pulls(a, b)  (a != b && ((asks(a, b) && gains(a, b)) || first(a, b)))

#define agree(k)     (force[k] == force[K + k] && force[k] == force[2 * K + k])

inline settled() {
	assert(agree(0) && agree(1));
	k = 0;
	do
	:: k == K -> break
	:: else ->
		newest_of(k, revision);
		assert(!platform_up || newest == 0 || !good[newest] || force[k] == newest);
		assert(!platform_up || revision == 0 || (ready[0] && ready[1] && ready[2]));
		k++
	od;
	k = 0; newest = 0
}

/* What daemon a does, and what befalls it. */
#define meets(a, b) \
	:: atomic { !healed && a != b && reachable(a, b) && (mark[b] > 0 || !ready[a]) -> fetch_peer(a, b); \
		if :: d_step { merge(a) } :: !was_late -> put_late(a) fi } \
	:: atomic { healed && pulls(a, b) -> fetch_peer(a, b); d_step { merge(a) } }

#define daemon(a) \
	:: atomic { !healed && revision > 0 -> fetch_platform(a); d_step { merge(a) } } \
	meets(a, 0) meets(a, 1) meets(a, 2) \
	:: atomic { !healed && late_to == a -> d_step { take_late(); merge(a) } } \
	:: atomic { !ready[a] && may_serve(a) -> d_step { serve(a) } } \
	:: atomic { !healed && replaced < REPLACED && a < 2 -> d_step { replace(a) } } \
	:: atomic { !healed && cuts < CUTS -> d_step { excuse(); cuts++; apart = a } } \
	:: atomic { !healed && apart == a -> d_step { excuse(); apart = NOBODY } } \
	:: atomic { healed && platform_up && mark[a] < revision -> fetch_platform(a); d_step { merge(a) } }

inline heal() {
	excuse();
	healed = true;
	apart = NOBODY;
	no_late();
	if
	:: platform_up = true
	:: platform_up = false  /* still down, or stale for good */
	fi
}

active proctype system() {
	do
	:: atomic { !healed && revision < REVISIONS -> publish() }
	daemon(0)
	daemon(1)
	daemon(2)
	:: atomic { !healed -> heal() }
	:: else -> d_step { settled() }; break

	/* Witnesses: see once.pml. */
#ifdef WITNESS_PEERS_KEEP_WHAT_PLATFORM_DROPPED
	/* A replaced daemon has in force what only a peer still held. */
	:: atomic { healed && revision == 2 && document_of[2] == 0 && !good[2] && replaced == 1 && mark[0] == 2 && after[0] == 1 && force[0] == 1 -> assert(false) }
#endif
	od
}
