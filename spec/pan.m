#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC system */
	case 3: // STATE 1 - once.pml:195 - [(!(to_home))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][1] = 1;
		if (!( !(((int)now.to_home))))
			continue;
		/* merge: to_home = 1(0, 2, 234) */
		reached[0][2] = 1;
		(trpt+1)->bup.oval = ((int)now.to_home);
		now.to_home = 1;
#ifdef VAR_RANGES
		logval("to_home", ((int)now.to_home));
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 4: // STATE 4 - once.pml:196 - [(!(to_other))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][4] = 1;
		if (!( !(((int)now.to_other))))
			continue;
		/* merge: to_other = 1(0, 5, 234) */
		reached[0][5] = 1;
		(trpt+1)->bup.oval = ((int)now.to_other);
		now.to_other = 1;
#ifdef VAR_RANGES
		logval("to_other", ((int)now.to_other));
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 5: // STATE 7 - once.pml:199 - [((to_other&&!(forwarded)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][7] = 1;
		if (!((((int)now.to_other)&& !(((int)now.forwarded)))))
			continue;
		/* merge: forwarded = 1(0, 8, 234) */
		reached[0][8] = 1;
		(trpt+1)->bup.oval = ((int)now.forwarded);
		now.forwarded = 1;
#ifdef VAR_RANGES
		logval("forwarded", ((int)now.forwarded));
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 6: // STATE 10 - once.pml:211 - [((((to_home||forwarded)&&(home==1))&&!(handling)))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][10] = 1;
		if (!((((((int)now.to_home)||((int)now.forwarded))&&(((int)now.home)==1))&& !(((int)now.handling)))))
			continue;
		/* merge: handling = 1(234, 11, 234) */
		reached[0][11] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.handling);
		now.handling = 1;
#ifdef VAR_RANGES
		logval("handling", ((int)now.handling));
#endif
		;
		/* merge: seen_valid = !(expired)(234, 12, 234) */
		reached[0][12] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.seen_valid);
		now.seen_valid =  !(((int)now.expired));
