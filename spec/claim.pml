/* At-most-once execution: two attempts with the same request ID, through keepers
 * that write a claim with a conditional put. The reply of a put may be lost, and
 * its effect delayed. Attempt 0 is the first time the caller sends the ID. Attempt 1
 * repeats it at any time after attempt 0 has started, as after a timeout; the caller
 * then ignores the answer to attempt 0.
 *
 * Broken variants, each of which the checker must reject:
 *   BLIND_PUT     the write of the claim is not conditional
 *   TRUST_LOST    a lost reply counts as success, without reading the claim again
 *   LOOSE_NOT_RUN a repeated attempt without a claim also answers not_run
 *   VOID_ALWAYS   a repeated attempt also voids a claim that it did not use
 */
#define NONE 0
byte holder = NONE;             /* 1 + the attempt that holds the claim, or NONE */
bool unused = false;            /* the claim has been voided */
byte version = 0;
byte ran = 0;                   /* how often the request was dispatched */
bool started[2];
bool late[2];                   /* the attempt has a delayed put */
byte lateIf[2];                 /* the version that the delayed put requires */
bool answeredNotRun[2];         /* the attempt answered not_run */
bool anyEnded = false;          /* an attempt has ended */

#define FREE (holder == NONE || unused)
#define HELD_BY(i) (holder == i + 1 && !unused)
#define BUMP version = (version < 12 -> version + 1 : version)

inline answer_not_run(i) {
	answeredNotRun[i] = true;
	/* Only the answer that the caller waits for counts. */
	assert(!(ran > 0 && (i == 1 || !started[1])))
}

active proctype delayedPuts() {
	byte i;
	do
	:: atomic { late[0] -> i = 0; late[0] = false; if :: version == lateIf[0] -> holder = 1; unused = false; BUMP :: else fi }
	:: atomic { late[1] -> i = 1; late[1] = false; if :: version == lateIf[1] -> holder = 2; unused = false; BUMP :: else fi }
	od
}

proctype attempt(byte me) {
	byte seen, reads = 0;
	bool free, first = (me == 0);
	bool granted = false;
	started[me] = true;
read:
	if
	:: reads == 3 -> goto unknown
	:: else -> reads++
	fi;
	atomic { seen = version; free = FREE; granted = HELD_BY(me) };
	if
	:: granted -> goto use
	:: !granted && !free -> goto held
	:: else
	fi;
	/* The keeper may be paused here for any length of time. */
	if
#ifdef BLIND_PUT
	:: atomic { holder = me + 1; unused = false; BUMP }; goto use
#else
	:: atomic { version == seen -> holder = me + 1; unused = false; BUMP }; goto use    /* written, reply received */
#endif
	:: atomic { version == seen -> holder = me + 1; unused = false; BUMP }; goto lost   /* written, reply lost */
	:: atomic { late[me] = true; lateIf[me] = seen }; goto lost                      /* delayed effect, or none */
	:: goto lost                                                                     /* request lost */
	:: atomic { version != seen -> skip }; goto read                                 /* conflict */
	:: goto unknown                                                                  /* platform unavailable */
	fi;
lost:
#ifdef TRUST_LOST
	goto use;
#endif
	/* Read again: claimed by this attempt, by the other, or unchanged. */
	if
	:: atomic { HELD_BY(me) -> skip }; goto use
	:: atomic { version != seen && !HELD_BY(me) -> skip }; goto read
	:: atomic { version == seen -> skip }; goto unknown
	fi;
use:
	if
	:: atomic { ran++; assert(ran <= 1) }; goto done                                 /* dispatched */
	:: skip                                                                          /* no free slot, or the deadline passed */
	fi;
	/* The claim was not used. Only the first attempt may void it. */
#ifndef VOID_ALWAYS
	if
	:: first -> goto void_claim
	:: else -> atomic { answer_not_run(me) }; goto done
	fi;
#endif
void_claim:
	atomic { answer_not_run(me) };
	atomic { if :: HELD_BY(me) -> unused = true; BUMP :: else fi };
	goto done;
unknown:
#ifdef LOOSE_NOT_RUN
	atomic { answer_not_run(me) };
#else
	if
	:: first -> atomic { answer_not_run(me) }
	:: else -> skip                                                                  /* answers unknown */
	fi;
#endif
	goto done;
held:
	skip;                                                                            /* answers unknown */
done:
	anyEnded = true
}

/* A not_run answer that the caller waits for is false if the request was dispatched
 * by an earlier attempt. */
#define FALSE_NOT_RUN (answeredNotRun[1] && ran > 0)

init { run attempt(0); started[0] -> run attempt(1) }

ltl safe { [] (ran <= 1 && !FALSE_NOT_RUN) }
ltl live { <> anyEnded }
