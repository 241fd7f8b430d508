/* Ownership of one server: leases counted from heartbeats that a majority of
 * the members returned, a placement that moves the server from node 0 to node 1,
 * an explicit release, and requests that may outlive a pause of their sender.
 *
 * Time is discrete. A heartbeat is returned in the instant in which it was sent,
 * which is the worst case for safety: a later return only shortens the lease.
 * Node 0 may be paused at any point, since nothing forces it to take a step.
 *
 * Broken variants, each of which the checker must reject:
 *   NO_SETTLE      node 1 does not wait for the old lease
 *   STALE_RETURN   a member that knows the new placement still returns heartbeats
 *   NO_CAP         a request may outlive the lease under which it was sent
 *   EARLY_RELEASE  node 0 gives the server up while its request runs
 *   NO_MAJORITY    node 1 counts any one member that knows the new placement
 */
#define N 3
#define LEASE 2
#ifdef NO_SETTLE
#define SETTLE 0
#else
#define SETTLE 3                /* longer than LEASE, for clocks that differ */
#endif

byte known[N];                  /* placement version that each member knows */
byte age[N];                    /* ticks since node 0 sent the heartbeat that a member returned last */
bool written = false;           /* the platform holds version 2 */
byte settled = 0;               /* 0, or 1 + ticks since node 1 saw a majority know version 2 */
bool freed = false;             /* node 0 has said that it gave the server up */
bool run0 = false;
bool run1 = false;
bool served1 = false;
byte left0 = 0;                 /* ticks until node 0's request ends for certain */

#define LIVE(i) (age[i] < LEASE)
#define HELD0 (known[0] == 1 && (LIVE(1) || LIVE(2)))
#define KNOW(i) (known[i] == 2)
#ifdef NO_MAJORITY
#define MAJORITY (KNOW(0) || KNOW(1) || KNOW(2))
#else
#define MAJORITY ((KNOW(0) && KNOW(1)) || (KNOW(0) && KNOW(2)) || (KNOW(1) && KNOW(2)))
#endif
#ifdef STALE_RETURN
#define MAY_RETURN(i) true
#else
#define MAY_RETURN(i) (known[i] == 1)
#endif
#define YOUNGER (age[1] < age[2] -> age[1] : age[2])

active proctype clock() {
	do
	:: atomic {
		age[1] = (age[1] < LEASE -> age[1] + 1 : LEASE);
		age[2] = (age[2] < LEASE -> age[2] + 1 : LEASE);
		if
		:: left0 > 1 -> left0--
		:: left0 == 1 -> left0 = 0; run0 = false
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
	:: atomic { known[0] == 1 && MAY_RETURN(me) -> age[me] = 0 }
	:: atomic { written && known[me] == 1 -> known[me] = 2 }
	od
}

active proctype node0() {
	do
	:: atomic { HELD0 && !run0 -> run0 = true;
#ifdef NO_CAP
		left0 = LEASE + SETTLE + 2
#else
		left0 = LEASE - YOUNGER
#endif
	   }
	:: atomic { run0 -> run0 = false; left0 = 0 }
	:: atomic { written && known[0] == 1 -> known[0] = 2 }
#ifdef EARLY_RELEASE
	:: atomic { known[0] == 2 && !freed -> freed = true }
#else
	:: atomic { known[0] == 2 && !run0 && !freed -> freed = true }
#endif
	od
}

active proctype observer() { atomic { KNOW(1) && MAJORITY -> settled = 1 } }

active proctype node1() {
	do
	:: atomic { KNOW(1) && (freed || settled > SETTLE) && !run1 -> run1 = true; served1 = true; assert(!run0) }
	:: atomic { run1 -> run1 = false }
	od
}

init {
	known[0] = 1; known[1] = 1; known[2] = 1;
	age[1] = LEASE; age[2] = LEASE
}

ltl safe { [] !(run0 && run1) }
