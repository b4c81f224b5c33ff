/*
 * A request that may run once, at a node that hands it to other nodes while it reaches no engine
 * (src/gateway/peer_choice, request_run_peer.cpp; docs/design/ENGINE-PARTITION.md).
 *
 * Models: three nodes whose links to the engines may be lost and come back at any moment; the node that
 * received the request from its caller tries an engine or hands it to another node; a hop or a send to
 * the engine may fail before a byte was sent, or break afterwards, and what was sent may still arrive;
 * the receiver runs it, rejects it, or ends before it answers. An answer may be lost.
 *
 * Leaves out: the caller's own retries (each has an id of its own), limits, deadlines, and streams
 * (stream.pml: an attempt there may be a hop).
 *
 * Checked: the request runs at most once; it never runs if its caller was told that it did not; it is
 * handed on at most once.
 */
#define NODES 3
#define TRIES 3

/* What is known of a try: it was not sent, the other side promised not to run it, it ran, or nothing. */
mtype = { NOT_SENT, REJECTED, RAN, UNKNOWN };

bool reaches[NODES];
bool underWay;      /* A copy that was sent on a broken hop may still arrive at its receiver. */
byte receiver;
byte runs;
byte hops;
bool toldNotRun;

/* Links are lost and come back. */
active proctype Links() {
  byte changes, node;
  do
  :: changes < 4 -> atomic {
      if :: node = 0 :: node = 1 :: node = 2 fi;
      reaches[node] = !reaches[node];
      changes++
    }
  :: break
  od
}

inline run_() {
  runs++;
  assert(runs == 1 && !toldNotRun)
}

inline hop() {
  hops++;
  assert(hops == 1)
}

inline tellNotRun() {
  toldNotRun = true;
  assert(runs == 0)
}

/* One send to an engine by a node. */
inline tryEngine(node, outcome) {
  if
  :: !reaches[node] -> outcome = NOT_SENT
  :: reaches[node] -> run_(); outcome = RAN
  :: reaches[node] -> run_(); outcome = UNKNOWN      /* The answer broke off. */
  :: reaches[node] -> outcome = UNKNOWN              /* The send broke off. */
  :: reaches[node] -> outcome = REJECTED
  fi
}

/* What a node does with a request that was handed to it. */
inline serveHandedOn(node, outcome) {
  if
#ifndef WITHOUT_MARK
  :: !reaches[node] -> outcome = REJECTED
#else
  :: !reaches[node] -> hop(); outcome = REJECTED    /* It hands it on again, in vain. */
#endif
  :: tryEngine(node, outcome);
     if
     :: outcome == NOT_SENT -> outcome = REJECTED
     :: else
     fi
  fi
}

/* One hop to another node. */
inline handOn(node, outcome) {
  if
  :: outcome = NOT_SENT                              /* The node was not reached. */
  :: hop(); serveHandedOn(node, outcome)
  :: hop(); underWay = true; receiver = node; outcome = UNKNOWN
  :: hop(); serveHandedOn(node, outcome); outcome = UNKNOWN   /* Its answer was lost. */
  fi
}

/* A copy on a broken hop arrives late, or never. */
active proctype LateArrival() {
  mtype ignored;
end:
  do
  :: atomic { underWay -> underWay = false; serveHandedOn(receiver, ignored) }
  :: break
  od
}

active proctype Origin() {
  mtype outcome;
  byte tries, handedOn;
  bool isOpen = true;
  do
  :: isOpen && tries < TRIES -> atomic {
      if
      :: reaches[0] -> tryEngine(0, outcome)
      :: !reaches[0] -> handedOn++; handOn(1 + (tries % 2), outcome)
      fi;
      tries++;
      hops = 0;                                      /* Counted for each time that it is handed on. */
      if
      :: outcome == RAN -> isOpen = false
#ifndef WITHOUT_UNKNOWN
      :: outcome == UNKNOWN -> isOpen = false        /* Told so, and not sent again. */
#else
      :: outcome == UNKNOWN                          /* Sent again. */
#endif
      :: outcome == REJECTED || outcome == NOT_SENT
      fi
    }
  :: isOpen && tries == TRIES -> atomic { tellNotRun(); isOpen = false }
#ifdef WITHOUT_PROMISE
  :: !isOpen && outcome == UNKNOWN && !toldNotRun -> tellNotRun()
#endif
  :: !isOpen -> break
  od
}
