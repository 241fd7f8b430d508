/* Ownership of one server: leases based on heartbeats that a majority of the members
 * echoed, a placement that reassigns the server from node 0 to node 1, an explicit
 * release, and requests that may outlast a pause of their sender.
 *
 * Time is discrete. A heartbeat is echoed in the instant in which it was sent, the
 * worst case for safety: a later echo only shortens the lease. Node 0 may be paused at
 * any point, since nothing forces it to take a step.
 *
 * Broken variants, each of which the checker must reject:
 *   NO_SETTLE      node 1 does not wait for the old lease to expire
 *   STALE_ECHO     a member that knows the new placement still echoes heartbeats
 *   NO_CAP         a request may outlast the lease under which it was sent
 *   EARLY_RELEASE  node 0 releases the server while its request is running
 *   NO_MAJORITY    a single member that knows the new placement is enough for node 1
 */
#define N 3
#define LEASE 2
#ifdef NO_SETTLE
#define SETTLE 0
#else
#define SETTLE 3                /* longer than LEASE, to allow for clock drift */
#endif

byte known[N];                  /* the placement version that each member knows */
byte age[N];                    /* ticks since node 0 sent the heartbeat that each member echoed last */
bool written = false;           /* version 2 is stored on the platform */
byte settled = 0;               /* 0, or 1 + ticks since node 1 observed that a majority knows version 2 */
bool released = false;          /* node 0 has reported the server as released */
bool run0 = false;              /* a request of node 0 is running at the server */
bool run1 = false;              /* the same for node 1 */
bool served1 = false;           /* node 1 has sent a request */
byte remaining0 = 0;            /* ticks until the request of node 0 has ended for certain */

#define LIVE(i) (age[i] < LEASE)
#define HELD0 (known[0] == 1 && (LIVE(1) || LIVE(2)))
#define KNOW(i) (known[i] == 2)
#ifdef NO_MAJORITY
#define MAJORITY (KNOW(0) || KNOW(1) || KNOW(2))
#else
#define MAJORITY ((KNOW(0) && KNOW(1)) || (KNOW(0) && KNOW(2)) || (KNOW(1) && KNOW(2)))
#endif
#ifdef STALE_ECHO
#define MAY_ECHO(i) true
#else
#define MAY_ECHO(i) (known[i] == 1)
#endif
#define YOUNGER (age[1] < age[2] -> age[1] : age[2])

active proctype clock() {
	do
	:: atomic {
		age[1] = (age[1] < LEASE -> age[1] + 1 : LEASE);
		age[2] = (age[2] < LEASE -> age[2] + 1 : LEASE);
		if
		:: remaining0 > 1 -> remaining0--
		:: remaining0 == 1 -> remaining0 = 0; run0 = false
		:: else
		fi;
		if
		:: settled > 0 && settled <= SETTLE -> settled++
		:: else
		fi
	   }
	od
}

active proctype platform() { written = true }

active [2] proctype member() {
	byte me = _pid - 2 + 1;
	do
	:: atomic { known[0] == 1 && MAY_ECHO(me) -> age[me] = 0 }
	:: atomic { written && known[me] == 1 -> known[me] = 2 }
	od
}

active proctype node0() {
	do
	:: atomic { HELD0 && !run0 -> run0 = true;
#ifdef NO_CAP
		remaining0 = LEASE + SETTLE + 2
#else
		remaining0 = LEASE - YOUNGER
#endif
	   }
	:: atomic { run0 -> run0 = false; remaining0 = 0 }
	:: atomic { written && known[0] == 1 -> known[0] = 2 }
#ifdef EARLY_RELEASE
	:: atomic { known[0] == 2 && !released -> released = true }
#else
	:: atomic { known[0] == 2 && !run0 && !released -> released = true }
#endif
	od
}

active proctype observer() { atomic { KNOW(1) && MAJORITY -> settled = 1 } }

active proctype node1() {
	do
	:: atomic { KNOW(1) && (released || settled > SETTLE) && !run1 -> run1 = true; served1 = true; assert(!run0) }
	:: atomic { run1 -> run1 = false }
	od
}

init {
	known[0] = 1; known[1] = 1; known[2] = 1;
	age[1] = LEASE; age[2] = LEASE
}

ltl safe { [] !(run0 && run1) }
