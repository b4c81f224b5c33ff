/*
 * One request's stream over several attempts (src/relay/request_flow.h).
 *
 * Models: a node that relays an answer of LENGTH tokens to one caller, up to ATTEMPTS attempts,
 * engines that produce one frame a token and a last frame that only ends. Orders and frames take a
 * fast or a slow channel each, so that they overtake one another, also those of attempts that were
 * given up on. Faults, FAULTS of them in all: a lost or a doubled frame, an order lost, an engine that
 * forgets its attempts (crash) or falls silent for good, a stall that is only apparent, a refused
 * placement, the deadline, a caller that goes away. Whether the request is repeatable is free.
 *
 * Leaves out: frames of several tokens (the code asks for the exact position where one overlaps),
 * that two attempts may share an engine, and the caller's own reconnection to another node.
 *
 * Checked: the caller gets each position once and in order, all from the attempt that is alive and
 * that continued exactly what was delivered; the end only after all; a request that is not
 * repeatable runs once at most; not_run is said truly; every request ends (ltl ends), and is
 * refused only for a reason.
 */
#define LENGTH 2
#define ATTEMPTS 2
#define FAULTS 2

mtype:request = { placing, attempting, finished, refused, abandoned };
mtype:attempt = { none, dispatched, streaming, resuming, ended, failed, given_up };
mtype:order = { dispatch, resume, cancel };
mtype:answer = { frame, end_frame, refused_dispatch, refused_resume };

mtype:request requestState = placing;
mtype:attempt attemptState = none;
byte current;        /* the latest attempt; older ones were given up on or failed */
byte dispatches;
byte delivered;
bool mayHaveRun;
bool repeatable;

/* Engines' side, by attempt. */
bool running[ATTEMPTS];
bool silent[ATTEMPTS];
byte position[ATTEMPTS];
byte first[ATTEMPTS]; /* position from which the attempt was asked to continue */
byte runs;

/* What the checks compare with. */
byte foreign;        /* tokens delivered before the present attempt */
bool saidNotRun;
bool givenReason;    /* the deadline passed */

byte faults = FAULTS;
bool deadlineLeft = true;
bool callerLeft = true;

/* Set and used within one step only. */
hidden mtype:answer answer;
hidden byte answered;
hidden byte answeredPosition;
hidden mtype:order order;
hidden byte ordered;
hidden byte orderedPosition;

chan orders[2] = [1] of { mtype:order, byte, byte };
chan answers[2] = [1] of { mtype:answer, byte, byte };

#define over (requestState == finished || requestState == refused || requestState == abandoned)

inline sendOrder(kind, which, where) {
  if
  :: nfull(orders[0]) -> orders[0]!kind, which, where
  :: nfull(orders[1]) -> orders[1]!kind, which, where
  :: faults > 0 -> faults--
  :: full(orders[0]) && full(orders[1]) -> skip
  fi
}

inline sendAnswer(kind, which, where) {
  if
  :: nfull(answers[0]) -> answers[0]!kind, which, where
  :: nfull(answers[1]) -> answers[1]!kind, which, where
  :: faults > 0 -> faults--
  :: faults > 0 && nfull(answers[0]) && nfull(answers[1]) ->
     faults--; answers[0]!kind, which, where; answers[1]!kind, which, where
  fi
}

/* The node's decisions. */

inline refuseRequest() {
  saidNotRun = !mayHaveRun;
  assert(givenReason || dispatches == ATTEMPTS || (!repeatable && mayHaveRun));
  if
  :: requestState == placing -> requestState = refused /* chart request: placing -refuse-> refused */
  :: requestState == attempting -> requestState = refused /* chart request: attempting -refuse-> refused */
  fi
}

inline loseAttempt() {
#ifdef WITHOUT_AT_MOST_ONCE
  if
  :: dispatches == ATTEMPTS -> refuseRequest()
#else
  if
  :: dispatches == ATTEMPTS || (!repeatable && mayHaveRun) -> refuseRequest()
#endif
  :: else -> requestState = placing /* chart request: attempting -attempt_lost-> placing */
  fi
}

inline giveUp() {
  mayHaveRun = true;
  if
  :: attemptState == dispatched -> attemptState = given_up /* chart attempt: dispatched -give_up-> given_up */
  :: attemptState == streaming -> attemptState = given_up /* chart attempt: streaming -give_up-> given_up */
  :: attemptState == resuming -> attemptState = given_up /* chart attempt: resuming -give_up-> given_up */
  fi;
  sendOrder(cancel, current, 0)
}

inline interrupt() {
  if
  :: attemptState == dispatched -> attemptState = resuming; /* chart attempt: dispatched -interrupted-> resuming */
     sendOrder(resume, current, delivered)
  :: attemptState == streaming -> attemptState = resuming; /* chart attempt: streaming -interrupted-> resuming */
     sendOrder(resume, current, delivered)
#ifdef WITHOUT_RESUME_LIMIT
  :: attemptState == resuming -> sendOrder(resume, current, delivered)
#else
  :: attemptState == resuming -> giveUp(); loseAttempt()
#endif
  fi
}

inline takeRefusal(ofDispatch) {
  /* An error in answer to a resume says nothing of whether the attempt ran. */
#ifdef WITHOUT_RESUME_DISTRUST
  skip;
#else
  mayHaveRun = mayHaveRun || !ofDispatch || attemptState != dispatched;
#endif
  if
  :: attemptState == dispatched -> attemptState = failed /* chart attempt: dispatched -refused-> failed */
  :: attemptState == streaming -> attemptState = failed /* chart attempt: streaming -refused-> failed */
  :: attemptState == resuming -> attemptState = failed /* chart attempt: resuming -refused-> failed */
  fi;
  loseAttempt()
}

