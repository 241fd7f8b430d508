/* Distribution of one registry topic among the nodes on the operators' platform. Any node
 * may read the registry's store; hubs do so continuously, other nodes occasionally. A
 * node that reads changes pushes them to the others. Heartbeats carry the revision up
 * to which a node knows the topic, the revision since which nothing changed up to
 * there, and when the store confirmed it. Messages may be lost, duplicated and
 * reordered. A restarted node is one that has received nothing yet: what its earlier
 * run sent stays true, and no node records what another node knows.
 *
 * Each change of the topic is a bit. Two properties are asserted after each step: a
 * node that claims to know the topic up to a revision has every change up to there;
 * and it has reached at least the revision that the store had at its last confirmation,
 * so a node with a recent confirmation uses nothing older.
 *
 * Broken variants, each of which the checker must reject:
 *   NO_PREVIOUS     a push is applied although an earlier change was missed
 *   NO_CHANGED      a heartbeat confirms a revision whose changes the receiver lacks
 *   PUSH_UNCHANGED  a node does not report a change that it received by a push
 *   OLD_RESPONSE    a response of the store overwrites what a push delivered meanwhile
 */
#define NODES 3
#define CHANGES 2               /* the minimum at which an earlier change can be missed and a later one known */
#define SLOTS 2                 /* messages in transit */
#define ALL(r) ((1 << (r)) - 1) /* the changes up to a revision */

byte store = 0;                 /* the store's revision, raised by one with each change */
byte rev[NODES];                /* the revision up to which a node knows the topic */
byte has[NODES];                /* the set of changes that it has */
byte changed[NODES];            /* the revision since which nothing changed up to rev */
byte confirmed[NODES];          /* the store's revision at its last confirmation to the node */
byte pending[NODES];            /* the revision from which a pending call continues, plus 1; 0 for none */
byte response[NODES];           /* the store's revision in the response, plus 1; 0 before there is one */

/* Messages: kind 0 none, 1 a push of the changes in (from, to], 2 a heartbeat. */
byte kind[SLOTS];
byte from[SLOTS];               /* of a push: the revision from which it continues; of a heartbeat: changed */
byte to[SLOTS];                 /* the revision */
byte body[SLOTS];               /* of a push: the changes; of a heartbeat: confirmed */

inline check(i) {
	assert((has[i] & ALL(rev[i])) == ALL(rev[i]));
	assert(rev[i] >= confirmed[i])
}

inline send_push(i, prev) {
	if
	:: kind[0] == 0 -> kind[0] = 1; from[0] = prev; to[0] = rev[i]; body[0] = ALL(rev[i]) & ~ALL(prev)
	:: kind[1] == 0 -> kind[1] = 1; from[1] = prev; to[1] = rev[i]; body[1] = ALL(rev[i]) & ~ALL(prev)
	:: true                 /* lost */
	fi
}

inline send_heartbeat(i) {
	if
	:: kind[0] == 0 -> kind[0] = 2; from[0] = changed[i]; to[0] = rev[i]; body[0] = confirmed[i]
	:: kind[1] == 0 -> kind[1] = 2; from[1] = changed[i]; to[1] = rev[i]; body[1] = confirmed[i]
	fi
}

inline apply_push(i, m) {
#ifdef NO_PREVIOUS
	if
	:: to[m] > rev[i] ->
#else
	if
	:: to[m] > rev[i] && from[m] <= rev[i] ->
#endif
		has[i] = has[i] | body[m];
		rev[i] = to[m];
#ifndef PUSH_UNCHANGED
		changed[i] = to[m];
#endif
	:: else
	fi
}

inline apply_heartbeat(i, m) {
#ifdef NO_CHANGED
	if
	:: true ->
#else
	if
	:: rev[i] >= from[m] ->
#endif
		rev[i] = (to[m] > rev[i] -> to[m] : rev[i]);
		confirmed[i] = (body[m] > confirmed[i] -> body[m] : confirmed[i])
	:: else                 /* the node reads the store */
	fi
}

/* Applies the store's response to a call that continues from pending - 1. */
inline apply_response(i) {
#ifdef OLD_RESPONSE
	if
	:: true ->
		has[i] = ALL(response[i] - 1); rev[i] = response[i] - 1;
#else
	if
	:: response[i] - 1 >= rev[i] ->
		has[i] = has[i] | (ALL(response[i] - 1) & ~ALL(pending[i] - 1)); rev[i] = response[i] - 1;
#endif
		if
		:: (ALL(rev[i]) & ~ALL(pending[i] - 1)) != 0 -> changed[i] = rev[i]; send_push(i, pending[i] - 1)
		:: else
		fi
	:: else
	fi;
	if
	:: response[i] - 1 > confirmed[i] -> confirmed[i] = response[i] - 1
	:: else
	fi;
	pending[i] = 0; response[i] = 0
}

active proctype operators() {
	do
	:: atomic { store < CHANGES -> store++ }
	:: store == CHANGES -> break
	od
}

active [NODES] proctype node() {
	byte i = _pid - 1;
	do                      /* a failed call is one whose response is never applied */
	:: atomic { pending[i] == 0 -> pending[i] = rev[i] + 1 }
	:: atomic { pending[i] > 0 && response[i] == 0 -> response[i] = store + 1 }
	:: atomic { response[i] > 0 -> apply_response(i); check(i) }
	:: atomic { kind[0] == 0 || kind[1] == 0 -> send_heartbeat(i) }
	:: atomic { kind[0] == 1 -> apply_push(i, 0); check(i) }
	:: atomic { kind[1] == 1 -> apply_push(i, 1); check(i) }
	:: atomic { kind[0] == 2 -> apply_heartbeat(i, 0); check(i) }
	:: atomic { kind[1] == 2 -> apply_heartbeat(i, 1); check(i) }
	od
}

/* Drops messages: they are lost, or are not delivered again. */
active proctype network() {
	do
	:: atomic { kind[0] != 0 -> kind[0] = 0; from[0] = 0; to[0] = 0; body[0] = 0 }
	:: atomic { kind[1] != 0 -> kind[1] = 0; from[1] = 0; to[1] = 0; body[1] = 0 }
	od
}
