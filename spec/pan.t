#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(2*sizeof(Trans **));

	/* proctype 0: system */

	trans[0] = (Trans **) emalloc(238*sizeof(Trans *));

	trans[0][235]	= settr(234,0,234,1,0,".(goto)", 0, 2, 0);
	T = trans[0][234] = settr(233,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,3,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,6,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,9,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,13,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,59,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,62,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,66,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,71,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,105,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,139,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,172,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,205,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(233,0,219,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(233,0,233,0,0,"DO", 0, 2, 0);
	T = trans[ 0][3] = settr(2,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(2,2,1,0,0,"ATOMIC", 1, 2, 0);
	trans[0][1]	= settr(0,0,234,3,3,"(!(to_home))", 1, 2, 0); /* m: 2 -> 234,0 */
	reached0[2] = 1;
	trans[0][2]	= settr(0,0,0,0,0,"to_home = 1",0,0,0);
	T = trans[ 0][6] = settr(5,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(5,2,4,0,0,"ATOMIC", 1, 2, 0);
	trans[0][4]	= settr(3,0,234,4,4,"(!(to_other))", 1, 2, 0); /* m: 5 -> 234,0 */
	reached0[5] = 1;
	trans[0][5]	= settr(0,0,0,0,0,"to_other = 1",0,0,0);
	T = trans[ 0][9] = settr(8,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(8,2,7,0,0,"ATOMIC", 1, 2, 0);
	trans[0][7]	= settr(6,0,234,5,5,"((to_other&&!(forwarded)))", 1, 2, 0); /* m: 8 -> 234,0 */
	reached0[8] = 1;
	trans[0][8]	= settr(0,0,0,0,0,"forwarded = 1",0,0,0);
	T = trans[ 0][13] = settr(12,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(12,2,10,0,0,"ATOMIC", 1, 2, 0);
	trans[0][10]	= settr(9,0,234,6,6,"((((to_home||forwarded)&&(home==1))&&!(handling)))", 1, 2, 0); /* m: 11 -> 234,0 */
	reached0[11] = 1;
	trans[0][11]	= settr(0,0,0,0,0,"handling = 1",0,0,0);
	trans[0][12]	= settr(0,0,0,0,0,"seen_valid = !(expired)",0,0,0);
	T = trans[ 0][59] = settr(58,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(58,2,14,0,0,"ATOMIC", 1, 2, 0);
	trans[0][14]	= settr(13,2,58,7,0,"(handling)", 1, 2, 0);
	T = trans[ 0][58] = settr(57,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(57,0,15,0,0,"sub-sequence", 1, 2, 0);
	trans[0][15]	= settr(14,2,56,8,8,"handling = 0", 1, 2, 0);
	T = trans[0][56] = settr(55,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(55,2,16,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(55,2,18,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(55,2,20,0,0,"IF", 1, 2, 0);
	trans[0][16]	= settr(15,2,17,9,0,"(evicted)", 1, 2, 0);
	trans[0][17]	= settr(16,0,234,10,10,"(1)", 1, 2, 0); /* m: 57 -> 234,0 */
	reached0[57] = 1;
	trans[0][57]	= settr(56,0,234,11,11,".(goto)", 1, 2, 0);
	trans[0][18]	= settr(17,2,19,12,0,"(!(seen_valid))", 1, 2, 0);
	trans[0][19]	= settr(18,0,234,13,13,"(1)", 1, 2, 0); /* m: 57 -> 234,0 */
	reached0[57] = 1;
	trans[0][20]	= settr(19,2,54,2,0,"else", 1, 2, 0);
	T = trans[0][54] = settr(53,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(53,2,21,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(53,2,38,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(53,2,43,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(53,2,45,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(53,2,48,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(53,2,52,0,0,"IF", 1, 2, 0);
	trans[0][21]	= settr(20,2,37,14,0,"((entry==UNSEEN))", 1, 2, 0);
	T = trans[ 0][37] = settr(36,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(36,0,35,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][35] = settr(34,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(34,2,22,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(34,2,34,0,0,"IF", 1, 2, 0);
	trans[0][22]	= settr(21,2,25,15,0,"((attempts<2))", 1, 2, 0);
	T = trans[0][25] = settr(24,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(24,2,23,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(24,2,24,0,0,"IF", 1, 2, 0);
	trans[0][23]	= settr(22,2,30,16,16,"owner[attempts] = 0", 1, 2, 0); /* m: 27 -> 0,30 */
	reached0[27] = 1;
	trans[0][26]	= settr(25,2,27,1,0,".(goto)", 1, 2, 0); /* m: 27 -> 0,30 */
	reached0[27] = 1;
	trans[0][24]	= settr(23,2,30,17,17,"owner[attempts] = 1", 1, 2, 0); /* m: 27 -> 0,30 */
	reached0[27] = 1;
	trans[0][27]	= settr(26,2,30,18,18,"bound[attempts] = incarnation[owner[attempts]]", 1, 2, 0);
	T = trans[0][30] = settr(29,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(29,2,28,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(29,2,29,0,0,"IF", 1, 2, 0);
	trans[0][28]	= settr(27,0,234,19,19,"request[attempts] = 1", 1, 2, 0); /* m: 32 -> 0,234 */
	reached0[32] = 1;
	trans[0][31]	= settr(30,2,32,1,0,".(goto)", 1, 2, 0); /* m: 32 -> 0,234 */
	reached0[32] = 1;
	trans[0][29]	= settr(28,0,234,20,20,"unwritten[attempts] = 1", 1, 2, 0); /* m: 32 -> 0,234 */
	reached0[32] = 1;
	trans[0][32]	= settr(31,0,234,21,21,"attempts = (attempts+1)", 1, 2, 0); /* m: 33 -> 0,234 */
	reached0[33] = 1;
	trans[0][33]	= settr(0,0,0,0,0,"entry = OPEN",0,0,0);
	trans[0][36]	= settr(35,2,55,1,0,".(goto)", 1, 2, 0); /* m: 55 -> 0,234 */
	reached0[55] = 1;
	trans[0][34]	= settr(33,2,55,2,0,"else", 1, 2, 0);
	trans[0][55]	= settr(54,0,234,22,22,".(goto)", 1, 2, 0); /* m: 57 -> 0,234 */
	reached0[57] = 1;
	trans[0][38]	= settr(37,2,41,23,0,"((entry==UNSEEN))", 1, 2, 0);
	T = trans[ 0][41] = settr(40,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(40,0,39,0,0,"sub-sequence", 1, 2, 0);
	trans[0][39]	= settr(38,0,234,24,24,"told_not_run = 1", 1, 2, 0); /* m: 40 -> 0,234 */
	reached0[40] = 1;
	trans[0][40]	= settr(0,0,0,0,0,"assert((executed==0))",0,0,0);
	trans[0][42]	= settr(0,0,0,0,0,"entry = NOT_RUN",0,0,0);
	trans[0][43]	= settr(42,2,44,25,0,"((entry==OPEN))", 1, 2, 0);
	trans[0][44]	= settr(43,0,234,26,26,"(1)", 1, 2, 0); /* m: 55 -> 234,0 */
	reached0[55] = 1;
	trans[0][45]	= settr(44,2,47,27,0,"((entry==RAN))", 1, 2, 0);
	T = trans[ 0][47] = settr(46,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(46,0,46,0,0,"sub-sequence", 1, 2, 0);
	trans[0][46]	= settr(45,0,234,28,28,"assert((executed==1))", 1, 2, 0); /* m: 55 -> 0,234 */
	reached0[55] = 1;
	trans[0][48]	= settr(47,2,51,29,0,"((entry==NOT_RUN))", 1, 2, 0);
	T = trans[ 0][51] = settr(50,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(50,0,49,0,0,"sub-sequence", 1, 2, 0);
	trans[0][49]	= settr(48,0,234,30,30,"told_not_run = 1", 1, 2, 0); /* m: 50 -> 0,234 */
	reached0[50] = 1;
	trans[0][50]	= settr(0,0,0,0,0,"assert((executed==0))",0,0,0);
	trans[0][52]	= settr(51,2,53,31,0,"((entry==UNKNOWN))", 1, 2, 0);
	trans[0][53]	= settr(52,0,234,32,32,"(1)", 1, 2, 0); /* m: 55 -> 234,0 */
	reached0[55] = 1;
	T = trans[ 0][62] = settr(61,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(61,2,60,0,0,"ATOMIC", 1, 2, 0);
	trans[0][60]	= settr(59,0,234,33,33,"(!(expired))", 1, 2, 0); /* m: 61 -> 234,0 */
	reached0[61] = 1;
	trans[0][61]	= settr(0,0,0,0,0,"expired = 1",0,0,0);
	T = trans[ 0][66] = settr(65,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(65,2,63,0,0,"ATOMIC", 1, 2, 0);
	trans[0][63]	= settr(62,0,234,34,34,"(((expired&&!(evicted))&&(home==1)))", 1, 2, 0); /* m: 64 -> 234,0 */
	reached0[64] = 1;
	trans[0][64]	= settr(0,0,0,0,0,"evicted = 1",0,0,0);
	trans[0][65]	= settr(0,0,0,0,0,"entry = UNSEEN",0,0,0);
	T = trans[ 0][71] = settr(70,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(70,2,67,0,0,"ATOMIC", 1, 2, 0);
	trans[0][67]	= settr(66,0,234,35,35,"((home==1))", 1, 2, 0); /* m: 68 -> 234,0 */
	reached0[68] = 1;
	trans[0][68]	= settr(0,0,0,0,0,"home = 2",0,0,0);
	trans[0][69]	= settr(0,0,0,0,0,"entry = UNSEEN",0,0,0);
	trans[0][70]	= settr(0,0,0,0,0,"handling = 0",0,0,0);
	T = trans[ 0][105] = settr(104,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(104,2,104,0,0,"ATOMIC", 1, 2, 0);
	T = trans[ 0][104] = settr(103,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(103,0,102,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][102] = settr(101,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(101,2,72,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(101,2,76,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(101,2,81,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(101,2,98,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(101,2,100,0,0,"IF", 1, 2, 0);
	trans[0][72]	= settr(71,2,75,36,36,"(((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&ok_reply[0]))", 1, 2, 0); /* m: 73 -> 75,0 */
	reached0[73] = 1;
	trans[0][73]	= settr(0,0,0,0,0,"entry = RAN",0,0,0);
	T = trans[ 0][75] = settr(74,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(74,0,74,0,0,"sub-sequence", 1, 2, 0);
	trans[0][74]	= settr(73,0,234,37,37,"assert((executed==1))", 1, 2, 0); /* m: 103 -> 0,234 */
	reached0[103] = 1;
	trans[0][103]	= settr(102,0,234,38,38,".(goto)", 1, 2, 0);
	trans[0][76]	= settr(75,2,80,39,39,"(((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(not_run_reply[0]||unwritten[0])))", 1, 2, 0); /* m: 77 -> 80,0 */
	reached0[77] = 1;
	trans[0][77]	= settr(0,0,0,0,0,"entry = NOT_RUN",0,0,0);
	T = trans[ 0][80] = settr(79,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(79,0,78,0,0,"sub-sequence", 1, 2, 0);
	trans[0][78]	= settr(77,0,234,40,40,"told_not_run = 1", 1, 2, 0); /* m: 79 -> 0,234 */
	reached0[79] = 1;
	trans[0][79]	= settr(0,0,0,0,0,"assert((executed==0))",0,0,0);
	trans[0][81]	= settr(80,2,97,41,0,"((((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&(not_run_reply[0]||unwritten[0])))", 1, 2, 0);
	T = trans[ 0][97] = settr(96,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(96,0,95,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][95] = settr(94,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(94,2,82,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(94,2,94,0,0,"IF", 1, 2, 0);
	trans[0][82]	= settr(81,2,85,42,0,"((attempts<2))", 1, 2, 0);
	T = trans[0][85] = settr(84,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(84,2,83,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(84,2,84,0,0,"IF", 1, 2, 0);
	trans[0][83]	= settr(82,2,90,43,43,"owner[attempts] = 0", 1, 2, 0); /* m: 87 -> 0,90 */
	reached0[87] = 1;
	trans[0][86]	= settr(85,2,87,1,0,".(goto)", 1, 2, 0); /* m: 87 -> 0,90 */
	reached0[87] = 1;
	trans[0][84]	= settr(83,2,90,44,44,"owner[attempts] = 1", 1, 2, 0); /* m: 87 -> 0,90 */
	reached0[87] = 1;
	trans[0][87]	= settr(86,2,90,45,45,"bound[attempts] = incarnation[owner[attempts]]", 1, 2, 0);
	T = trans[0][90] = settr(89,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(89,2,88,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(89,2,89,0,0,"IF", 1, 2, 0);
	trans[0][88]	= settr(87,0,234,46,46,"request[attempts] = 1", 1, 2, 0); /* m: 92 -> 0,234 */
	reached0[92] = 1;
	trans[0][91]	= settr(90,2,92,1,0,".(goto)", 1, 2, 0); /* m: 92 -> 0,234 */
	reached0[92] = 1;
	trans[0][89]	= settr(88,0,234,47,47,"unwritten[attempts] = 1", 1, 2, 0); /* m: 92 -> 0,234 */
	reached0[92] = 1;
	trans[0][92]	= settr(91,0,234,48,48,"attempts = (attempts+1)", 1, 2, 0); /* m: 93 -> 0,234 */
	reached0[93] = 1;
	trans[0][93]	= settr(0,0,0,0,0,"entry = OPEN",0,0,0);
	trans[0][96]	= settr(95,0,234,49,49,".(goto)", 1, 2, 0); /* m: 103 -> 0,234 */
	reached0[103] = 1;
	trans[0][94]	= settr(93,2,96,2,0,"else", 1, 2, 0);
	trans[0][98]	= settr(97,0,234,50,50,"((((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&request[0]))", 1, 2, 0); /* m: 99 -> 234,0 */
	reached0[99] = 1;
	trans[0][99]	= settr(0,0,0,0,0,"cancel[0] = 1",0,0,0);
	trans[0][100]	= settr(99,0,234,51,51,"(((((home==1)&&(attempts==(0+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN)))", 1, 2, 0); /* m: 101 -> 234,0 */
	reached0[101] = 1;
	trans[0][101]	= settr(0,0,0,0,0,"entry = UNKNOWN",0,0,0);
	T = trans[ 0][139] = settr(138,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(138,2,138,0,0,"ATOMIC", 1, 2, 0);
	T = trans[ 0][138] = settr(137,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(137,0,136,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][136] = settr(135,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(135,2,106,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(135,2,110,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(135,2,115,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(135,2,132,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(135,2,134,0,0,"IF", 1, 2, 0);
	trans[0][106]	= settr(105,2,109,52,52,"(((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&ok_reply[1]))", 1, 2, 0); /* m: 107 -> 109,0 */
	reached0[107] = 1;
	trans[0][107]	= settr(0,0,0,0,0,"entry = RAN",0,0,0);
	T = trans[ 0][109] = settr(108,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(108,0,108,0,0,"sub-sequence", 1, 2, 0);
	trans[0][108]	= settr(107,0,234,53,53,"assert((executed==1))", 1, 2, 0); /* m: 137 -> 0,234 */
	reached0[137] = 1;
	trans[0][137]	= settr(136,0,234,54,54,".(goto)", 1, 2, 0);
	trans[0][110]	= settr(109,2,114,55,55,"(((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(not_run_reply[1]||unwritten[1])))", 1, 2, 0); /* m: 111 -> 114,0 */
	reached0[111] = 1;
	trans[0][111]	= settr(0,0,0,0,0,"entry = NOT_RUN",0,0,0);
	T = trans[ 0][114] = settr(113,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(113,0,112,0,0,"sub-sequence", 1, 2, 0);
	trans[0][112]	= settr(111,0,234,56,56,"told_not_run = 1", 1, 2, 0); /* m: 113 -> 0,234 */
	reached0[113] = 1;
	trans[0][113]	= settr(0,0,0,0,0,"assert((executed==0))",0,0,0);
	trans[0][115]	= settr(114,2,131,57,0,"((((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&(not_run_reply[1]||unwritten[1])))", 1, 2, 0);
	T = trans[ 0][131] = settr(130,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(130,0,129,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][129] = settr(128,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(128,2,116,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(128,2,128,0,0,"IF", 1, 2, 0);
	trans[0][116]	= settr(115,2,119,58,0,"((attempts<2))", 1, 2, 0);
	T = trans[0][119] = settr(118,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(118,2,117,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(118,2,118,0,0,"IF", 1, 2, 0);
	trans[0][117]	= settr(116,2,124,59,59,"owner[attempts] = 0", 1, 2, 0); /* m: 121 -> 0,124 */
	reached0[121] = 1;
	trans[0][120]	= settr(119,2,121,1,0,".(goto)", 1, 2, 0); /* m: 121 -> 0,124 */
	reached0[121] = 1;
	trans[0][118]	= settr(117,2,124,60,60,"owner[attempts] = 1", 1, 2, 0); /* m: 121 -> 0,124 */
	reached0[121] = 1;
	trans[0][121]	= settr(120,2,124,61,61,"bound[attempts] = incarnation[owner[attempts]]", 1, 2, 0);
	T = trans[0][124] = settr(123,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(123,2,122,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(123,2,123,0,0,"IF", 1, 2, 0);
	trans[0][122]	= settr(121,0,234,62,62,"request[attempts] = 1", 1, 2, 0); /* m: 126 -> 0,234 */
	reached0[126] = 1;
	trans[0][125]	= settr(124,2,126,1,0,".(goto)", 1, 2, 0); /* m: 126 -> 0,234 */
	reached0[126] = 1;
	trans[0][123]	= settr(122,0,234,63,63,"unwritten[attempts] = 1", 1, 2, 0); /* m: 126 -> 0,234 */
	reached0[126] = 1;
	trans[0][126]	= settr(125,0,234,64,64,"attempts = (attempts+1)", 1, 2, 0); /* m: 127 -> 0,234 */
	reached0[127] = 1;
	trans[0][127]	= settr(0,0,0,0,0,"entry = OPEN",0,0,0);
	trans[0][130]	= settr(129,0,234,65,65,".(goto)", 1, 2, 0); /* m: 137 -> 0,234 */
	reached0[137] = 1;
	trans[0][128]	= settr(127,2,130,2,0,"else", 1, 2, 0);
	trans[0][132]	= settr(131,0,234,66,66,"((((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN))&&request[1]))", 1, 2, 0); /* m: 133 -> 234,0 */
	reached0[133] = 1;
	trans[0][133]	= settr(0,0,0,0,0,"cancel[1] = 1",0,0,0);
	trans[0][134]	= settr(133,0,234,67,67,"(((((home==1)&&(attempts==(1+1)))&&((entry==OPEN)||(entry==UNKNOWN)))&&(entry==OPEN)))", 1, 2, 0); /* m: 135 -> 234,0 */
	reached0[135] = 1;
	trans[0][135]	= settr(0,0,0,0,0,"entry = UNKNOWN",0,0,0);
	T = trans[ 0][172] = settr(171,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(171,2,171,0,0,"ATOMIC", 1, 2, 0);
	T = trans[ 0][171] = settr(170,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(170,0,169,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][169] = settr(168,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,140,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,142,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,145,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,148,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,151,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,154,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,157,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(168,2,159,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(168,2,166,0,0,"IF", 1, 2, 0);
	trans[0][140]	= settr(139,0,234,68,68,"(((request[0]&&(incarnation[owner[0]]==bound[0]))&&(at[0]==IDLE)))", 1, 2, 0); /* m: 141 -> 234,0 */
	reached0[141] = 1;
	trans[0][141]	= settr(0,0,0,0,0,"at[0] = QUEUED",0,0,0);
	trans[0][170]	= settr(169,0,234,69,69,".(goto)", 1, 2, 0);
	trans[0][142]	= settr(141,0,234,70,70,"(((request[0]&&(incarnation[owner[0]]==bound[0]))&&(at[0]==IDLE)))", 1, 2, 0); /* m: 143 -> 234,0 */
	reached0[143] = 1;
	trans[0][143]	= settr(0,0,0,0,0,"at[0] = CLOSED",0,0,0);
	trans[0][144]	= settr(0,0,0,0,0,"not_run_reply[0] = 1",0,0,0);
	trans[0][145]	= settr(144,0,234,71,71,"(((cancel[0]&&(incarnation[owner[0]]==bound[0]))&&((at[0]==IDLE)||(at[0]==QUEUED))))", 1, 2, 0); /* m: 146 -> 234,0 */
	reached0[146] = 1;
	trans[0][146]	= settr(0,0,0,0,0,"not_run_reply[0] = 1",0,0,0);
	trans[0][147]	= settr(0,0,0,0,0,"at[0] = CLOSED",0,0,0);
	trans[0][148]	= settr(147,0,234,72,72,"((at[0]==QUEUED))", 1, 2, 0); /* m: 149 -> 234,0 */
	reached0[149] = 1;
	trans[0][149]	= settr(0,0,0,0,0,"at[0] = SENT",0,0,0);
	trans[0][150]	= settr(0,0,0,0,0,"in_flight[0] = 1",0,0,0);
	trans[0][151]	= settr(150,0,234,73,73,"(((at[0]==SENT)&&up_ran[0]))", 1, 2, 0); /* m: 152 -> 234,0 */
	reached0[152] = 1;
	trans[0][152]	= settr(0,0,0,0,0,"at[0] = CLOSED",0,0,0);
	trans[0][153]	= settr(0,0,0,0,0,"ok_reply[0] = 1",0,0,0);
	trans[0][154]	= settr(153,0,234,74,74,"(((at[0]==SENT)&&up_shed[0]))", 1, 2, 0); /* m: 155 -> 234,0 */
	reached0[155] = 1;
	trans[0][155]	= settr(0,0,0,0,0,"at[0] = CLOSED",0,0,0);
	trans[0][156]	= settr(0,0,0,0,0,"not_run_reply[0] = 1",0,0,0);
	trans[0][157]	= settr(156,0,234,75,75,"((at[0]==SENT))", 1, 2, 0); /* m: 158 -> 234,0 */
	reached0[158] = 1;
	trans[0][158]	= settr(0,0,0,0,0,"at[0] = CLOSED",0,0,0);
	trans[0][159]	= settr(158,2,165,76,76,"(in_flight[0])", 1, 2, 0); /* m: 160 -> 165,0 */
	reached0[160] = 1;
	trans[0][160]	= settr(0,0,0,0,0,"in_flight[0] = 0",0,0,0);
	trans[0][161]	= settr(0,0,0,0,0,"up_ran[0] = 1",0,0,0);
	T = trans[ 0][165] = settr(164,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(164,0,162,0,0,"sub-sequence", 1, 2, 0);
	trans[0][162]	= settr(161,0,234,77,77,"executed = (executed+1)", 1, 2, 0); /* m: 163 -> 0,234 */
	reached0[163] = 1;
	trans[0][163]	= settr(0,0,0,0,0,"assert((executed<=1))",0,0,0);
	trans[0][164]	= settr(0,0,0,0,0,"assert(!(told_not_run))",0,0,0);
	trans[0][166]	= settr(165,0,234,78,78,"(in_flight[0])", 1, 2, 0); /* m: 167 -> 234,0 */
	reached0[167] = 1;
	trans[0][167]	= settr(0,0,0,0,0,"in_flight[0] = 0",0,0,0);
	trans[0][168]	= settr(0,0,0,0,0,"up_shed[0] = 1",0,0,0);
	T = trans[ 0][205] = settr(204,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(204,2,204,0,0,"ATOMIC", 1, 2, 0);
	T = trans[ 0][204] = settr(203,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(203,0,202,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][202] = settr(201,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,173,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,175,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,178,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,181,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,184,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,187,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,190,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(201,2,192,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(201,2,199,0,0,"IF", 1, 2, 0);
	trans[0][173]	= settr(172,0,234,79,79,"(((request[1]&&(incarnation[owner[1]]==bound[1]))&&(at[1]==IDLE)))", 1, 2, 0); /* m: 174 -> 234,0 */
	reached0[174] = 1;
	trans[0][174]	= settr(0,0,0,0,0,"at[1] = QUEUED",0,0,0);
	trans[0][203]	= settr(202,0,234,80,80,".(goto)", 1, 2, 0);
	trans[0][175]	= settr(174,0,234,81,81,"(((request[1]&&(incarnation[owner[1]]==bound[1]))&&(at[1]==IDLE)))", 1, 2, 0); /* m: 176 -> 234,0 */
	reached0[176] = 1;
	trans[0][176]	= settr(0,0,0,0,0,"at[1] = CLOSED",0,0,0);
	trans[0][177]	= settr(0,0,0,0,0,"not_run_reply[1] = 1",0,0,0);
	trans[0][178]	= settr(177,0,234,82,82,"(((cancel[1]&&(incarnation[owner[1]]==bound[1]))&&((at[1]==IDLE)||(at[1]==QUEUED))))", 1, 2, 0); /* m: 179 -> 234,0 */
	reached0[179] = 1;
	trans[0][179]	= settr(0,0,0,0,0,"not_run_reply[1] = 1",0,0,0);
	trans[0][180]	= settr(0,0,0,0,0,"at[1] = CLOSED",0,0,0);
	trans[0][181]	= settr(180,0,234,83,83,"((at[1]==QUEUED))", 1, 2, 0); /* m: 182 -> 234,0 */
	reached0[182] = 1;
	trans[0][182]	= settr(0,0,0,0,0,"at[1] = SENT",0,0,0);
	trans[0][183]	= settr(0,0,0,0,0,"in_flight[1] = 1",0,0,0);
	trans[0][184]	= settr(183,0,234,84,84,"(((at[1]==SENT)&&up_ran[1]))", 1, 2, 0); /* m: 185 -> 234,0 */
	reached0[185] = 1;
	trans[0][185]	= settr(0,0,0,0,0,"at[1] = CLOSED",0,0,0);
	trans[0][186]	= settr(0,0,0,0,0,"ok_reply[1] = 1",0,0,0);
	trans[0][187]	= settr(186,0,234,85,85,"(((at[1]==SENT)&&up_shed[1]))", 1, 2, 0); /* m: 188 -> 234,0 */
	reached0[188] = 1;
	trans[0][188]	= settr(0,0,0,0,0,"at[1] = CLOSED",0,0,0);
	trans[0][189]	= settr(0,0,0,0,0,"not_run_reply[1] = 1",0,0,0);
	trans[0][190]	= settr(189,0,234,86,86,"((at[1]==SENT))", 1, 2, 0); /* m: 191 -> 234,0 */
	reached0[191] = 1;
	trans[0][191]	= settr(0,0,0,0,0,"at[1] = CLOSED",0,0,0);
	trans[0][192]	= settr(191,2,198,87,87,"(in_flight[1])", 1, 2, 0); /* m: 193 -> 198,0 */
	reached0[193] = 1;
	trans[0][193]	= settr(0,0,0,0,0,"in_flight[1] = 0",0,0,0);
	trans[0][194]	= settr(0,0,0,0,0,"up_ran[1] = 1",0,0,0);
	T = trans[ 0][198] = settr(197,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(197,0,195,0,0,"sub-sequence", 1, 2, 0);
	trans[0][195]	= settr(194,0,234,88,88,"executed = (executed+1)", 1, 2, 0); /* m: 196 -> 0,234 */
	reached0[196] = 1;
	trans[0][196]	= settr(0,0,0,0,0,"assert((executed<=1))",0,0,0);
	trans[0][197]	= settr(0,0,0,0,0,"assert(!(told_not_run))",0,0,0);
	trans[0][199]	= settr(198,0,234,89,89,"(in_flight[1])", 1, 2, 0); /* m: 200 -> 234,0 */
	reached0[200] = 1;
	trans[0][200]	= settr(0,0,0,0,0,"in_flight[1] = 0",0,0,0);
	trans[0][201]	= settr(0,0,0,0,0,"up_shed[1] = 1",0,0,0);
	T = trans[ 0][219] = settr(218,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(218,2,206,0,0,"ATOMIC", 1, 2, 0);
	trans[0][206]	= settr(205,2,218,90,0,"((incarnation[0]==1))", 1, 2, 0);
	T = trans[ 0][218] = settr(217,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(217,0,207,0,0,"sub-sequence", 1, 2, 0);
	trans[0][207]	= settr(206,2,211,91,91,"incarnation[0] = 2", 1, 2, 0);
	T = trans[0][211] = settr(210,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(210,2,208,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(210,2,210,0,0,"IF", 1, 2, 0);
	trans[0][208]	= settr(207,2,216,92,92,"(((attempts>0)&&(owner[0]==0)))", 1, 2, 0); /* m: 209 -> 216,0 */
	reached0[209] = 1;
	trans[0][209]	= settr(0,0,0,0,0,"at[0] = IDLE",0,0,0);
	trans[0][212]	= settr(211,2,216,1,0,".(goto)", 1, 2, 0);
	trans[0][210]	= settr(209,2,216,2,0,"else", 1, 2, 0);
	T = trans[0][216] = settr(215,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(215,2,213,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(215,2,215,0,0,"IF", 1, 2, 0);
	trans[0][213]	= settr(212,0,234,93,93,"(((attempts>1)&&(owner[1]==0)))", 1, 2, 0); /* m: 214 -> 234,0 */
	reached0[214] = 1;
	trans[0][214]	= settr(0,0,0,0,0,"at[1] = IDLE",0,0,0);
	trans[0][217]	= settr(216,0,234,94,94,".(goto)", 1, 2, 0);
	trans[0][215]	= settr(214,2,217,2,0,"else", 1, 2, 0);
	T = trans[ 0][233] = settr(232,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(232,2,220,0,0,"ATOMIC", 1, 2, 0);
	trans[0][220]	= settr(219,2,232,95,0,"((incarnation[1]==1))", 1, 2, 0);
	T = trans[ 0][232] = settr(231,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(231,0,221,0,0,"sub-sequence", 1, 2, 0);
	trans[0][221]	= settr(220,2,225,96,96,"incarnation[1] = 2", 1, 2, 0);
	T = trans[0][225] = settr(224,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(224,2,222,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(224,2,224,0,0,"IF", 1, 2, 0);
	trans[0][222]	= settr(221,2,230,97,97,"(((attempts>0)&&(owner[0]==1)))", 1, 2, 0); /* m: 223 -> 230,0 */
	reached0[223] = 1;
	trans[0][223]	= settr(0,0,0,0,0,"at[0] = IDLE",0,0,0);
	trans[0][226]	= settr(225,2,230,1,0,".(goto)", 1, 2, 0);
	trans[0][224]	= settr(223,2,230,2,0,"else", 1, 2, 0);
	T = trans[0][230] = settr(229,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(229,2,227,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(229,2,229,0,0,"IF", 1, 2, 0);
	trans[0][227]	= settr(226,0,234,98,98,"(((attempts>1)&&(owner[1]==1)))", 1, 2, 0); /* m: 228 -> 234,0 */
	reached0[228] = 1;
	trans[0][228]	= settr(0,0,0,0,0,"at[1] = IDLE",0,0,0);
	trans[0][231]	= settr(230,0,234,99,99,".(goto)", 1, 2, 0);
	trans[0][229]	= settr(228,2,231,2,0,"else", 1, 2, 0);
	trans[0][236]	= settr(235,0,237,1,0,"break", 0, 2, 0);
	trans[0][237]	= settr(236,0,0,100,100,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