inline deliver(which, where) {
  assert(where == delivered);
  assert(which == current);
  assert(first[which] == foreign);
  delivered++;
  if
  :: attemptState == dispatched -> attemptState = streaming /* chart attempt: dispatched -frame-> streaming */
  :: attemptState == streaming -> attemptState = streaming /* chart attempt: streaming -frame-> streaming */
  :: attemptState == resuming -> attemptState = streaming /* chart attempt: resuming -frame-> streaming */
  fi
}

inline takeFrame(which, where) {
  if
#ifndef WITHOUT_SKIP_DELIVERED
  :: where < delivered -> skip
#endif
#ifdef WITHOUT_GAP_CHECK
  :: where > delivered -> deliver(which, where)
#else
  :: where > delivered && attemptState == resuming -> skip
  :: where > delivered && attemptState != resuming -> interrupt()
#endif
  :: else -> deliver(which, where)
  fi
}

inline takeEnd(where) {
  if
#ifndef WITHOUT_END_CHECK
  :: where > delivered && attemptState == resuming -> skip
  :: where > delivered && attemptState != resuming -> interrupt()
#endif
  :: else ->
     assert(delivered == LENGTH);
     if
     :: attemptState == dispatched -> attemptState = ended /* chart attempt: dispatched -end-> ended */
     :: attemptState == streaming -> attemptState = ended /* chart attempt: streaming -end-> ended */
     :: attemptState == resuming -> attemptState = ended /* chart attempt: resuming -end-> ended */
     fi;
     requestState = finished        /* chart request: attempting -complete-> finished */
  fi
}

inline takeAnswer(kind, which, where) {
  if
#ifdef WITHOUT_ATTEMPT_CHECK
  :: requestState != attempting -> skip
#else
  :: requestState != attempting || which != current -> skip
#endif
  :: else ->
     if
     :: kind == frame -> takeFrame(which, where)
     :: kind == end_frame -> takeEnd(where)
     :: kind == refused_dispatch -> takeRefusal(true)
     :: kind == refused_resume -> takeRefusal(false)
     fi
  fi
}

active proctype Node() {
  atomic {
    if
    :: repeatable = true
    :: repeatable = false
    fi
  }
  do
  :: atomic { requestState == placing && dispatches < ATTEMPTS ->
       current = dispatches;
       dispatches++;
#ifdef WITHOUT_DELIVERED_TEXT
       first[current] = 0;
#else
       first[current] = delivered;
#endif
       foreign = delivered;
       attemptState = dispatched;
       requestState = attempting; /* chart request: placing -placed-> attempting */
       sendOrder(dispatch, current, first[current]) }
  :: atomic { answers[0]?answer, answered, answeredPosition ->
       takeAnswer(answer, answered, answeredPosition) }
  :: atomic { answers[1]?answer, answered, answeredPosition ->
       takeAnswer(answer, answered, answeredPosition) }
  :: atomic { requestState == attempting && faults > 0 -> faults--; interrupt() }
#ifndef WITHOUT_STALL_TIMEOUT
  :: atomic { timeout && requestState == attempting -> interrupt() }
#endif
  :: atomic { !over && deadlineLeft -> deadlineLeft = false; givenReason = true;
       if
       :: requestState == attempting -> giveUp()
       :: else
       fi;
       refuseRequest() }
  :: atomic { !over && callerLeft -> callerLeft = false;
       if
       :: requestState == attempting ->
          giveUp();
          requestState = abandoned /* chart request: attempting -caller_gone-> abandoned */
       :: else ->
          requestState = abandoned /* chart request: placing -caller_gone-> abandoned */
       fi }
  :: over -> break /* whatever still comes is dropped */
  od
}

inline takeOrder(kind, which, where) {
  if
  :: silent[which] -> skip
  :: else ->
     if
     :: kind == dispatch ->
        if
        :: running[which] = true;
           position[which] = where;
           runs++;
           assert(repeatable || runs <= 1);
           assert(!saidNotRun)
        :: faults > 0 -> faults--; sendAnswer(refused_dispatch, which, 0)
        fi
     :: kind == resume && running[which] -> position[which] = where
     :: kind == resume && !running[which] -> sendAnswer(refused_resume, which, 0)
     :: kind == cancel -> running[which] = false
     fi
  fi
}

inline produce(which) {
  if
  :: position[which] < LENGTH ->
     sendAnswer(frame, which, position[which]);
     position[which] = position[which] + 1
  :: position[which] == LENGTH ->
     sendAnswer(end_frame, which, LENGTH);
     position[which] = position[which] + 1
  fi
}

#define canAnswer (nfull(answers[0]) || nfull(answers[1]))
#define canProduce(which) (!over && running[which] && !silent[which] && position[which] <= LENGTH && canAnswer)

active proctype Engines() {
end_idle:
  do
  :: atomic { canAnswer && nempty(orders[0]) -> orders[0]?order, ordered, orderedPosition;
       takeOrder(order, ordered, orderedPosition) }
  :: atomic { canAnswer && nempty(orders[1]) -> orders[1]?order, ordered, orderedPosition;
       takeOrder(order, ordered, orderedPosition) }
  :: atomic { canProduce(0) -> produce(0) }
  :: atomic { canProduce(1) -> produce(1) }
  :: atomic { !over && faults > 0 && dispatches > 0 -> faults--; running[current] = false }
  :: atomic { !over && faults > 0 && dispatches > 0 -> faults--; silent[current] = true }
  /* From here on no further faults: whatever the state, the request must come to its end. */
  :: atomic { !over && (faults > 0 || deadlineLeft || callerLeft) ->
       faults = 0; deadlineLeft = false; callerLeft = false }
  od
}

ltl ends { <> over }
