/*
 * Shares of a rate limit by lease: a lender and a borrower, one unit each of a
 * limit of two. The borrower always uses its own unit; the lender's is lent,
 * renewed, taken back early and reclaimed.
 *
 * Time is discrete. Each VM counts on its own clock, which may deviate once by a
 * tick in either direction within a lease. Messages are facts, as in once.pml; a
 * pause is a delay between two steps while the clocks go on.
 */
#define LEASE   3
#define BORROW  (LEASE - 1)     /* the borrower's use, on its clock */
#define LENT    (LEASE + 1)     /* how long it counts at the lender */
#define OLD     (LEASE + 3)     /* ages are not told apart from here on */
#define LOANS   3               /* messages of the lender, over all incarnations */

#ifdef NO_BORROWER_MARGIN
#undef BORROW
#define BORROW LEASE
#endif
#ifdef NO_LENDER_MARGIN
#undef LENT
#define LENT LEASE
#endif

/* The lender. */
byte lender = 1;                /* incarnation */
bool using = true;              /* its own unit */
byte lent;                      /* time until the unit comes back, on its clock */
byte hold;                      /* time a new incarnation waits */
byte sequence;                  /* of its last loan, in this incarnation */
byte unit_sequence;             /* of the last loan that gave the unit */

/* The borrower. */
byte borrower = 1;
byte left;                      /* time the unit may still be used, on its clock */
byte seen_lender, seen;         /* incarnation and sequence of the newest loan */

/* A request; its stamp is told as the age on the borrower's clock. */
bool asked;
byte asked_by, ask_age;

/* Loans: of which incarnation and sequence, to which borrower, answering a stamp
   of which age; unit is false when it takes the unit back. */
byte loans;
byte given_by[LOANS], number[LOANS], to[LOANS], age[LOANS];
bool unit[LOANS], confirmed[LOANS];

bool lender_deviated, borrower_deviated;
byte n, by;                     /* scratch */

#define sum (1 + using + (left > 0))

inline older(x) { x = (x + by < OLD -> x + by : OLD) }
inline less(x)  { x = (x > by -> x - by : 0) }

inline choose_pace(deviated) {
	if
	:: by = 1
	:: !deviated -> deviated = true; by = 0
	:: !deviated -> deviated = true; by = 2
	fi
}

inline tick() {
	choose_pace(lender_deviated);
	less(lent); less(hold);
	choose_pace(borrower_deviated);
	less(left); older(ask_age);
	older(age[0]); older(age[1]); older(age[2]);
	by = 0
}

inline send_loan(gives) {
	sequence++;
	given_by[loans] = lender; number[loans] = sequence; to[loans] = asked_by;
	age[loans] = ask_age; unit[loans] = gives;
	loans++
}

/* Grants what a request asks for. The unit is counted as lent from here on,
   which is not before the stamp. */
inline lend() {
	lent = LENT;
	unit_sequence = sequence + 1;
	send_loan(true);
#ifndef LEND_BEFORE_LOWERING
	using = false
#endif
}

inline take_loan(i) {
	if
#ifndef OVERTAKEN_LOAN_TAKEN
	:: given_by[i] < seen_lender || (given_by[i] == seen_lender && number[i] <= seen) -> skip
#endif
#ifndef FOREIGN_STAMP
	:: to[i] != borrower -> skip
#else
	/* The stamp counts on the new clock, which has just begun. */
	:: to[i] != borrower -> left = BORROW
#endif
	:: else ->
		seen_lender = given_by[i]; seen = number[i];
		if
		:: !unit[i] -> left = 0
#ifdef LIFE_FROM_RECEIPT
		:: unit[i] -> left = BORROW
#else
		:: unit[i] -> left = (age[i] < BORROW -> BORROW - age[i] : 0)
#endif
		fi
	fi
}

#define takes_back(i) (i < loans && !unit[i])

inline confirmation(i) {
	if
#ifdef CONFIRM_OF_FORMER_LENDER
	:: unit_sequence <= number[i] -> lent = 0
#else
	:: given_by[i] == lender && unit_sequence < number[i] -> lent = 0
#endif
	:: else
	fi
}

#define message(i) \
	:: atomic { i < loans -> take_loan(i) } \
	:: atomic { takes_back(i) && early_confirm(i) && !confirmed[i] -> confirmed[i] = true } \
	:: atomic { confirmed[i] -> confirmation(i) }

#ifdef CONFIRM_BEFORE_LOWERING
#define early_confirm(i) true
#else
#define early_confirm(i) (seen_lender == given_by[i] && seen == number[i])
#endif

active proctype system() {
end:	do
	:: atomic { true -> tick(); assert(sum <= 2) }

	/* The borrower asks, with a stamp of now. */
	:: atomic { asked = true; asked_by = borrower; ask_age = 0 }
	:: atomic { borrower == 1 -> borrower = 2; left = 0; seen_lender = 0; seen = 0 }

	/* The lender lends or renews, takes back, and uses its unit again. */
	:: atomic { asked && loans < LOANS && hold == 0 -> lend() }
	:: atomic { lent > 0 && loans < LOANS -> send_loan(false) }
#ifdef LEND_BEFORE_LOWERING
	:: atomic { lent > 0 && using -> using = false }
#endif
#ifdef RECLAIM_UNCONFIRMED
	:: atomic { loans > 0 && !unit[loans - 1] && lent > 0 -> lent = 0 }
#endif
	:: atomic { lent == 0 && hold == 0 && !using -> using = true; assert(sum <= 2) }
	:: atomic { lender == 1 -> lender = 2; using = false; lent = 0; sequence = 0; unit_sequence = 0;
#ifndef NO_HOLD_AFTER_RESTART
		hold = LENT
#endif
	}

	message(0)
	message(1)
	message(2)

	:: assert(sum <= 2)

	/* Witnesses: see once.pml. */
#ifdef WITNESS_RECLAIMED_BY_CONFIRMATION
	:: atomic { using && confirmed[1] && unit[0] && age[0] < BORROW -> assert(false) }
#endif
#ifdef WITNESS_LENT_TWICE
	:: atomic { unit[0] && unit[1] && number[1] == 2 && seen == 2 && left > 0 && age[0] == OLD -> assert(false) }
#endif
#ifdef WITNESS_NEW_LENDER_LENDS
	:: atomic { lender == 2 && left > 0 && seen_lender == 2 -> assert(false) }
#endif
	od
}
