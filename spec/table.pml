/*
 * Storing, spreading and accepting changes of the table (src/table/).
 *
 * Models: the platform's versioned collection, which applies a change only under the expected
 * version and knows the ids of the changes it applied; OPERATORS operators who race with one change
 * each; NODES nodes, any of which may read the platform, while a node that knows of a newer version
 * asks a peer and gets its answer later. Faults, FAULTS of them in all: a node restarts empty, all
 * nodes do, the platform goes away, a sending or its answer is lost, a sending comes late, a node's
 * answer is lost, a waiting time of the operator runs out.
 *
 * Leaves out: rows and their contents (whether two changes touch the same row is free), the choice
 * of watchers, differences apart from whole tables, and nodes that leave for good: the nodes here
 * are those that the platform's machine list names, also while they restart.
 *
 * Checked: versions never go backwards within a node's life; each change is applied once at most,
 * and only on top of the version that it was checked against; an accepted change is in the table,
 * and every node that serves has it from then on, restarted ones too; a rejected change is not in
 * the table and never will be. In the end every node serves the newest version.
 */
#define NODES 2
#define OPERATORS 2
#define FAULTS 2
#define ALL_NODES 3 /* a bit for each node */
#define NO_SENDING 255

mtype:change = { proposed, unresolved, stored, accepted, not_everywhere, rejected, unknown };

mtype:change changeState[OPERATORS] = proposed;
byte base[OPERATORS];          /* version that the change was checked against */
bool mayBeStored[OPERATORS];   /* some sending had no certain answer */
byte storedAs[OPERATORS];
byte late[OPERATORS] = NO_SENDING; /* expected version of a sending that is still under way */
byte first[OPERATORS];         /* nodes that reported the version in the first round */
byte second[OPERATORS];        /* likewise in the second round */
byte otherLife[OPERATORS];     /* nodes that restarted since they reported in the first round */

/* The platform. */
bool platformUp = true;
byte revision;
byte appliedAs[OPERATORS];     /* version under which the change was applied; 0: not */

/* Nodes. 0 is the empty table of a restarted node; a fresh platform has version 1. */
byte version[NODES];
bool serves[NODES];
byte answer[NODES];            /* version in a peer's answer that is under way; 0: none */
bool formerLife[NODES];        /* the answer is for the node's former life */

byte acceptedVersion;
byte faults = FAULTS;

#define ended(op) (changeState[op] == accepted || changeState[op] == not_everywhere || \
                   changeState[op] == rejected || changeState[op] == unknown)

/* The platform takes a sending: an id that it knows is answered as the first time. */
inline apply(op, expected, wasApplied) {
  if
#ifndef WITHOUT_CHANGE_ID
  :: appliedAs[op] > 0 -> wasApplied = true
#endif
#ifdef WITHOUT_COMPARE_AND_SET
  :: else ->
#else
  :: else -> if :: expected != revision -> wasApplied = false :: else ->
#endif
     assert(appliedAs[op] == 0);
     assert(expected == revision);
     assert(changeState[op] != rejected);
     revision++;
     appliedAs[op] = revision;
     wasApplied = true
#ifndef WITHOUT_COMPARE_AND_SET
     fi
#endif
  fi
}

inline beginAcceptance(op) {
  storedAs[op] = appliedAs[op];
  first[op] = 0;
  second[op] = 0;
  otherLife[op] = 0
}

hidden byte applied[OPERATORS];
hidden byte node;

/* Sends the change; the answer comes, is lost, or the sending itself is late or lost. */
inline send(op) {
  if
  :: platformUp ->
     if
     :: true ->
        apply(op, base[op], applied[op]);
        if
        :: applied[op] -> beginAcceptance(op);
           changeState[op] = stored   /* chart table_change: proposed -store-> stored */
        :: !applied[op] -> base[op] = 0;
           changeState[op] = proposed /* chart table_change: proposed -rebase-> proposed */
        :: !applied[op] ->
           assert(appliedAs[op] == 0);
           changeState[op] = rejected /* chart table_change: proposed -refuse-> rejected */
        fi
     :: faults > 0 -> faults--;
        apply(op, base[op], applied[op]);
        mayBeStored[op] = true;
        changeState[op] = unresolved  /* chart table_change: proposed -answer_lost-> unresolved */
     fi
  :: faults > 0 -> faults--;
     mayBeStored[op] = true;
     if
     :: late[op] = base[op]
     :: skip
     fi;
     changeState[op] = unresolved     /* chart table_change: proposed -answer_lost-> unresolved */
#ifdef WITHOUT_MEMORY_OF_UNKNOWN
  :: !platformUp ->
#else
  :: !platformUp && !mayBeStored[op] ->
#endif
     changeState[op] = rejected       /* chart table_change: proposed -refuse-> rejected */
#ifndef WITHOUT_MEMORY_OF_UNKNOWN
  :: !platformUp && mayBeStored[op] ->
     changeState[op] = unresolved     /* chart table_change: proposed -answer_lost-> unresolved */
#endif
  fi
}

/* The operator's node asks every node twice, the second time after all have reported. A node that
 * restarted in between is told by its incarnation, and the rounds begin anew: else all nodes had the
 * version at one instant, and whoever restarts later finds it at any peer. */
inline report(op, n) {
  if
  :: first[op] != ALL_NODES -> first[op] = first[op] | (1 << n)
#ifndef WITHOUT_SAME_LIFE
  :: first[op] == ALL_NODES && (otherLife[op] & (1 << n)) != 0 ->
     first[op] = first[op] & (ALL_NODES - (1 << n));
     otherLife[op] = otherLife[op] & (ALL_NODES - (1 << n));
     second[op] = 0
  :: first[op] == ALL_NODES && (otherLife[op] & (1 << n)) == 0 ->
     second[op] = second[op] | (1 << n)
#else
  :: first[op] == ALL_NODES -> second[op] = second[op] | (1 << n)
#endif
  fi
}

