/*
 * A store that comes back from an older copy: what it acknowledged since is lost and is
 * written again, its revisions are given out a second time, and its era rises. Two VMs
 * list it, watch it and pull pages from each other, and hold two items: the configuration
 * and an upstream's entry.
 *
 * A listing takes two calls, between which the store may come back. An answer may be lost,
 * or come late, again and after others. After `ended` nothing is published and the
 * writers have written again what was lost; when every exchange has taken place, all must
 * agree.
 *
 * Each protective rule stands under an #ifndef or #ifdef, as in once.pml.
 */
#ifndef MOST
#define MOST 4                  /* highest revision */
#endif
#define ERAS 2
#define R (MOST + 1)
#define V 2                     /* VMs */
#define NOBODY 7

/* The store, and what the last writes of its writers were. */
byte era = 1;
byte revision = 2;
byte conf = 1, conf_rev = 1;
byte entry = 1, entry_rev = 2;
byte last_conf = 1, last_entry = 1;
/* What it held at each position. */
byte conf_at[(ERAS + 1) * R];
byte entry_at[(ERAS + 1) * R];
/* Its copy; taken is how it stands: none, taken, used. */
byte taken;
byte copy_revision, copy_conf, copy_conf_rev, copy_entry, copy_entry_rev;

/* The VMs: the position known, the items with their positions, the version in force and
   the era that it is of. */
byte known_era[V], known_rev[V];
byte vm_conf[V], vm_conf_era[V], vm_conf_rev[V];
byte vm_entry[V], vm_entry_era[V], vm_entry_rev[V];
byte force[V], force_era[V];

/* A listing of which the first page, with the configuration, has come. */
byte part_vm = NOBODY;
byte part_era, part_rev, part_conf, part_conf_rev;

/* One answer: whole, or what is above a revision. Items that it lacks are 0. */
byte to = NOBODY;
bool whole, of_peer;
byte above, at_era, at_rev;
byte has_conf, has_conf_era, has_conf_rev;
byte has_entry, has_entry_era, has_entry_rev;

/* Another, kept to come late, perhaps repeatedly. */
byte late_to = NOBODY;
bool late_whole, late_of_peer;
byte late_above, late_era, late_rev;
byte late_conf, late_conf_era, late_conf_rev;
byte late_entry, late_entry_era, late_entry_rev;

bool ended, started;
byte v, w, before, i;           /* scratch, reset after each step */

#ifndef ERA_IGNORED
#define earlier(e, r, f, s) ((e) < (f) || ((e) == (f) && (r) < (s)))
#define same_era(e, f) ((e) == (f))
#else
#define earlier(e, r, f, s) ((r) < (s))
#define same_era(e, f) true
#endif

inline record() {
	conf_at[era * R + revision] = conf;
	entry_at[era * R + revision] = entry
}

inline write_conf(version) {
	revision++; conf = version; conf_rev = revision;
	record()
}

inline write_entry(version) {
	revision++; entry = version; entry_rev = revision;
	record()
}

inline take_copy() {
	taken = 1;
	copy_revision = revision;
	copy_conf = conf; copy_conf_rev = conf_rev;
	copy_entry = entry; copy_entry_rev = entry_rev
}

inline come_back() {
	taken = 2;
	era++;
	revision = copy_revision;
	conf = copy_conf; conf_rev = copy_conf_rev;
	entry = copy_entry; entry_rev = copy_entry_rev;
	record()
}

inline forget() {
	to = NOBODY; whole = false; of_peer = false; above = 0; at_era = 0; at_rev = 0;
	has_conf = 0; has_conf_era = 0; has_conf_rev = 0;
	has_entry = 0; has_entry_era = 0; has_entry_rev = 0
}

inline forget_part() {
	part_vm = NOBODY; part_era = 0; part_rev = 0; part_conf = 0; part_conf_rev = 0
}

inline list_first(vm) {
	part_vm = vm; part_era = era; part_rev = revision;
	part_conf = conf; part_conf_rev = conf_rev
}

