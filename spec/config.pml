/* Propagation of configuration revision 2, which takes a zone out, with network
 * partitions, a restart, and a concurrent membership change. Nodes 0, 1 and 2 are the
 * members of placement 1. Node 1 may restart: its new run has lost all state and is a
 * member of placement 2 only. Node 0 accepts the change.
 *
 * A node may send requests into the zone while it knows only revision 1 and holds a
 * lease. A lease requires heartbeats echoed by a majority of the members, which must
 * know no newer configuration or placement. Until the placement in use has settled at
 * the node, it also requires a majority of the previous members.
 *
 * Broken variants, each of which the checker must reject:
 *   NO_SETTLE     the change counts as in force as soon as a majority knows it
 *   STALE_ECHO    an echo counts although the node that sent it knows a newer revision
 *   OLD_RUN       the new run of node 1 counts as its old run
 *   NO_JOINT      before the placement has settled, the new members alone grant a lease
 *   LOOSE_SETTLE  members that know a newer revision count towards settling
 */
#define LEASE 2
#ifdef NO_SETTLE
#define SETTLE 0
#else
#define SETTLE 3
#endif

byte rev[3] = 1;                /* the configuration revision that each node knows */
byte placement[3] = 1;          /* the placement version that each node knows */
bool restarted = false;         /* node 1 has restarted */
bool settled[3];                /* placement 2 has settled at this node */
byte age0[3] = LEASE;           /* age of the latest heartbeat of node 2 that each node echoed */
byte age1[3] = LEASE;           /* the same for heartbeats of node 1 */
bool accepted = false;          /* revision 2 is stored on the platform */
bool placed = false;            /* placement 2 is stored on the platform */
byte known = 0;                 /* 0, or 1 + ticks since node 0 observed that a majority knows revision 2 */
bool inforce = false;
byte sinceSettled = 0;          /* 0, or 1 + ticks since placement 2 settled at node 0 */

/* Membership: the first run of node 1 is a member of placement 1, its second run of
 * placement 2. */
#ifdef OLD_RUN
#define IN1(i) true
#else
#define IN1(i) (i != 1 || !restarted)
#endif
#define COUNT(a, i) (a[i] < LEASE -> 1 : 0)
#define OLD(a, me) ((me == 0 -> 1 : COUNT(a, 0)) + (IN1(1) -> (me == 1 -> 1 : COUNT(a, 1)) : 0) + (me == 2 -> 1 : COUNT(a, 2)))
#define NEW(a, me) ((me == 0 -> 1 : COUNT(a, 0)) + (restarted -> (me == 1 -> 1 : COUNT(a, 1)) : 0) + (me == 2 -> 1 : COUNT(a, 2)))
#ifdef NO_JOINT
#define HELD(a, me) (placement[me] == 1 -> OLD(a, me) >= 2 : NEW(a, me) >= 2)
#else
#define HELD(a, me) (placement[me] == 1 -> OLD(a, me) >= 2 : (NEW(a, me) >= 2 && (settled[me] || OLD(a, me) >= 2)))
#endif
#ifdef STALE_ECHO
#define MAY_ECHO(w, me) (placement[w] <= placement[me])
#else
#define MAY_ECHO(w, me) (rev[w] <= rev[me] && placement[w] <= placement[me])
#endif
#ifdef LOOSE_SETTLE
#define COUNTS_TO_SETTLE(me, w) (placement[w] == 2)
#else
#define COUNTS_TO_SETTLE(me, w) (placement[w] == 2 && rev[w] <= rev[me])
#endif
/* Members of placement 1 whose run has not ended: 0 and 2, and 1 until its restart. */
#define OLD_KNOW(me) ((COUNTS_TO_SETTLE(me, 0) -> 1 : 0) + ((!restarted && COUNTS_TO_SETTLE(me, 1)) -> 1 : 0) + (COUNTS_TO_SETTLE(me, 2) -> 1 : 0))
#ifdef OLD_RUN
#define OLD_SETTLED(me) ((COUNTS_TO_SETTLE(me, 0) -> 1 : 0) + (COUNTS_TO_SETTLE(me, 1) -> 1 : 0) + (COUNTS_TO_SETTLE(me, 2) -> 1 : 0) >= 2)
#else
#define OLD_SETTLED(me) (OLD_KNOW(me) >= 2)
#endif
#define TICK(x, m) (x > 0 && x <= m -> x + 1 : x)

active proctype clock() {
	do
	:: atomic {
		age0[0] = (age0[0] < LEASE -> age0[0] + 1 : LEASE);
		age0[1] = (age0[1] < LEASE -> age0[1] + 1 : LEASE);
		age1[0] = (age1[0] < LEASE -> age1[0] + 1 : LEASE);
		age1[2] = (age1[2] < LEASE -> age1[2] + 1 : LEASE);
		known = TICK(known, SETTLE);
		sinceSettled = TICK(sinceSettled, SETTLE)
	   }
	od
}

/* Other nodes echo the heartbeats of nodes 1 and 2. */
active proctype echoes() {
	do
	:: atomic { MAY_ECHO(0, 2) -> age0[0] = 0 }
	:: atomic { MAY_ECHO(1, 2) -> age0[1] = 0 }
	:: atomic { MAY_ECHO(0, 1) -> age1[0] = 0 }
	:: atomic { MAY_ECHO(2, 1) -> age1[2] = 0 }
	od
}

/* Nodes learn revisions and placements from other nodes or from the platform. */
active [3] proctype adopt() {
	byte i = _pid - 2;
	do
	:: atomic { accepted && rev[i] == 1 -> rev[i] = 2 }
	:: atomic { placed && placement[i] == 1 -> placement[i] = 2 }
	:: atomic { placement[i] == 2 && !settled[i] && OLD_SETTLED(i) -> settled[i] = true }
	od
}

active proctype node0() {
	atomic { accepted = true; rev[0] = 2 };
	do
	:: atomic { known == 0 && placement[0] == 1 && (rev[1] == 2 && !restarted || rev[2] == 2) -> known = 1 }
	:: atomic { known == 0 && placement[0] == 2 && (rev[1] == 2 && restarted || rev[2] == 2) -> known = 1 }
	:: atomic { sinceSettled == 0 && settled[0] -> sinceSettled = 1 }
	:: atomic { known > SETTLE && (placement[0] == 1 && !placed || sinceSettled > SETTLE) -> inforce = true }
	:: atomic { rev[0] == 2 && rev[1] == 2 && rev[2] == 2 -> inforce = true }
	od
}

/* Node 1 restarts with revision 1 and joins placement 2. */
active proctype restart() {
	atomic { restarted = true; rev[1] = 1; placement[1] = 1; settled[1] = false; age1[0] = LEASE; age1[2] = LEASE; age0[1] = LEASE };
	placed = true
}

#define SENDS2 (rev[2] == 1 && HELD(age0, 2))
#define SENDS1 (restarted && rev[1] == 1 && HELD(age1, 1))

/* No node may send into the zone once the change is in force. */
active proctype checkSafety() { atomic { inforce && (SENDS2 || SENDS1) -> assert(false) } }
