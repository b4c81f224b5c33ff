/*
 * A limit over all nodes: one owner's bucket and the nodes that spend from it (src/admission/).
 *
 * Models: an owner with a bucket of tokens that is refilled as time goes on; two nodes that ask it for
 * what a request needs, ask again with the same number while no answer came, and go on with a share of
 * their own once they gave the owner up; an owner that leaves that share to nodes that it does not
 * hear. Messages may be lost, doubled and late, answers too. A node that is cut off stays so.
 *
 * Leaves out: how shares are measured (here an equal part), stocks, several rows (they share nothing),
 * and a change of the owner (a new one gives out no burst, which is less than is modelled here).
 *
 * Checked: what both nodes spend is never more than the burst, what was refilled, and one request
 * beyond that; and no token that the owner gave out is counted twice by a node.
 */
#define NODES 2
#define BURST 2
#define NEED 2          /* What a request needs: more than a node's share of one step. */
#define END 4

byte now;
short bucket = BURST;
byte spent[NODES];      /* Of the owner's tokens. */
byte alone[NODES];      /* On the node's own share. */
bool cutOff[NODES];

/* The newest question of each node; a doubled one is one that stays here after it was answered. */
bool asked[NODES];
byte number[NODES];
byte answered[NODES];   /* Number of the last question that the owner has answered. */
byte granted[NODES];    /* What it gave for that. */
bool underWay[NODES];
byte answerNumber[NODES];
byte answerTokens[NODES];
bool awaits[NODES];

/* Two nodes refill the bucket by two in a step; one of them is left its half where it is silent. */
inline refill() {
  if
#ifndef WITHOUT_SHARE_OF_SILENT
  :: cutOff[0] || cutOff[1] -> bucket = bucket + 1
  :: else -> bucket = bucket + 2
#else
  :: true -> bucket = bucket + 2
#endif
  fi;
  if
  :: bucket > BURST -> bucket = BURST
  :: else
  fi
}

active proctype Time() {
  do
  :: now < END -> atomic { now++; refill() }
  :: now == END -> break
  od
}

/* One of the nodes may be cut off, at once and for good. */
active proctype Network() {
  if
  :: atomic { !cutOff[0] -> cutOff[0] = true; underWay[0] = false; asked[0] = false }
  :: skip
  fi
}

inline answer(n) {
  atomic {
    asked[n] && !cutOff[n] && !underWay[n] ->
    if
    :: asked[n] = false
    :: skip              /* The question was doubled. */
    fi;
    if
#ifndef WITHOUT_NUMBER
    :: answered[n] == number[n] -> skip   /* Asked again: the same answer. */
    :: answered[n] != number[n] ->
#else
    :: true ->
#endif
       answered[n] = number[n];
       if
#ifndef WITHOUT_WHOLE_GRANTS
       :: bucket > 0 -> granted[n] = NEED; bucket = bucket - NEED
       :: bucket <= 0 -> granted[n] = 0
#else
       :: true -> granted[n] = NEED; bucket = bucket - NEED
#endif
       fi
    fi;
    underWay[n] = true;
    answerNumber[n] = number[n];
    answerTokens[n] = granted[n]
  }
}

active proctype Owner() {
  do
  :: now == END -> break
  :: answer(0)
  :: answer(1)
  od
}

proctype Node(byte n) {
  byte lastTaken = 0;
  do
  :: now == END -> break
  :: atomic { !awaits[n] && !cutOff[n] && number[n] < 3 ->
       number[n]++; asked[n] = true; awaits[n] = true }
  :: atomic { awaits[n] && !asked[n] && !underWay[n] && !cutOff[n] -> asked[n] = true }
  :: atomic { underWay[n] -> underWay[n] = false }      /* The answer is lost. */
  :: atomic { underWay[n] ->
       if
       :: underWay[n] = false
       :: skip                                           /* The answer is doubled. */
       fi;
       if
#ifndef WITHOUT_NUMBER
       :: awaits[n] && answerNumber[n] == number[n] ->
#else
       :: true ->
#endif
          awaits[n] = false;
          spent[n] = spent[n] + answerTokens[n]
       :: else -> skip
       fi }
  /* Cut off: one token of its own in each step of time since. */
  :: atomic { cutOff[n] && now > lastTaken -> lastTaken = now; alone[n]++ }
  od
}

init {
  run Node(0);
  run Node(1)
}

#define SPENT (spent[0] + spent[1] + alone[0] + alone[1])

/* The refill is two a step; one request beyond, and one step that the owner did not know of yet. */
active proctype Watcher() {
  do
  :: now == END -> break
  :: atomic { SPENT > BURST + 2 * now + NEED + 1 -> assert(false) }
  od
}