/* The second page, with the entry: a listing is whole up to the lower revision. */
inline list_second() {
	if
#ifndef LISTING_OF_TWO_ERAS
	:: part_era != era -> skip
	:: part_era == era ->
#else
	:: true ->
#endif
		to = part_vm; whole = true; at_era = part_era;
		at_rev = (part_rev < revision -> part_rev : revision);
		has_conf = part_conf; has_conf_era = part_era; has_conf_rev = part_conf_rev;
		has_entry = entry; has_entry_era = part_era; has_entry_rev = entry_rev
	fi;
	forget_part()
}

/* The store's changes above what a VM knows; none of a revision that it does not have. */
inline watch(vm) {
	if
	:: revision < known_rev[vm] -> skip
	:: else ->
		to = vm; above = known_rev[vm]; at_era = era; at_rev = revision;
		if
		:: conf_rev > above -> has_conf = conf; has_conf_era = era; has_conf_rev = conf_rev
		:: else
		fi;
		if
		:: entry_rev > above -> has_entry = entry; has_entry_era = era; has_entry_rev = entry_rev
		:: else
		fi
	fi
}

/* A page of a peer, whole for one of another era. */
inline pull(vm, peer) {
	to = vm; of_peer = true; at_era = known_era[peer]; at_rev = known_rev[peer];
	whole = known_rev[vm] == 0;
#ifndef CHANGES_ACROSS_ERAS
	whole = whole || !same_era(known_era[vm], known_era[peer]);
#endif
	above = (whole -> 0 : known_rev[vm]);
	if
	:: whole || vm_conf_rev[peer] > above ->
		has_conf = vm_conf[peer]; has_conf_era = vm_conf_era[peer]; has_conf_rev = vm_conf_rev[peer]
	:: else
	fi;
	if
	:: whole || vm_entry_rev[peer] > above ->
		has_entry = vm_entry[peer]; has_entry_era = vm_entry_era[peer]; has_entry_rev = vm_entry_rev[peer]
	:: else
	fi
}

inline put(vm) {
	if
	:: has_conf > 0 && earlier(vm_conf_era[vm], vm_conf_rev[vm], has_conf_era, has_conf_rev) ->
		vm_conf[vm] = has_conf; vm_conf_era[vm] = has_conf_era; vm_conf_rev[vm] = has_conf_rev;
		if
#ifndef OLDER_VERSION_OF_A_LATER_ERA
		:: force_era[vm] != has_conf_era && has_conf < force[vm] -> skip
		:: else ->
#else
		:: true ->
#endif
			force[vm] = has_conf; force_era[vm] = has_conf_era
		fi
	:: else
	fi;
	if
	:: has_entry > 0 && earlier(vm_entry_era[vm], vm_entry_rev[vm], has_entry_era, has_entry_rev) ->
		vm_entry[vm] = has_entry; vm_entry_era[vm] = has_entry_era; vm_entry_rev[vm] = has_entry_rev
	:: else
	fi
}

/* Whether changes join on to what a VM knows: a peer's only at the very revision. */
#ifndef CHANGES_ACROSS_ERAS
#define joins(vm) (same_era(at_era, known_era[vm]) && above <= known_rev[vm] && (!of_peer || above == known_rev[vm]))
#else
#define joins(vm) (above <= known_rev[vm] && (!of_peer || above == known_rev[vm]))
#endif

inline take(vm) {
	before = force[vm];
	if
	:: whole && !earlier(at_era, at_rev, known_era[vm], known_rev[vm]) ->
		put(vm);
		known_era[vm] = at_era; known_rev[vm] = at_rev
	:: !whole && joins(vm) ->
		put(vm);
		if
		:: earlier(known_era[vm], known_rev[vm], at_era, at_rev) ->
			known_era[vm] = at_era; known_rev[vm] = at_rev
		:: else
		fi
	:: else
	fi;
	/* No version is taken back, */
	assert(force[vm] >= before);
	/* and what is known up to a position is what the store held there, or newer. */
	i = known_era[vm] * R + known_rev[vm];
	assert(known_rev[vm] == 0 || vm_conf[vm] == conf_at[i] || (vm_conf_era[vm] == known_era[vm] && vm_conf_rev[vm] > known_rev[vm]));
	assert(known_rev[vm] == 0 || vm_entry[vm] == entry_at[i] || (vm_entry_era[vm] == known_era[vm] && vm_entry_rev[vm] > known_rev[vm]));
	before = 0; i = 0
}