#ifdef VAR_RANGES
		logval("seen_valid", ((int)now.seen_valid));
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 7: // STATE 14 - once.pml:213 - [(handling)] (0:0:0 - 1)
		IfNotBlocked
		reached[0][14] = 1;
		if (!(((int)now.handling)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 15 - once.pml:72 - [handling = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][15] = 1;
		(trpt+1)->bup.oval = ((int)now.handling);
		now.handling = 0;
#ifdef VAR_RANGES
		logval("handling", ((int)now.handling));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 9: // STATE 16 - once.pml:76 - [(evicted)] (0:0:0 - 1)
		IfNotBlocked
		reached[0][16] = 1;
		if (!(((int)now.evicted)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 10: // STATE 17 - once.pml:76 - [(1)] (234:0:0 - 1)
		IfNotBlocked
		reached[0][17] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 11: // STATE 57 - once.pml:101 - [.(goto)] (0:234:0 - 3)
		IfNotBlocked
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 12: // STATE 18 - once.pml:78 - [(!(seen_valid))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][18] = 1;
		if (!( !(((int)now.seen_valid))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 13: // STATE 19 - once.pml:82 - [(1)] (234:0:0 - 1)
		IfNotBlocked
		reached[0][19] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 14: // STATE 21 - once.pml:86 - [((entry==UNSEEN))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][21] = 1;
		if (!((now.entry==5)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 15: // STATE 22 - once.pml:55 - [((attempts<2))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][22] = 1;
		if (!((((int)now.attempts)<2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 16: // STATE 23 - once.pml:57 - [owner[attempts] = 0] (0:30:2 - 1)
		IfNotBlocked
		reached[0][23] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owner[ Index(((int)now.attempts), 2) ]);
		now.owner[ Index(now.attempts, 2) ] = 0;
#ifdef VAR_RANGES
		logval("owner[attempts]", ((int)now.owner[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(30, 26, 30) */
		reached[0][26] = 1;
		;
		/* merge: bound[attempts] = incarnation[owner[attempts]](30, 27, 30) */
		reached[0][27] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 17: // STATE 24 - once.pml:58 - [owner[attempts] = 1] (0:30:2 - 1)
		IfNotBlocked
		reached[0][24] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owner[ Index(((int)now.attempts), 2) ]);
		now.owner[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owner[attempts]", ((int)now.owner[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(30, 26, 30) */
		reached[0][26] = 1;
		;
		/* merge: bound[attempts] = incarnation[owner[attempts]](30, 27, 30) */
		reached[0][27] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 18: // STATE 27 - once.pml:60 - [bound[attempts] = incarnation[owner[attempts]]] (0:30:1 - 3)
		IfNotBlocked
		reached[0][27] = 1;
		(trpt+1)->bup.oval = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 19: // STATE 28 - once.pml:62 - [request[attempts] = 1] (0:234:3 - 1)
		IfNotBlocked
		reached[0][28] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.request[ Index(((int)now.attempts), 2) ]);
		now.request[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("request[attempts]", ((int)now.request[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(234, 31, 234) */
		reached[0][31] = 1;
		;
		/* merge: attempts = (attempts+1)(234, 32, 234) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 33, 234) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[2] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 36, 234) */
		reached[0][36] = 1;
		;
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 20: // STATE 29 - once.pml:63 - [unwritten[attempts] = 1] (0:234:3 - 1)
		IfNotBlocked
		reached[0][29] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.unwritten[ Index(((int)now.attempts), 2) ]);
		now.unwritten[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("unwritten[attempts]", ((int)now.unwritten[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(234, 31, 234) */
		reached[0][31] = 1;
		;
		/* merge: attempts = (attempts+1)(234, 32, 234) */
		reached[0][32] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 33, 234) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[2] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 36, 234) */
		reached[0][36] = 1;
		;
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 21: // STATE 32 - once.pml:65 - [attempts = (attempts+1)] (0:234:2 - 3)
		IfNotBlocked
		reached[0][32] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 33, 234) */
		reached[0][33] = 1;
		(trpt+1)->bup.ovals[1] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 36, 234) */
		reached[0][36] = 1;
		;
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 22: // STATE 55 - once.pml:100 - [.(goto)] (0:234:0 - 8)
		IfNotBlocked
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 23: // STATE 38 - once.pml:87 - [((entry==UNSEEN))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][38] = 1;
		if (!((now.entry==5)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 24: // STATE 39 - once.pml:43 - [told_not_run = 1] (0:234:2 - 1)
		IfNotBlocked
		reached[0][39] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.told_not_run);
		now.told_not_run = 1;
#ifdef VAR_RANGES
		logval("told_not_run", ((int)now.told_not_run));
#endif
		;
		/* merge: assert((executed==0))(234, 40, 234) */
		reached[0][40] = 1;
		spin_assert((((int)now.executed)==0), "(executed==0)", II, tt, t);
		/* merge: entry = NOT_RUN(234, 42, 234) */
		reached[0][42] = 1;
		(trpt+1)->bup.ovals[1] = now.entry;
		now.entry = 2;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 25: // STATE 43 - once.pml:95 - [((entry==OPEN))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][43] = 1;
		if (!((now.entry==4)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 26: // STATE 44 - once.pml:95 - [(1)] (234:0:0 - 1)
		IfNotBlocked
		reached[0][44] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 27: // STATE 45 - once.pml:96 - [((entry==RAN))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][45] = 1;
		if (!((now.entry==3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 28: // STATE 46 - once.pml:44 - [assert((executed==1))] (0:234:0 - 1)
		IfNotBlocked
		reached[0][46] = 1;
		spin_assert((((int)now.executed)==1), "(executed==1)", II, tt, t);
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 29: // STATE 48 - once.pml:97 - [((entry==NOT_RUN))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][48] = 1;
		if (!((now.entry==2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 30: // STATE 49 - once.pml:43 - [told_not_run = 1] (0:234:1 - 1)
		IfNotBlocked
		reached[0][49] = 1;
		(trpt+1)->bup.oval = ((int)now.told_not_run);
		now.told_not_run = 1;
#ifdef VAR_RANGES
		logval("told_not_run", ((int)now.told_not_run));
#endif
		;
		/* merge: assert((executed==0))(234, 50, 234) */
		reached[0][50] = 1;
		spin_assert((((int)now.executed)==0), "(executed==0)", II, tt, t);
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 31: // STATE 52 - once.pml:98 - [((entry==UNKNOWN))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][52] = 1;
		if (!((now.entry==1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 32: // STATE 53 - once.pml:98 - [(1)] (234:0:0 - 1)
		IfNotBlocked
		reached[0][53] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(234, 55, 234) */
		reached[0][55] = 1;
		;
		/* merge: .(goto)(234, 57, 234) */
		reached[0][57] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 33: // STATE 60 - once.pml:214 - [(!(expired))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][60] = 1;
		if (!( !(((int)now.expired))))
			continue;
		/* merge: expired = 1(0, 61, 234) */
		reached[0][61] = 1;
		(trpt+1)->bup.oval = ((int)now.expired);
		now.expired = 1;
#ifdef VAR_RANGES
		logval("expired", ((int)now.expired));
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 34: // STATE 63 - once.pml:215 - [(((expired&&!(evicted))&&(home==1)))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][63] = 1;
		if (!(((((int)now.expired)&& !(((int)now.evicted)))&&(((int)now.home)==1))))
			continue;
		/* merge: evicted = 1(234, 64, 234) */
		reached[0][64] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.evicted);
		now.evicted = 1;
#ifdef VAR_RANGES
		logval("evicted", ((int)now.evicted));
#endif
		;
		/* merge: entry = UNSEEN(234, 65, 234) */
		reached[0][65] = 1;
		(trpt+1)->bup.ovals[1] = now.entry;
		now.entry = 5;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 35: // STATE 67 - once.pml:216 - [((home==1))] (234:0:3 - 1)
		IfNotBlocked
		reached[0][67] = 1;
		if (!((((int)now.home)==1)))
			continue;
		/* merge: home = 2(234, 68, 234) */
		reached[0][68] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.home);
		now.home = 2;
#ifdef VAR_RANGES
		logval("home", ((int)now.home));
#endif
		;
		/* merge: entry = UNSEEN(234, 69, 234) */
		reached[0][69] = 1;
		(trpt+1)->bup.ovals[1] = now.entry;
		now.entry = 5;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: handling = 0(234, 70, 234) */
		reached[0][70] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.handling);
		now.handling = 0;
#ifdef VAR_RANGES
		logval("handling", ((int)now.handling));
#endif
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 36: // STATE 72 - once.pml:118 - [(((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&ok_reply[0]))] (75:0:1 - 1)
		IfNotBlocked
		reached[0][72] = 1;
		if (!(((((((int)now.home)==1)&&(((int)now.attempts)==(0+1)))&&((now.entry==4)||(now.entry==1)))&&((int)now.ok_reply[0]))))
			continue;
		/* merge: entry = RAN(0, 73, 75) */
		reached[0][73] = 1;
		(trpt+1)->bup.oval = now.entry;
		now.entry = 3;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 37: // STATE 74 - once.pml:44 - [assert((executed==1))] (0:234:0 - 1)
		IfNotBlocked
		reached[0][74] = 1;
		spin_assert((((int)now.executed)==1), "(executed==1)", II, tt, t);
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 38: // STATE 103 - once.pml:129 - [.(goto)] (0:234:0 - 5)
		IfNotBlocked
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 39: // STATE 76 - once.pml:119 - [(((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(not_run_reply[0]||unwritten[0])))] (80:0:1 - 1)
		IfNotBlocked
		reached[0][76] = 1;
		if (!(((((((int)now.home)==1)&&(((int)now.attempts)==(0+1)))&&((now.entry==4)||(now.entry==1)))&&(((int)now.not_run_reply[0])||((int)now.unwritten[0])))))
			continue;
		/* merge: entry = NOT_RUN(0, 77, 80) */
		reached[0][77] = 1;
		(trpt+1)->bup.oval = now.entry;
		now.entry = 2;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 40: // STATE 78 - once.pml:43 - [told_not_run = 1] (0:234:1 - 1)
		IfNotBlocked
		reached[0][78] = 1;
		(trpt+1)->bup.oval = ((int)now.told_not_run);
		now.told_not_run = 1;
#ifdef VAR_RANGES
		logval("told_not_run", ((int)now.told_not_run));
#endif
		;
		/* merge: assert((executed==0))(234, 79, 234) */
		reached[0][79] = 1;
		spin_assert((((int)now.executed)==0), "(executed==0)", II, tt, t);
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 41: // STATE 81 - once.pml:121 - [((((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&(not_run_reply[0]||unwritten[0])))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][81] = 1;
		if (!((((((((int)now.home)==1)&&(((int)now.attempts)==(0+1)))&&((now.entry==4)||(now.entry==1)))&&(now.entry==4))&&(((int)now.not_run_reply[0])||((int)now.unwritten[0])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 42: // STATE 82 - once.pml:55 - [((attempts<2))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][82] = 1;
		if (!((((int)now.attempts)<2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 43: // STATE 83 - once.pml:57 - [owner[attempts] = 0] (0:90:2 - 1)
		IfNotBlocked
		reached[0][83] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owner[ Index(((int)now.attempts), 2) ]);
		now.owner[ Index(now.attempts, 2) ] = 0;
#ifdef VAR_RANGES
		logval("owner[attempts]", ((int)now.owner[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(90, 86, 90) */
		reached[0][86] = 1;
		;
		/* merge: bound[attempts] = incarnation[owner[attempts]](90, 87, 90) */
		reached[0][87] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 44: // STATE 84 - once.pml:58 - [owner[attempts] = 1] (0:90:2 - 1)
		IfNotBlocked
		reached[0][84] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owner[ Index(((int)now.attempts), 2) ]);
		now.owner[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owner[attempts]", ((int)now.owner[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(90, 86, 90) */
		reached[0][86] = 1;
		;
		/* merge: bound[attempts] = incarnation[owner[attempts]](90, 87, 90) */
		reached[0][87] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 45: // STATE 87 - once.pml:60 - [bound[attempts] = incarnation[owner[attempts]]] (0:90:1 - 3)
		IfNotBlocked
		reached[0][87] = 1;
		(trpt+1)->bup.oval = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 46: // STATE 88 - once.pml:62 - [request[attempts] = 1] (0:234:3 - 1)
		IfNotBlocked
		reached[0][88] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.request[ Index(((int)now.attempts), 2) ]);
		now.request[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("request[attempts]", ((int)now.request[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(234, 91, 234) */
		reached[0][91] = 1;
		;
		/* merge: attempts = (attempts+1)(234, 92, 234) */
		reached[0][92] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 93, 234) */
		reached[0][93] = 1;
		(trpt+1)->bup.ovals[2] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 96, 234) */
		reached[0][96] = 1;
		;
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 47: // STATE 89 - once.pml:63 - [unwritten[attempts] = 1] (0:234:3 - 1)
		IfNotBlocked
		reached[0][89] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.unwritten[ Index(((int)now.attempts), 2) ]);
		now.unwritten[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("unwritten[attempts]", ((int)now.unwritten[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(234, 91, 234) */
		reached[0][91] = 1;
		;
		/* merge: attempts = (attempts+1)(234, 92, 234) */
		reached[0][92] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 93, 234) */
		reached[0][93] = 1;
		(trpt+1)->bup.ovals[2] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 96, 234) */
		reached[0][96] = 1;
		;
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 48: // STATE 92 - once.pml:65 - [attempts = (attempts+1)] (0:234:2 - 3)
		IfNotBlocked
		reached[0][92] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 93, 234) */
		reached[0][93] = 1;
		(trpt+1)->bup.ovals[1] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 96, 234) */
		reached[0][96] = 1;
		;
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 49: // STATE 96 - once.pml:69 - [.(goto)] (0:234:0 - 2)
		IfNotBlocked
		reached[0][96] = 1;
		;
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 50: // STATE 98 - once.pml:122 - [((((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&request[0]))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][98] = 1;
		if (!((((((((int)now.home)==1)&&(((int)now.attempts)==(0+1)))&&((now.entry==4)||(now.entry==1)))&&(now.entry==4))&&((int)now.request[0]))))
			continue;
		/* merge: cancel[0] = 1(234, 99, 234) */
		reached[0][99] = 1;
		(trpt+1)->bup.oval = ((int)now.cancel[0]);
		now.cancel[0] = 1;
#ifdef VAR_RANGES
		logval("cancel[0]", ((int)now.cancel[0]));
#endif
		;
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 51: // STATE 100 - once.pml:123 - [(((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][100] = 1;
		if (!(((((((int)now.home)==1)&&(((int)now.attempts)==(0+1)))&&((now.entry==4)||(now.entry==1)))&&(now.entry==4))))
			continue;
		/* merge: entry = UNKNOWN(234, 101, 234) */
		reached[0][101] = 1;
		(trpt+1)->bup.oval = now.entry;
		now.entry = 1;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 103, 234) */
		reached[0][103] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 52: // STATE 106 - once.pml:118 - [(((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&ok_reply[1]))] (109:0:1 - 1)
		IfNotBlocked
		reached[0][106] = 1;
		if (!(((((((int)now.home)==1)&&(((int)now.attempts)==(1+1)))&&((now.entry==4)||(now.entry==1)))&&((int)now.ok_reply[1]))))
			continue;
		/* merge: entry = RAN(0, 107, 109) */
		reached[0][107] = 1;
		(trpt+1)->bup.oval = now.entry;
		now.entry = 3;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 53: // STATE 108 - once.pml:44 - [assert((executed==1))] (0:234:0 - 1)
		IfNotBlocked
		reached[0][108] = 1;
		spin_assert((((int)now.executed)==1), "(executed==1)", II, tt, t);
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 54: // STATE 137 - once.pml:129 - [.(goto)] (0:234:0 - 5)
		IfNotBlocked
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 55: // STATE 110 - once.pml:119 - [(((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(not_run_reply[1]||unwritten[1])))] (114:0:1 - 1)
		IfNotBlocked
		reached[0][110] = 1;
		if (!(((((((int)now.home)==1)&&(((int)now.attempts)==(1+1)))&&((now.entry==4)||(now.entry==1)))&&(((int)now.not_run_reply[1])||((int)now.unwritten[1])))))
			continue;
		/* merge: entry = NOT_RUN(0, 111, 114) */
		reached[0][111] = 1;
		(trpt+1)->bup.oval = now.entry;
		now.entry = 2;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 56: // STATE 112 - once.pml:43 - [told_not_run = 1] (0:234:1 - 1)
		IfNotBlocked
		reached[0][112] = 1;
		(trpt+1)->bup.oval = ((int)now.told_not_run);
		now.told_not_run = 1;
#ifdef VAR_RANGES
		logval("told_not_run", ((int)now.told_not_run));
#endif
		;
		/* merge: assert((executed==0))(234, 113, 234) */
		reached[0][113] = 1;
		spin_assert((((int)now.executed)==0), "(executed==0)", II, tt, t);
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 57: // STATE 115 - once.pml:121 - [((((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&(not_run_reply[1]||unwritten[1])))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][115] = 1;
		if (!((((((((int)now.home)==1)&&(((int)now.attempts)==(1+1)))&&((now.entry==4)||(now.entry==1)))&&(now.entry==4))&&(((int)now.not_run_reply[1])||((int)now.unwritten[1])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 58: // STATE 116 - once.pml:55 - [((attempts<2))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][116] = 1;
		if (!((((int)now.attempts)<2)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 59: // STATE 117 - once.pml:57 - [owner[attempts] = 0] (0:124:2 - 1)
		IfNotBlocked
		reached[0][117] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owner[ Index(((int)now.attempts), 2) ]);
		now.owner[ Index(now.attempts, 2) ] = 0;
#ifdef VAR_RANGES
		logval("owner[attempts]", ((int)now.owner[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(124, 120, 124) */
		reached[0][120] = 1;
		;
		/* merge: bound[attempts] = incarnation[owner[attempts]](124, 121, 124) */
		reached[0][121] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 60: // STATE 118 - once.pml:58 - [owner[attempts] = 1] (0:124:2 - 1)
		IfNotBlocked
		reached[0][118] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.owner[ Index(((int)now.attempts), 2) ]);
		now.owner[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("owner[attempts]", ((int)now.owner[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(124, 120, 124) */
		reached[0][120] = 1;
		;
		/* merge: bound[attempts] = incarnation[owner[attempts]](124, 121, 124) */
		reached[0][121] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 61: // STATE 121 - once.pml:60 - [bound[attempts] = incarnation[owner[attempts]]] (0:124:1 - 3)
		IfNotBlocked
		reached[0][121] = 1;
		(trpt+1)->bup.oval = ((int)now.bound[ Index(((int)now.attempts), 2) ]);
		now.bound[ Index(now.attempts, 2) ] = ((int)now.incarnation[ Index(((int)now.owner[ Index(((int)now.attempts), 2) ]), 2) ]);
#ifdef VAR_RANGES
		logval("bound[attempts]", ((int)now.bound[ Index(((int)now.attempts), 2) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 62: // STATE 122 - once.pml:62 - [request[attempts] = 1] (0:234:3 - 1)
		IfNotBlocked
		reached[0][122] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.request[ Index(((int)now.attempts), 2) ]);
		now.request[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("request[attempts]", ((int)now.request[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(234, 125, 234) */
		reached[0][125] = 1;
		;
		/* merge: attempts = (attempts+1)(234, 126, 234) */
		reached[0][126] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 127, 234) */
		reached[0][127] = 1;
		(trpt+1)->bup.ovals[2] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 130, 234) */
		reached[0][130] = 1;
		;
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 63: // STATE 123 - once.pml:63 - [unwritten[attempts] = 1] (0:234:3 - 1)
		IfNotBlocked
		reached[0][123] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.unwritten[ Index(((int)now.attempts), 2) ]);
		now.unwritten[ Index(now.attempts, 2) ] = 1;
#ifdef VAR_RANGES
		logval("unwritten[attempts]", ((int)now.unwritten[ Index(((int)now.attempts), 2) ]));
#endif
		;
		/* merge: .(goto)(234, 125, 234) */
		reached[0][125] = 1;
		;
		/* merge: attempts = (attempts+1)(234, 126, 234) */
		reached[0][126] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 127, 234) */
		reached[0][127] = 1;
		(trpt+1)->bup.ovals[2] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 130, 234) */
		reached[0][130] = 1;
		;
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 64: // STATE 126 - once.pml:65 - [attempts = (attempts+1)] (0:234:2 - 3)
		IfNotBlocked
		reached[0][126] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.attempts);
		now.attempts = (((int)now.attempts)+1);
#ifdef VAR_RANGES
		logval("attempts", ((int)now.attempts));
#endif
		;
		/* merge: entry = OPEN(234, 127, 234) */
		reached[0][127] = 1;
		(trpt+1)->bup.ovals[1] = now.entry;
		now.entry = 4;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 130, 234) */
		reached[0][130] = 1;
		;
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 65: // STATE 130 - once.pml:69 - [.(goto)] (0:234:0 - 2)
		IfNotBlocked
		reached[0][130] = 1;
		;
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 66: // STATE 132 - once.pml:122 - [((((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&request[1]))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][132] = 1;
		if (!((((((((int)now.home)==1)&&(((int)now.attempts)==(1+1)))&&((now.entry==4)||(now.entry==1)))&&(now.entry==4))&&((int)now.request[1]))))
			continue;
		/* merge: cancel[1] = 1(234, 133, 234) */
		reached[0][133] = 1;
		(trpt+1)->bup.oval = ((int)now.cancel[1]);
		now.cancel[1] = 1;
#ifdef VAR_RANGES
		logval("cancel[1]", ((int)now.cancel[1]));
#endif
		;
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 67: // STATE 134 - once.pml:123 - [(((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][134] = 1;
		if (!(((((((int)now.home)==1)&&(((int)now.attempts)==(1+1)))&&((now.entry==4)||(now.entry==1)))&&(now.entry==4))))
			continue;
		/* merge: entry = UNKNOWN(234, 135, 234) */
		reached[0][135] = 1;
		(trpt+1)->bup.oval = now.entry;
		now.entry = 1;
#ifdef VAR_RANGES
		logval("entry", now.entry);
#endif
		;
		/* merge: .(goto)(234, 137, 234) */
		reached[0][137] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 68: // STATE 140 - once.pml:143 - [(((request[0]&&(incarnation[owner[0]]==bound[0]))&&(at[0]==IDLE)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][140] = 1;
		if (!(((((int)now.request[0])&&(((int)now.incarnation[ Index(((int)now.owner[0]), 2) ])==((int)now.bound[0])))&&(now.at[0]==9))))
			continue;
		/* merge: at[0] = QUEUED(234, 141, 234) */
		reached[0][141] = 1;
		(trpt+1)->bup.oval = now.at[0];
		now.at[0] = 8;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 69: // STATE 170 - once.pml:170 - [.(goto)] (0:234:0 - 9)
		IfNotBlocked
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 70: // STATE 142 - once.pml:144 - [(((request[0]&&(incarnation[owner[0]]==bound[0]))&&(at[0]==IDLE)))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][142] = 1;
		if (!(((((int)now.request[0])&&(((int)now.incarnation[ Index(((int)now.owner[0]), 2) ])==((int)now.bound[0])))&&(now.at[0]==9))))
			continue;
		/* merge: at[0] = CLOSED(234, 143, 234) */
		reached[0][143] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[0];
		now.at[0] = 6;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: not_run_reply[0] = 1(234, 144, 234) */
		reached[0][144] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.not_run_reply[0]);
		now.not_run_reply[0] = 1;
#ifdef VAR_RANGES
		logval("not_run_reply[0]", ((int)now.not_run_reply[0]));
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 71: // STATE 145 - once.pml:149 - [(((cancel[0]&&(incarnation[owner[0]]==bound[0]))&&((at[0]==IDLE)||(at[0]==QUEUED))))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][145] = 1;
		if (!(((((int)now.cancel[0])&&(((int)now.incarnation[ Index(((int)now.owner[0]), 2) ])==((int)now.bound[0])))&&((now.at[0]==9)||(now.at[0]==8)))))
			continue;
		/* merge: not_run_reply[0] = 1(234, 146, 234) */
		reached[0][146] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.not_run_reply[0]);
		now.not_run_reply[0] = 1;
#ifdef VAR_RANGES
		logval("not_run_reply[0]", ((int)now.not_run_reply[0]));
#endif
		;
		/* merge: at[0] = CLOSED(234, 147, 234) */
		reached[0][147] = 1;
		(trpt+1)->bup.ovals[1] = now.at[0];
		now.at[0] = 6;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 72: // STATE 148 - once.pml:155 - [((at[0]==QUEUED))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][148] = 1;
		if (!((now.at[0]==8)))
			continue;
		/* merge: at[0] = SENT(234, 149, 234) */
		reached[0][149] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[0];
		now.at[0] = 7;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: in_flight[0] = 1(234, 150, 234) */
		reached[0][150] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.in_flight[0]);
		now.in_flight[0] = 1;
#ifdef VAR_RANGES
		logval("in_flight[0]", ((int)now.in_flight[0]));
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 73: // STATE 151 - once.pml:156 - [(((at[0]==SENT)&&up_ran[0]))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][151] = 1;
		if (!(((now.at[0]==7)&&((int)now.up_ran[0]))))
			continue;
		/* merge: at[0] = CLOSED(234, 152, 234) */
		reached[0][152] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[0];
		now.at[0] = 6;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: ok_reply[0] = 1(234, 153, 234) */
		reached[0][153] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.ok_reply[0]);
		now.ok_reply[0] = 1;
#ifdef VAR_RANGES
		logval("ok_reply[0]", ((int)now.ok_reply[0]));
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 74: // STATE 154 - once.pml:157 - [(((at[0]==SENT)&&up_shed[0]))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][154] = 1;
		if (!(((now.at[0]==7)&&((int)now.up_shed[0]))))
			continue;
		/* merge: at[0] = CLOSED(234, 155, 234) */
		reached[0][155] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[0];
		now.at[0] = 6;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: not_run_reply[0] = 1(234, 156, 234) */
		reached[0][156] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.not_run_reply[0]);
		now.not_run_reply[0] = 1;
#ifdef VAR_RANGES
		logval("not_run_reply[0]", ((int)now.not_run_reply[0]));
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 75: // STATE 157 - once.pml:158 - [((at[0]==SENT))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][157] = 1;
		if (!((now.at[0]==7)))
			continue;
		/* merge: at[0] = CLOSED(234, 158, 234) */
		reached[0][158] = 1;
		(trpt+1)->bup.oval = now.at[0];
		now.at[0] = 6;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 76: // STATE 159 - once.pml:167 - [(in_flight[0])] (165:0:2 - 1)
		IfNotBlocked
		reached[0][159] = 1;
		if (!(((int)now.in_flight[0])))
			continue;
		/* merge: in_flight[0] = 0(165, 160, 165) */
		reached[0][160] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.in_flight[0]);
		now.in_flight[0] = 0;
#ifdef VAR_RANGES
		logval("in_flight[0]", ((int)now.in_flight[0]));
#endif
		;
		/* merge: up_ran[0] = 1(165, 161, 165) */
		reached[0][161] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.up_ran[0]);
		now.up_ran[0] = 1;
#ifdef VAR_RANGES
		logval("up_ran[0]", ((int)now.up_ran[0]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 77: // STATE 162 - once.pml:47 - [executed = (executed+1)] (0:234:1 - 1)
		IfNotBlocked
		reached[0][162] = 1;
		(trpt+1)->bup.oval = ((int)now.executed);
		now.executed = (((int)now.executed)+1);
#ifdef VAR_RANGES
		logval("executed", ((int)now.executed));
#endif
		;
		/* merge: assert((executed<=1))(234, 163, 234) */
		reached[0][163] = 1;
		spin_assert((((int)now.executed)<=1), "(executed<=1)", II, tt, t);
		/* merge: assert(!(told_not_run))(234, 164, 234) */
		reached[0][164] = 1;
		spin_assert( !(((int)now.told_not_run)), " !(told_not_run)", II, tt, t);
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 78: // STATE 166 - once.pml:168 - [(in_flight[0])] (234:0:2 - 1)
		IfNotBlocked
		reached[0][166] = 1;
		if (!(((int)now.in_flight[0])))
			continue;
		/* merge: in_flight[0] = 0(234, 167, 234) */
		reached[0][167] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.in_flight[0]);
		now.in_flight[0] = 0;
#ifdef VAR_RANGES
		logval("in_flight[0]", ((int)now.in_flight[0]));
#endif
		;
		/* merge: up_shed[0] = 1(234, 168, 234) */
		reached[0][168] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.up_shed[0]);
		now.up_shed[0] = 1;
#ifdef VAR_RANGES
		logval("up_shed[0]", ((int)now.up_shed[0]));
#endif
		;
		/* merge: .(goto)(234, 170, 234) */
		reached[0][170] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 79: // STATE 173 - once.pml:143 - [(((request[1]&&(incarnation[owner[1]]==bound[1]))&&(at[1]==IDLE)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][173] = 1;
		if (!(((((int)now.request[1])&&(((int)now.incarnation[ Index(((int)now.owner[1]), 2) ])==((int)now.bound[1])))&&(now.at[1]==9))))
			continue;
		/* merge: at[1] = QUEUED(234, 174, 234) */
		reached[0][174] = 1;
		(trpt+1)->bup.oval = now.at[1];
		now.at[1] = 8;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 80: // STATE 203 - once.pml:170 - [.(goto)] (0:234:0 - 9)
		IfNotBlocked
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 81: // STATE 175 - once.pml:144 - [(((request[1]&&(incarnation[owner[1]]==bound[1]))&&(at[1]==IDLE)))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][175] = 1;
		if (!(((((int)now.request[1])&&(((int)now.incarnation[ Index(((int)now.owner[1]), 2) ])==((int)now.bound[1])))&&(now.at[1]==9))))
			continue;
		/* merge: at[1] = CLOSED(234, 176, 234) */
		reached[0][176] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[1];
		now.at[1] = 6;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: not_run_reply[1] = 1(234, 177, 234) */
		reached[0][177] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.not_run_reply[1]);
		now.not_run_reply[1] = 1;
#ifdef VAR_RANGES
		logval("not_run_reply[1]", ((int)now.not_run_reply[1]));
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 82: // STATE 178 - once.pml:149 - [(((cancel[1]&&(incarnation[owner[1]]==bound[1]))&&((at[1]==IDLE)||(at[1]==QUEUED))))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][178] = 1;
		if (!(((((int)now.cancel[1])&&(((int)now.incarnation[ Index(((int)now.owner[1]), 2) ])==((int)now.bound[1])))&&((now.at[1]==9)||(now.at[1]==8)))))
			continue;
		/* merge: not_run_reply[1] = 1(234, 179, 234) */
		reached[0][179] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.not_run_reply[1]);
		now.not_run_reply[1] = 1;
#ifdef VAR_RANGES
		logval("not_run_reply[1]", ((int)now.not_run_reply[1]));
#endif
		;
		/* merge: at[1] = CLOSED(234, 180, 234) */
		reached[0][180] = 1;
		(trpt+1)->bup.ovals[1] = now.at[1];
		now.at[1] = 6;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 83: // STATE 181 - once.pml:155 - [((at[1]==QUEUED))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][181] = 1;
		if (!((now.at[1]==8)))
			continue;
		/* merge: at[1] = SENT(234, 182, 234) */
		reached[0][182] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[1];
		now.at[1] = 7;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: in_flight[1] = 1(234, 183, 234) */
		reached[0][183] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.in_flight[1]);
		now.in_flight[1] = 1;
#ifdef VAR_RANGES
		logval("in_flight[1]", ((int)now.in_flight[1]));
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 84: // STATE 184 - once.pml:156 - [(((at[1]==SENT)&&up_ran[1]))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][184] = 1;
		if (!(((now.at[1]==7)&&((int)now.up_ran[1]))))
			continue;
		/* merge: at[1] = CLOSED(234, 185, 234) */
		reached[0][185] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[1];
		now.at[1] = 6;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: ok_reply[1] = 1(234, 186, 234) */
		reached[0][186] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.ok_reply[1]);
		now.ok_reply[1] = 1;
#ifdef VAR_RANGES
		logval("ok_reply[1]", ((int)now.ok_reply[1]));
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 85: // STATE 187 - once.pml:157 - [(((at[1]==SENT)&&up_shed[1]))] (234:0:2 - 1)
		IfNotBlocked
		reached[0][187] = 1;
		if (!(((now.at[1]==7)&&((int)now.up_shed[1]))))
			continue;
		/* merge: at[1] = CLOSED(234, 188, 234) */
		reached[0][188] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = now.at[1];
		now.at[1] = 6;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: not_run_reply[1] = 1(234, 189, 234) */
		reached[0][189] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.not_run_reply[1]);
		now.not_run_reply[1] = 1;
#ifdef VAR_RANGES
		logval("not_run_reply[1]", ((int)now.not_run_reply[1]));
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 86: // STATE 190 - once.pml:158 - [((at[1]==SENT))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][190] = 1;
		if (!((now.at[1]==7)))
			continue;
		/* merge: at[1] = CLOSED(234, 191, 234) */
		reached[0][191] = 1;
		(trpt+1)->bup.oval = now.at[1];
		now.at[1] = 6;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 87: // STATE 192 - once.pml:167 - [(in_flight[1])] (198:0:2 - 1)
		IfNotBlocked
		reached[0][192] = 1;
		if (!(((int)now.in_flight[1])))
			continue;
		/* merge: in_flight[1] = 0(198, 193, 198) */
		reached[0][193] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.in_flight[1]);
		now.in_flight[1] = 0;
#ifdef VAR_RANGES
		logval("in_flight[1]", ((int)now.in_flight[1]));
#endif
		;
		/* merge: up_ran[1] = 1(198, 194, 198) */
		reached[0][194] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.up_ran[1]);
		now.up_ran[1] = 1;
#ifdef VAR_RANGES
		logval("up_ran[1]", ((int)now.up_ran[1]));
#endif
		;
		_m = 3; goto P999; /* 2 */
	case 88: // STATE 195 - once.pml:47 - [executed = (executed+1)] (0:234:1 - 1)
		IfNotBlocked
		reached[0][195] = 1;
		(trpt+1)->bup.oval = ((int)now.executed);
		now.executed = (((int)now.executed)+1);
#ifdef VAR_RANGES
		logval("executed", ((int)now.executed));
#endif
		;
		/* merge: assert((executed<=1))(234, 196, 234) */
		reached[0][196] = 1;
		spin_assert((((int)now.executed)<=1), "(executed<=1)", II, tt, t);
		/* merge: assert(!(told_not_run))(234, 197, 234) */
		reached[0][197] = 1;
		spin_assert( !(((int)now.told_not_run)), " !(told_not_run)", II, tt, t);
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 89: // STATE 199 - once.pml:168 - [(in_flight[1])] (234:0:2 - 1)
		IfNotBlocked
		reached[0][199] = 1;
		if (!(((int)now.in_flight[1])))
			continue;
		/* merge: in_flight[1] = 0(234, 200, 234) */
		reached[0][200] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.in_flight[1]);
		now.in_flight[1] = 0;
#ifdef VAR_RANGES
		logval("in_flight[1]", ((int)now.in_flight[1]));
#endif
		;
		/* merge: up_shed[1] = 1(234, 201, 234) */
		reached[0][201] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.up_shed[1]);
		now.up_shed[1] = 1;
#ifdef VAR_RANGES
		logval("up_shed[1]", ((int)now.up_shed[1]));
#endif
		;
		/* merge: .(goto)(234, 203, 234) */
		reached[0][203] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 90: // STATE 206 - once.pml:223 - [((incarnation[0]==1))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][206] = 1;
		if (!((((int)now.incarnation[0])==1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 91: // STATE 207 - once.pml:181 - [incarnation[0] = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][207] = 1;
		(trpt+1)->bup.oval = ((int)now.incarnation[0]);
		now.incarnation[0] = 2;
#ifdef VAR_RANGES
		logval("incarnation[0]", ((int)now.incarnation[0]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 92: // STATE 208 - once.pml:183 - [(((attempts>0)&&(owner[0]==0)))] (216:0:1 - 1)
		IfNotBlocked
		reached[0][208] = 1;
		if (!(((((int)now.attempts)>0)&&(((int)now.owner[0])==0))))
			continue;
		/* merge: at[0] = IDLE(0, 209, 216) */
		reached[0][209] = 1;
		(trpt+1)->bup.oval = now.at[0];
		now.at[0] = 9;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: .(goto)(0, 212, 216) */
		reached[0][212] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 93: // STATE 213 - once.pml:187 - [(((attempts>1)&&(owner[1]==0)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][213] = 1;
		if (!(((((int)now.attempts)>1)&&(((int)now.owner[1])==0))))
			continue;
		/* merge: at[1] = IDLE(234, 214, 234) */
		reached[0][214] = 1;
		(trpt+1)->bup.oval = now.at[1];
		now.at[1] = 9;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: .(goto)(234, 217, 234) */
		reached[0][217] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 94: // STATE 217 - once.pml:190 - [.(goto)] (0:234:0 - 2)
		IfNotBlocked
		reached[0][217] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 95: // STATE 220 - once.pml:224 - [((incarnation[1]==1))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][220] = 1;
		if (!((((int)now.incarnation[1])==1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 96: // STATE 221 - once.pml:181 - [incarnation[1] = 2] (0:0:1 - 1)
		IfNotBlocked
		reached[0][221] = 1;
		(trpt+1)->bup.oval = ((int)now.incarnation[1]);
		now.incarnation[1] = 2;
#ifdef VAR_RANGES
		logval("incarnation[1]", ((int)now.incarnation[1]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 97: // STATE 222 - once.pml:183 - [(((attempts>0)&&(owner[0]==1)))] (230:0:1 - 1)
		IfNotBlocked
		reached[0][222] = 1;
		if (!(((((int)now.attempts)>0)&&(((int)now.owner[0])==1))))
			continue;
		/* merge: at[0] = IDLE(0, 223, 230) */
		reached[0][223] = 1;
		(trpt+1)->bup.oval = now.at[0];
		now.at[0] = 9;
#ifdef VAR_RANGES
		logval("at[0]", now.at[0]);
#endif
		;
		/* merge: .(goto)(0, 226, 230) */
		reached[0][226] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 98: // STATE 227 - once.pml:187 - [(((attempts>1)&&(owner[1]==1)))] (234:0:1 - 1)
		IfNotBlocked
		reached[0][227] = 1;
		if (!(((((int)now.attempts)>1)&&(((int)now.owner[1])==1))))
			continue;
		/* merge: at[1] = IDLE(234, 228, 234) */
		reached[0][228] = 1;
		(trpt+1)->bup.oval = now.at[1];
		now.at[1] = 9;
#ifdef VAR_RANGES
		logval("at[1]", now.at[1]);
#endif
		;
		/* merge: .(goto)(234, 231, 234) */
		reached[0][231] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 99: // STATE 231 - once.pml:190 - [.(goto)] (0:234:0 - 2)
		IfNotBlocked
		reached[0][231] = 1;
		;
		/* merge: .(goto)(0, 235, 234) */
		reached[0][235] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 100: // STATE 237 - once.pml:226 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[0][237] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

