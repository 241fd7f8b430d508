/* A configuration that takes a zone out, its spread, nodes that are cut off or
 * start anew, and a change of the members meanwhile. Nodes 0, 1 and 2 are the
 * members of placement 1. Node 1 may be started anew: its new run has forgotten
 * everything, and is a member of placement 2 only. Node 0 accepts the change.
 *
 * A node may send into the zone while it knows only revision 1 and holds a
 * lease. A lease comes from heartbeats returned by members that know nothing
 * newer; until the placement in use is settled for the node, it must come from a
 * majority of the members before as well.
 *
 * Broken variants, each of which the checker must reject:
 *   NO_SETTLE     the change counts as in force at once when a majority knows it
 *   STALE_RETURN  heartbeats count though their sender knows a newer revision
 *   OLD_RUN       the new run of node 1 counts for its old run
 *   NO_JOINT      the new members alone make a lease before they are settled
 *   LOOSE_SETTLE  a placement settles by members that know a newer revision
 */
#define LEASE 2
#ifdef NO_SETTLE
#define SETTLE 0
#else
#define SETTLE 3
#endif

byte rev[3] = 1;                /* configuration revision known */
byte plc[3] = 1;                /* placement version known */
bool anew = false;              /* node 1 was started anew */
bool settledBy[3];              /* placement 2 is settled, as this node saw it */
byte age0[3] = LEASE;           /* for node 2 as the sender: age of what each node returned */
byte age1[3] = LEASE;           /* the same for node 1 */
bool accepted = false;          /* the platform holds revision 2 */
bool placed = false;            /* the platform holds placement 2 */
byte known = 0;                 /* 0, or 1 + ticks since node 0 saw a majority know revision 2 */
bool inforce = false;
byte sinceSettled = 0;          /* 0, or 1 + ticks since node 0 saw placement 2 settled */

/* Who counts as a member of which placement: run 1 of node 1 is a member of
 * placement 1, run 2 of placement 2. */
#ifdef OLD_RUN
#define IN1(i) true
#else
#define IN1(i) (i != 1 || !anew)
#endif
#define CNT(a, i) (a[i] < LEASE -> 1 : 0)
#define OLD(a, me) ((me == 0 -> 1 : CNT(a, 0)) + (IN1(1) -> (me == 1 -> 1 : CNT(a, 1)) : 0) + (me == 2 -> 1 : CNT(a, 2)))
#define NEW(a, me) ((me == 0 -> 1 : CNT(a, 0)) + (anew -> (me == 1 -> 1 : CNT(a, 1)) : 0) + (me == 2 -> 1 : CNT(a, 2)))
#ifdef NO_JOINT
#define HELD(a, me) (plc[me] == 1 -> OLD(a, me) >= 2 : NEW(a, me) >= 2)
#else
#define HELD(a, me) (plc[me] == 1 -> OLD(a, me) >= 2 : (NEW(a, me) >= 2 && (settledBy[me] || OLD(a, me) >= 2)))
#endif
#ifdef STALE_RETURN
#define MAY_RETURN(w, me) (plc[w] <= plc[me])
#else
#define MAY_RETURN(w, me) (rev[w] <= rev[me] && plc[w] <= plc[me])
#endif
#ifdef LOOSE_SETTLE
#define SEES(me, w) (plc[w] == 2)
#else
#define SEES(me, w) (plc[w] == 2 && rev[w] <= rev[me])
#endif
/* Members of placement 1 whose run has not ended: 0 and 2, and 1 until anew. */
#define OLD_KNOW(me) ((SEES(me, 0) -> 1 : 0) + ((!anew && SEES(me, 1)) -> 1 : 0) + (SEES(me, 2) -> 1 : 0))
#ifdef OLD_RUN
#define OLD_SETTLED(me) ((SEES(me, 0) -> 1 : 0) + (SEES(me, 1) -> 1 : 0) + (SEES(me, 2) -> 1 : 0) >= 2)
#else
#define OLD_SETTLED(me) (OLD_KNOW(me) >= 2)
#endif
#define UP(x, m) (x > 0 && x <= m -> x + 1 : x)

active proctype clock() {
	do
	:: atomic {
		age0[0] = (age0[0] < LEASE -> age0[0] + 1 : LEASE);
		age0[1] = (age0[1] < LEASE -> age0[1] + 1 : LEASE);
		age1[0] = (age1[0] < LEASE -> age1[0] + 1 : LEASE);
		age1[2] = (age1[2] < LEASE -> age1[2] + 1 : LEASE);
		known = UP(known, SETTLE);
		sinceSettled = UP(sinceSettled, SETTLE)
	   }
	od
}

/* Heartbeats of node 2 and node 1 that others return. */
active proctype returns() {
	do
	:: atomic { MAY_RETURN(0, 2) -> age0[0] = 0 }
	:: atomic { MAY_RETURN(1, 2) -> age0[1] = 0 }
	:: atomic { MAY_RETURN(0, 1) -> age1[0] = 0 }
	:: atomic { MAY_RETURN(2, 1) -> age1[2] = 0 }
	od
}

/* What nodes learn, from any node that knows it or from the platform. */
active [3] proctype learn() {
	byte i = _pid - 2;
	do
	:: atomic { accepted && rev[i] == 1 -> rev[i] = 2 }
	:: atomic { placed && plc[i] == 1 -> plc[i] = 2 }
	:: atomic { plc[i] == 2 && !settledBy[i] && OLD_SETTLED(i) -> settledBy[i] = true }
	od
}

active proctype node0() {
	atomic { accepted = true; rev[0] = 2 };
	do
	:: atomic { known == 0 && plc[0] == 1 && (rev[1] == 2 && !anew || rev[2] == 2) -> known = 1 }
	:: atomic { known == 0 && plc[0] == 2 && (rev[1] == 2 && anew || rev[2] == 2) -> known = 1 }
	:: atomic { sinceSettled == 0 && settledBy[0] -> sinceSettled = 1 }
	:: atomic { known > SETTLE && (plc[0] == 1 && !placed || sinceSettled > SETTLE) -> inforce = true }
	:: atomic { rev[0] == 2 && rev[1] == 2 && rev[2] == 2 -> inforce = true }
	od
}

/* Node 1 starts anew, knows the first revision again, and joins placement 2. */
active proctype restart() {
	atomic { anew = true; rev[1] = 1; plc[1] = 1; settledBy[1] = false; age1[0] = LEASE; age1[2] = LEASE; age0[1] = LEASE };
	placed = true
}

#define SENDS2 (rev[2] == 1 && HELD(age0, 2))
#define SENDS1 (anew && rev[1] == 1 && HELD(age1, 1))

/* No node sends into the zone once the change is in force. */
active proctype watch() { atomic { inforce && (SENDS2 || SENDS1) -> assert(false) } }