inline delay() {
	late_to = to; late_whole = whole; late_of_peer = of_peer; late_above = above; late_era = at_era; late_rev = at_rev;
	late_conf = has_conf; late_conf_era = has_conf_era; late_conf_rev = has_conf_rev;
	late_entry = has_entry; late_entry_era = has_entry_era; late_entry_rev = has_entry_rev
}

inline arrive() {
	to = late_to; whole = late_whole; of_peer = late_of_peer; above = late_above; at_era = late_era; at_rev = late_rev;
	has_conf = late_conf; has_conf_era = late_conf_era; has_conf_rev = late_conf_rev;
	has_entry = late_entry; has_entry_era = late_entry_era; has_entry_rev = late_entry_rev
}

inline drop_late() {
	late_to = NOBODY; late_whole = false; late_of_peer = false; late_above = 0; late_era = 0; late_rev = 0;
	late_conf = 0; late_conf_era = 0; late_conf_rev = 0;
	late_entry = 0; late_entry_era = 0; late_entry_rev = 0
}

/* An answer is taken in, comes late, or is lost. */
inline send() {
	if
	:: to == NOBODY -> skip
	:: to != NOBODY -> take(to)
	:: to != NOBODY && late_to == NOBODY -> delay()
	:: to != NOBODY -> skip
	fi;
	forget()
}

#define rewritten (conf == last_conf && entry == last_entry)

/* After the end: VM 0 watches and lists where the watch brings nothing that joins, VM 1
   pulls from it. */
inline settle() {
	watch(0);
	if
	:: to != NOBODY && same_era(at_era, known_era[0]) -> take(0)
	:: else ->
		forget();
		list_first(0); list_second(); take(0)
	fi;
	forget();
	pull(1, 0); take(1); forget();
	assert(known_era[0] == era && known_rev[0] == revision);
	assert(known_era[1] == era && known_rev[1] == revision);
	assert(force[0] == last_conf && force[1] == last_conf);
	assert(vm_entry[0] == entry && vm_entry[1] == entry)
}

active proctype world() {
	do
	:: !started -> atomic {
		started = true;
		conf_at[era * R + 1] = conf; conf_at[era * R + 2] = conf;
		entry_at[era * R + 2] = entry
	}
	:: started && !ended && revision < MOST -> atomic {
		if
		:: conf < last_conf -> write_conf(last_conf)
		:: last_conf < 3 -> last_conf++; write_conf(last_conf)
		:: entry < last_entry -> write_entry(last_entry)
		:: last_entry < 3 -> last_entry++; write_entry(last_entry)
		fi
	}
	:: started && !ended && taken == 0 -> atomic { take_copy() }
	:: started && !ended && taken == 1 -> atomic { come_back() }
	:: started && !ended ->
		atomic {
			select(v : 0 .. V - 1);
			if
			:: part_vm == NOBODY -> list_first(v)
			:: part_vm != NOBODY -> list_second(); send()
			:: part_vm != NOBODY -> forget_part()
			:: known_rev[v] > 0 -> watch(v); send()
			:: w = 1 - v;
				if
				:: earlier(known_era[v], known_rev[v], known_era[w], known_rev[w]) -> pull(v, w); send()
				:: else
				fi
			:: late_to != NOBODY -> arrive(); take(to); forget()
			:: late_to != NOBODY -> drop_late()
			fi;
			v = 0; w = 0
		}
	:: started && !ended && rewritten && known_rev[0] > 0 -> atomic { ended = true; forget_part(); settle() }; break

	/* Witnesses: see once.pml. */
#ifdef WITNESS_REVISION_GIVEN_OUT_TWICE
	/* The VMs hold different versions of the configuration under one revision. */
	:: atomic { started && vm_conf_rev[0] == vm_conf_rev[1] && vm_conf_rev[0] > 0 && vm_conf[0] != vm_conf[1] -> assert(false) }
#endif
#ifdef WITNESS_NEWER_IN_FORCE_THAN_PUBLISHED
	/* A VM has in force what the store has lost. */
	:: atomic { started && known_era[0] == era && force[0] > conf -> assert(false) }
#endif
	od
}