#ifdef WITHOUT_ASKING_ALL
#define reported(op, n) (!serves[n] || version[n] >= storedAs[op])
#else
#define reported(op, n) (version[n] >= storedAs[op])
#endif
#ifdef WITHOUT_SECOND_ROUND
#define inForce(op) (first[op] == ALL_NODES)
#else
#define inForce(op) (first[op] == ALL_NODES && second[op] == ALL_NODES)
#endif
#define unreported(op, n) \
  ((first[op] & (1 << n)) == 0 || (first[op] == ALL_NODES && (second[op] & (1 << n)) == 0))

inline accept(op) {
  assert(appliedAs[op] == storedAs[op] && storedAs[op] <= revision);
  acceptedVersion = (storedAs[op] > acceptedVersion -> storedAs[op] : acceptedVersion);
  for (node : 0 .. NODES - 1) {
    assert(!serves[node] || version[node] >= acceptedVersion)
  }
  changeState[op] = accepted          /* chart table_change: stored -in_force-> accepted */
}

proctype Operator(byte op) {
  do
  :: atomic { changeState[op] == proposed && base[op] == 0 && serves[op] && version[op] > 0 ->
       base[op] = version[op] }
  :: atomic { changeState[op] == proposed && base[op] > 0 -> send(op) }
  :: atomic { changeState[op] == unresolved && platformUp ->
       if
       :: appliedAs[op] > 0 -> beginAcceptance(op);
          changeState[op] = stored    /* chart table_change: unresolved -found-> stored */
       :: else ->
          changeState[op] = proposed  /* chart table_change: unresolved -resend-> proposed */
       fi }
  :: atomic { changeState[op] == unresolved && faults > 0 -> faults--;
       changeState[op] = unknown      /* chart table_change: unresolved -wait_over-> unknown */ }
  :: atomic { changeState[op] == stored && faults > 0 -> faults--;
       changeState[op] = not_everywhere /* chart table_change: stored -wait_over-> not_everywhere */ }
  :: atomic { changeState[op] == stored && unreported(op, 0) && reported(op, 0) -> report(op, 0) }
  :: atomic { changeState[op] == stored && unreported(op, 1) && reported(op, 1) -> report(op, 1) }
  :: atomic { changeState[op] == stored && inForce(op) -> accept(op) }
  :: atomic { ended(op) ->
       base[op] = 0; first[op] = 0; second[op] = 0; otherLife[op] = 0; break }
  od
}

/* Puts a version in force. */
inline putInForce(n, newVersion) {
  if
#ifdef WITHOUT_FORWARD_ONLY
  :: newVersion > 0 ->
#else
  :: newVersion > version[n] ->
#endif
     assert(newVersion >= version[n]);
     version[n] = newVersion
  :: else
  fi
}

inline noteOtherLife(op, n) {
  if
  :: changeState[op] == stored && (first[op] & (1 << n)) != 0 ->
     otherLife[op] = otherLife[op] | (1 << n)
  :: else
  fi
}

inline restart(n) {
  version[n] = 0;
  serves[n] = false;
  formerLife[n] = (answer[n] > 0);
  noteOtherLife(0, n);
  noteOtherLife(1, n)
}

inline takeAnswer(n) {
#ifdef WITHOUT_LIFE_IN_ANSWER
  putInForce(n, answer[n]);
#else
  if
  :: formerLife[n] -> skip
  :: else -> putInForce(n, answer[n])
  fi;
#endif
  answer[n] = 0;
  formerLife[n] = false
}

proctype Node(byte n) {
end_idle:
  do
  :: atomic { platformUp && revision > version[n] -> putInForce(n, revision) }
  :: atomic { answer[n] == 0 && version[1 - n] > version[n] -> answer[n] = version[1 - n] }
  :: atomic { answer[n] > 0 -> takeAnswer(n) }
  :: atomic { answer[n] > 0 && faults > 0 -> faults--; answer[n] = 0; formerLife[n] = false }
#ifdef WITHOUT_TABLE_BEFORE_SERVING
  :: atomic { !serves[n] -> serves[n] = true; assert(version[n] >= acceptedVersion) }
#else
  :: atomic { !serves[n] && version[n] > 0 ->
       serves[n] = true; assert(version[n] >= acceptedVersion) }
#endif
  :: atomic { faults > 0 -> faults--; restart(n) }
  od
}

active proctype Environment() {
  atomic {
    revision = 1;
    run Operator(0);
    run Operator(1);
    run Node(0);
    run Node(1)
  }
end_idle:
  do
  :: atomic { faults > 0 -> faults--; restart(0); restart(1) }
  :: atomic { faults > 0 && platformUp -> faults--; platformUp = false }
  :: atomic { !platformUp -> platformUp = true }
  :: atomic { platformUp && late[0] != NO_SENDING ->
       apply(0, late[0], applied[0]); late[0] = NO_SENDING }
  :: atomic { platformUp && late[1] != NO_SENDING ->
       apply(1, late[1], applied[1]); late[1] = NO_SENDING }
  /* From here on no further faults: every change must end and every node catch up. */
  :: atomic { faults > 0 -> faults = 0; platformUp = true }
  :: atomic { timeout ->
       assert(ended(0) && ended(1));
       for (node : 0 .. NODES - 1) {
         assert(serves[node] && version[node] == revision)
       }
       break }
  od
}
