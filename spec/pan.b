	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC system */

	case 3: // STATE 2
		;
		now.to_home = trpt->bup.oval;
		;
		goto R999;

	case 4: // STATE 5
		;
		now.to_other = trpt->bup.oval;
		;
		goto R999;

	case 5: // STATE 8
		;
		now.forwarded = trpt->bup.oval;
		;
		goto R999;

	case 6: // STATE 12
		;
		now.seen_valid = trpt->bup.ovals[1];
		now.handling = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 8: // STATE 15
		;
		now.handling = trpt->bup.oval;
		;
		goto R999;
;
		;
		;
		
	case 10: // STATE 17
		goto R999;
;
		
	case 11: // STATE 57
		goto R999;
;
		;
		;
		
	case 13: // STATE 19
		goto R999;
;
		;
		;
		;
		
	case 16: // STATE 27
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.ovals[1];
		now.owner[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 17: // STATE 27
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.ovals[1];
		now.owner[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 18: // STATE 27
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 19: // STATE 33
		;
		now.entry = trpt->bup.ovals[2];
		now.attempts = trpt->bup.ovals[1];
		now.request[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 20: // STATE 33
		;
		now.entry = trpt->bup.ovals[2];
		now.attempts = trpt->bup.ovals[1];
		now.unwritten[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 21: // STATE 33
		;
		now.entry = trpt->bup.ovals[1];
		now.attempts = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		
	case 22: // STATE 55
		goto R999;
;
		;
		
	case 24: // STATE 42
		;
		now.entry = trpt->bup.ovals[1];
		now.told_not_run = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		;
		
	case 26: // STATE 44
		goto R999;
;
		;
		;
		
	case 28: // STATE 46
		goto R999;
;
		;
		
	case 30: // STATE 49
		;
		now.told_not_run = trpt->bup.oval;
		;
		goto R999;
;
		;
		;
		
	case 32: // STATE 53
		goto R999;

	case 33: // STATE 61
		;
		now.expired = trpt->bup.oval;
		;
		goto R999;

	case 34: // STATE 65
		;
		now.entry = trpt->bup.ovals[1];
		now.evicted = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 35: // STATE 70
		;
		now.handling = trpt->bup.ovals[2];
		now.entry = trpt->bup.ovals[1];
		now.home = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 36: // STATE 73
		;
		now.entry = trpt->bup.oval;
		;
		goto R999;
;
		
	case 37: // STATE 74
		goto R999;
;
		
	case 38: // STATE 103
		goto R999;

	case 39: // STATE 77
		;
		now.entry = trpt->bup.oval;
		;
		goto R999;

	case 40: // STATE 78
		;
		now.told_not_run = trpt->bup.oval;
		;
		goto R999;
;
		;
		;
		;
		
	case 43: // STATE 87
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.ovals[1];
		now.owner[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 44: // STATE 87
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.ovals[1];
		now.owner[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 45: // STATE 87
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 46: // STATE 93
		;
		now.entry = trpt->bup.ovals[2];
		now.attempts = trpt->bup.ovals[1];
		now.request[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 47: // STATE 93
		;
		now.entry = trpt->bup.ovals[2];
		now.attempts = trpt->bup.ovals[1];
		now.unwritten[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 48: // STATE 93
		;
		now.entry = trpt->bup.ovals[1];
		now.attempts = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		
	case 49: // STATE 96
		goto R999;

	case 50: // STATE 99
		;
		now.cancel[0] = trpt->bup.oval;
		;
		goto R999;

	case 51: // STATE 101
		;
		now.entry = trpt->bup.oval;
		;
		goto R999;

	case 52: // STATE 107
		;
		now.entry = trpt->bup.oval;
		;
		goto R999;
;
		
	case 53: // STATE 108
		goto R999;
;
		
	case 54: // STATE 137
		goto R999;

	case 55: // STATE 111
		;
		now.entry = trpt->bup.oval;
		;
		goto R999;

	case 56: // STATE 112
		;
		now.told_not_run = trpt->bup.oval;
		;
		goto R999;
;
		;
		;
		;
		
	case 59: // STATE 121
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.ovals[1];
		now.owner[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 60: // STATE 121
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.ovals[1];
		now.owner[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 61: // STATE 121
		;
		now.bound[ Index(now.attempts, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 62: // STATE 127
		;
		now.entry = trpt->bup.ovals[2];
		now.attempts = trpt->bup.ovals[1];
		now.request[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 63: // STATE 127
		;
		now.entry = trpt->bup.ovals[2];
		now.attempts = trpt->bup.ovals[1];
		now.unwritten[ Index(now.attempts, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 64: // STATE 127
		;
		now.entry = trpt->bup.ovals[1];
		now.attempts = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		
	case 65: // STATE 130
		goto R999;

	case 66: // STATE 133
		;
		now.cancel[1] = trpt->bup.oval;
		;
		goto R999;

	case 67: // STATE 135
		;
		now.entry = trpt->bup.oval;
		;
		goto R999;

	case 68: // STATE 141
		;
		now.at[0] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 69: // STATE 170
		goto R999;

	case 70: // STATE 144
		;
		now.not_run_reply[0] = trpt->bup.ovals[1];
		now.at[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 71: // STATE 147
		;
		now.at[0] = trpt->bup.ovals[1];
		now.not_run_reply[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 72: // STATE 150
		;
		now.in_flight[0] = trpt->bup.ovals[1];
		now.at[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 73: // STATE 153
		;
		now.ok_reply[0] = trpt->bup.ovals[1];
		now.at[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 74: // STATE 156
		;
		now.not_run_reply[0] = trpt->bup.ovals[1];
		now.at[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 75: // STATE 158
		;
		now.at[0] = trpt->bup.oval;
		;
		goto R999;

	case 76: // STATE 161
		;
		now.up_ran[0] = trpt->bup.ovals[1];
		now.in_flight[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 77: // STATE 162
		;
		now.executed = trpt->bup.oval;
		;
		goto R999;

	case 78: // STATE 168
		;
		now.up_shed[0] = trpt->bup.ovals[1];
		now.in_flight[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 79: // STATE 174
		;
		now.at[1] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 80: // STATE 203
		goto R999;

	case 81: // STATE 177
		;
		now.not_run_reply[1] = trpt->bup.ovals[1];
		now.at[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 82: // STATE 180
		;
		now.at[1] = trpt->bup.ovals[1];
		now.not_run_reply[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 83: // STATE 183
		;
		now.in_flight[1] = trpt->bup.ovals[1];
		now.at[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 84: // STATE 186
		;
		now.ok_reply[1] = trpt->bup.ovals[1];
		now.at[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 85: // STATE 189
		;
		now.not_run_reply[1] = trpt->bup.ovals[1];
		now.at[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 86: // STATE 191
		;
		now.at[1] = trpt->bup.oval;
		;
		goto R999;

	case 87: // STATE 194
		;
		now.up_ran[1] = trpt->bup.ovals[1];
		now.in_flight[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 88: // STATE 195
		;
		now.executed = trpt->bup.oval;
		;
		goto R999;

	case 89: // STATE 201
		;
		now.up_shed[1] = trpt->bup.ovals[1];
		now.in_flight[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 91: // STATE 207
		;
		now.incarnation[0] = trpt->bup.oval;
		;
		goto R999;

	case 92: // STATE 209
		;
		now.at[0] = trpt->bup.oval;
		;
		goto R999;

	case 93: // STATE 214
		;
		now.at[1] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 94: // STATE 217
		goto R999;
;
		;
		
	case 96: // STATE 221
		;
		now.incarnation[1] = trpt->bup.oval;
		;
		goto R999;

	case 97: // STATE 223
		;
		now.at[0] = trpt->bup.oval;
		;
		goto R999;

	case 98: // STATE 228
		;
		now.at[1] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 99: // STATE 231
		goto R999;

	case 100: // STATE 237
		;
		p_restor(II);
		;
		;
		goto R999;
	}

