/* At most once: two attempts for one request id, through keepers that write a
 * claim by a conditional put whose reply may be lost and whose effect may come
 * late. Attempt 0 is the caller's first sending. Attempt 1 is the same id sent
 * again, at any time after attempt 0 began, since the caller may have given up
 * waiting; the caller then no longer listens to attempt 0.
 *
 * Broken variants, each of which the checker must reject:
 *   BLIND_PUT     the write of the claim is not conditional
 *   TRUST_LOST    a lost reply counts as success without reading back
 *   LOOSE_NOT_RUN any attempt without a claim says not_run, also a repeated one
 *   VOID_ALWAYS   a repeated attempt voids the claim that it did not use
 */
#define NONE 0
byte holder = NONE;             /* 1 + the attempt that holds the claim */
bool unused = false;             /* the claim was voided */
byte version = 0;
byte ran = 0;                   /* times the request was dispatched */
bool started[2];
bool late[2];                   /* a put whose effect is still to come */
byte lateIf[2];
bool said[2];                   /* the attempt said not_run */
bool decided = false;           /* some attempt ended */

#define FREE (holder == NONE || unused)
#define MINE(i) (holder == i + 1 && !unused)
#define BUMP version = (version < 12 -> version + 1 : version)

inline say_not_run(i) {
	said[i] = true;
	/* Only the attempt that the caller listens to counts. */
	assert(!(ran > 0 && (i == 1 || !started[1])))
}

active proctype lateWrites() {
	byte i;
	do
	:: atomic { late[0] -> i = 0; late[0] = false; if :: version == lateIf[0] -> holder = 1; unused = false; BUMP :: else fi }
	:: atomic { late[1] -> i = 1; late[1] = false; if :: version == lateIf[1] -> holder = 2; unused = false; BUMP :: else fi }
	od
}

proctype attempt(byte me) {
	byte seen, tries = 0;
	bool free, first = (me == 0);
	bool granted = false;
	started[me] = true;
read:
	if
	:: tries == 3 -> goto unsure
	:: else -> tries++
	fi;
	atomic { seen = version; free = FREE; granted = MINE(me) };
	if
	:: granted -> goto use
	:: !granted && !free -> goto held
	:: else
	fi;
	/* The keeper may be paused here for any time. */
	if
#ifdef BLIND_PUT
	:: atomic { holder = me + 1; unused = false; BUMP }; goto use
#else
	:: atomic { version == seen -> holder = me + 1; unused = false; BUMP }; goto use    /* written, reply received */
#endif
	:: atomic { version == seen -> holder = me + 1; unused = false; BUMP }; goto lost   /* written, reply lost */
	:: atomic { late[me] = true; lateIf[me] = seen }; goto lost                      /* takes effect late, or never */
	:: goto lost                                                                     /* never arrived */
	:: atomic { version != seen -> skip }; goto read                                 /* conflict */
	:: goto unsure                                                                   /* platform down */
	fi;
lost:
#ifdef TRUST_LOST
	goto use;
#endif
	/* Read back: ours, another's, or still as before. */
	if
	:: atomic { MINE(me) -> skip }; goto use
	:: atomic { version != seen && !MINE(me) -> skip }; goto read
	:: atomic { version == seen -> skip }; goto unsure
	fi;
use:
	if
	:: atomic { ran++; assert(ran <= 1) }; goto done                                 /* dispatched */
	:: skip                                                                          /* no free slot, or the deadline came */
	fi;
	/* The claim was not used. Only a first sending may void it. */
#ifndef VOID_ALWAYS
	if
	:: first -> goto giveback
	:: else -> atomic { say_not_run(me) }; goto done
	fi;
#endif
giveback:
	atomic { say_not_run(me) };
	atomic { if :: MINE(me) -> unused = true; BUMP :: else fi };
	goto done;
unsure:
#ifdef LOOSE_NOT_RUN
	atomic { say_not_run(me) };
#else
	if
	:: first -> atomic { say_not_run(me) }
	:: else -> skip                                                                  /* says unknown */
	fi;
#endif
	goto done;
held:
	skip;                                                                            /* says unknown */
done:
	decided = true
}

/* After not_run from the attempt that the caller listens to, the request never
 * runs by an earlier sending. */
#define LIED (said[1] && ran > 0)

init { run attempt(0); started[0] -> run attempt(1) }

ltl safe { [] (ran <= 1 && !LIED) }
ltl live { <> decided }
