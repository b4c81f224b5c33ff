/*
 * At-most-once claims of one key within one epoch: 3 replicas, 2 dispatchers that resend.
 * See README.md for what is modelled and what is left out, docs/CLAIMS.md for the rules.
 *
 * The network keeps every message for ever and delivers it at any time, any number of times or
 * never: that covers loss, delay, doubling and reordering. So no message is stored that follows
 * from the state of its sender: a claim exists once its attempt has begun, a release once the
 * attempt is released, a completion once it ran.
 *
 * Each WITHOUT_... takes one rule out; spin must then find a violation.
 *
 * Symmetry, without loss of generality: replicas are numbered so that the first crash is replica
 * 0's, dispatchers so that the first claim to be recorded is attempt 0's. An attempt begins as
 * soon as it may, since beginning and never being heard is the same as not beginning.
 *
 * With PROGRESS (claim_progress.pml) faults may end at any moment, and the model also checks that
 * every request then ends. Acknowledgements of releases matter only there.
 */

#ifndef MAX_CRASHES
#define MAX_CRASHES 2
#endif
#define REPLICAS 3
#ifndef ATTEMPTS
#define ATTEMPTS 3          /* attempt a belongs to dispatcher a % 2; a + 2 is its resend */
#endif
#define LIVES (MAX_CRASHES + 1)

/* States of charts/claim.scxml */
#define UNCLAIMED 0
#define CLAIMED   1
#define COMPLETED 2
#define VOIDED    3

/* Life of an attempt at its dispatcher */
#define IDLE     0
#define CLAIMING 1
#define RAN      2
#define RELEASED 3

#define NOBODY 7

/* Replicas */
bool recovering[REPLICAS];
byte state[REPLICAS];
byte holder[REPLICAS];
byte tombstones[REPLICAS];               /* bit a: attempt a is released */
byte life[REPLICAS];
byte known[REPLICAS * REPLICAS];         /* crash vector: known[r * 3 + x] is x's life as r knows it */

/* Answers to a recovering replica r: slot r * 3 + x is what x said last */
bool answered[REPLICAS * REPLICAS];
byte answerState[REPLICAS * REPLICAS];
byte answerHolder[REPLICAS * REPLICAS];
byte answerTombstones[REPLICAS * REPLICAS];
byte answerLife[REPLICAS * REPLICAS];
byte answerKnown[REPLICAS * REPLICAS];   /* answerer's view of the third replica */

/* Votes: one for each attempt, replica and life; 0 is none, else 1 + 3 * view of the next replica
   + view of the one after it. The first vote of a life has the least vector, so that every pair
   that a later copy would complete, the first one completes too. */
byte vote[ATTEMPTS * REPLICAS * LIVES];

/* Dispatchers */
byte attempt[ATTEMPTS];
bool quorum[ATTEMPTS];                   /* a consistent majority of votes has been sent */

byte crashes;
byte runs;
#ifdef PROGRESS
byte acknowledged[ATTEMPTS];             /* bit r: r acknowledged the release */
bool quiet;                              /* faults have ended */
bool ended;
#else
#define quiet false
#define ended false
#endif

/* What the step being taken is about; always 0 between steps. Each kind of step first chooses these
   among all for which it may be taken. */
byte theAttempt, theReplica, theOther;
#define CHOOSE(a, r, condition) :: condition -> theAttempt = a; theReplica = r
#define CHOOSE_PAIR(q, r, condition) :: condition -> theOther = q; theReplica = r
#define STEP_IS_TAKEN theAttempt = 0; theReplica = 0; theOther = 0

/* Scratch, always 0 between steps */
byte i, j, k, m, x, y;

#define NEXT(r)   (((r) + 1) % REPLICAS)
#define AFTER(r)  (((r) + 2) % REPLICAS)
#define KNOWN(r, q) known[(r) * REPLICAS + (q)]
#define SLOT(r, q)  ((r) * REPLICAS + (q))
#define VOTE(a, r, l) vote[((a) * REPLICAS + (r)) * LIVES + (l)]
/* The life of replica q that the vote v of replica r knows */
#define VIEW(v, r, q) (((q) == NEXT(r)) -> (((v) - 1) / 3) : (((v) - 1) % 3))
#define BIT(n) (1 << (n))

#ifdef WITHOUT_CRASH_VECTORS
#define CONSISTENT(v, r, l, w, q, n) true
#else
#define CONSISTENT(v, r, l, w, q, n) ((l) >= VIEW(w, q, r) && (n) >= VIEW(v, r, q))
#endif

/* Notes whether the vote of replica r in its present life completes a majority for a. */
inline countVotes(a, r) {
#ifdef WITHOUT_MAJORITY
  quorum[a] = true;
#else
  j = 0;
  do
  :: j < REPLICAS ->
     k = 0;
     do
     :: k < LIVES ->
        if
        :: j != r && VOTE(a, j, k) != 0 &&
           CONSISTENT(VOTE(a, r, life[r]), r, life[r], VOTE(a, j, k), j, k) -> quorum[a] = true
        :: else
        fi;
        k++
     :: else -> break
     od;
     j++
  :: else -> break
  od;
  j = 0; k = 0;
#endif
  if
  :: quorum[a] -> forgetVotes(a)
  :: else
  fi
}

/* Votes of an attempt that needs no more of them are of no account. */
inline forgetVotes(a) {
  m = 0;
  do
  :: m < REPLICAS * LIVES -> vote[(a) * REPLICAS * LIVES + m] = 0; m++
  :: else -> break
  od;
  m = 0
}

inline sendVote(a, r) {
  if
  :: attempt[a] == CLAIMING && !quorum[a] && VOTE(a, r, life[r]) == 0 ->
     VOTE(a, r, life[r]) = 1 + 3 * KNOWN(r, NEXT(r)) + KNOWN(r, AFTER(r));
     countVotes(a, r)
  :: else
  fi
}

#ifdef WITHOUT_FIRST_CLAIM_WINS
#define MAY_CLAIM(a, r) (state[r] == UNCLAIMED || state[r] == CLAIMED)
#else
#define MAY_CLAIM(a, r) (state[r] == UNCLAIMED)
#endif

#ifdef NO_TOMBSTONES
#define ENTOMB(a, r) skip
#else
#define ENTOMB(a, r) tombstones[r] = tombstones[r] | BIT(a)
#endif

/* A claim of attempt a, sent at any time before, reaches replica r. Without further faults only a
   dispatcher that still claims sends again. */
#define IF_CLAIM_ARRIVES(a, r) CHOOSE(a, r, (!ended && attempt[a] != IDLE && !recovering[r] && \
    (!quiet || attempt[a] == CLAIMING) && MAY_CLAIM(a, r) && \
    !(state[r] == CLAIMED && holder[r] == a) && !(tombstones[r] & BIT(a))))
#define IF_CLAIM_ARRIVES_AGAIN(a, r) CHOOSE(a, r, (!ended && attempt[a] == CLAIMING && \
    !quorum[a] && !recovering[r] && state[r] == CLAIMED && holder[r] == a && \
    VOTE(a, r, life[r]) == 0))

inline recordClaim(a, r) {
  /* chart claim: unclaimed -claim-> claimed */
  state[r] = CLAIMED;
  d_step {
    holder[r] = a;
    if
    :: a == 0 && attempt[1] == IDLE -> attempt[1] = CLAIMING
    :: else
    fi;
    sendVote(a, r)
  }
}

/* A release of attempt a reaches replica r. */
#ifdef WITHOUT_RELEASE_BY_AUTHOR
#define MAY_RELEASE(a) (attempt[a] != IDLE)
#else
#define MAY_RELEASE(a) (attempt[a] == RELEASED)
#endif
#ifdef PROGRESS
#define IS_ACKNOWLEDGED(a, r) (acknowledged[a] & BIT(r))
#define ACKNOWLEDGE(a, r) acknowledged[a] = acknowledged[a] | BIT(r)
#else
#define IS_ACKNOWLEDGED(a, r) true
#define ACKNOWLEDGE(a, r) skip
#endif
#define CHANGES(a, r) \
  (state[r] < COMPLETED && (!(tombstones[r] & BIT(a)) || (state[r] == CLAIMED && holder[r] == a)))
#define IF_RELEASE_ARRIVES(a, r) CHOOSE(a, r, (!ended && MAY_RELEASE(a) && !recovering[r] && \
    (!IS_ACKNOWLEDGED(a, r) || (!quiet && CHANGES(a, r)))))

inline recordRelease(a, r) {
  d_step {
    ACKNOWLEDGE(a, r);
    if
    :: state[r] < COMPLETED -> ENTOMB(a, r)
    :: else
    fi
  };
  if
  :: state[r] == CLAIMED && holder[r] == a ->
     /* chart claim: claimed -release-> unclaimed */
     state[r] = UNCLAIMED;
     holder[r] = NOBODY
  :: else
  fi
}

/* The answer of attempt a reaches replica r. */
#define IF_ANSWER_ARRIVES(a, r) CHOOSE(a, r, (!ended && attempt[a] == RAN && state[r] != COMPLETED))

inline recordCompletion(r) {
  if
  :: state[r] == UNCLAIMED ->
     /* chart claim: unclaimed -complete-> completed */
     state[r] = COMPLETED
  :: state[r] == CLAIMED ->
     /* chart claim: claimed -complete-> completed */
     state[r] = COMPLETED
  :: state[r] == VOIDED ->
     /* chart claim: voided -complete-> completed */
     state[r] = COMPLETED
  :: else
  fi;
  d_step { holder[r] = NOBODY; tombstones[r] = 0 }
}

/* Attempt a ends without a run; its dispatcher may send the request again. */
inline giveUp(a) {
  attempt[a] = RELEASED;
  quorum[a] = false;
  forgetVotes(a);
  if
  :: a + 2 < ATTEMPTS && !quiet -> attempt[(a) + 2] = CLAIMING
  :: else
  fi
}

/* Granted and dispatched; the votes are counted at the last moment, the worst for the protocol. */
#define IF_GRANTED(a) CHOOSE(a, 0, (!ended && attempt[a] == CLAIMING && quorum[a]))
/* Given up by timeout, or because another attempt is in the way. */
#define IF_CLAIMING(a) CHOOSE(a, 0, (!ended && attempt[a] == CLAIMING))

inline dispatch(a) {
  attempt[a] = RAN;
  quorum[a] = false;
  runs++;
  assert(runs <= 1)
}

/* A refusal says "not run" only if the attempt had been granted. */
inline refuse(a) {
  assert(!quorum[a] || runs == 0);
  giveUp(a)
}

inline forgetAnswers(r) {
  m = 0;
  do
  :: m < REPLICAS ->
     answered[SLOT(r, m)] = false; answerState[SLOT(r, m)] = 0; answerHolder[SLOT(r, m)] = 0;
     answerTombstones[SLOT(r, m)] = 0; answerLife[SLOT(r, m)] = 0; answerKnown[SLOT(r, m)] = 0;
     m++
  :: else -> break
  od;
  m = 0
}

/* Replica r loses its memory and starts its next life. */
#define IF_MAY_CRASH(r) CHOOSE(0, r, (!ended && !quiet && crashes < MAX_CRASHES && \
    (crashes > 0 || r == 0)))

#ifdef WITHOUT_SILENCE_WHILE_EMPTY
#define EMPTY_IS_SILENT false
#else
#define EMPTY_IS_SILENT true
#endif

inline crash(r) {
  crashes++;
  life[r]++;
  state[r] = UNCLAIMED; holder[r] = NOBODY; tombstones[r] = 0;
  KNOWN(r, NEXT(r)) = 0; KNOWN(r, AFTER(r)) = 0; KNOWN(r, r) = 0;
  forgetAnswers(r);
  recovering[r] = EMPTY_IS_SILENT
}

#ifdef WITHOUT_CRASH_VECTORS
#define ANSWERS_CONSISTENT(s, t) true
#else
#define ANSWERS_CONSISTENT(s, t) \
  (answerLife[s] >= answerKnown[t] && answerLife[t] >= answerKnown[s])
#endif

/* Replica q answers the recovering replica r. An answer is taken once, and anew only if another
   answer tells that q restarted since. */
#define THIRD(q, r) (REPLICAS - (q) - (r))
#define IS_STALE(r, q) \
  (answered[SLOT(r, q)] && answered[SLOT(r, THIRD(q, r))] && \
   answerLife[SLOT(r, q)] < answerKnown[SLOT(r, THIRD(q, r))])
#define IF_ASKED(q, r) CHOOSE_PAIR(q, r, (!ended && recovering[r] && !recovering[q] && \
    (!answered[SLOT(r, q)] || IS_STALE(r, q))))

inline answerRecovery(q, r) {
  KNOWN(q, r) = life[r];
  answered[SLOT(r, q)] = true;
  answerState[SLOT(r, q)] = state[q];
  answerHolder[SLOT(r, q)] = holder[q];
  answerTombstones[SLOT(r, q)] = tombstones[q];
  answerLife[SLOT(r, q)] = life[q];
  answerKnown[SLOT(r, q)] = KNOWN(q, THIRD(q, r))
}

#define IS_LIVE_CLAIM(s) \
  (answerState[s] == CLAIMED && !(tombstones[i] & BIT(answerHolder[s])))

#define MAXIMUM(p, q) ((p) > (q) -> (p) : (q))

/* Replica r merges the answers of both others; i == r, x and y are the slots. */
inline mergeAnswers(r) {
  d_step {
    i = r; x = SLOT(r, NEXT(r)); y = SLOT(r, AFTER(r));
    tombstones[i] = answerTombstones[x] | answerTombstones[y];
    KNOWN(i, NEXT(i)) = MAXIMUM(answerLife[x], answerKnown[y]);
    KNOWN(i, AFTER(i)) = MAXIMUM(answerLife[y], answerKnown[x])
  };
  if
  :: state[i] == COMPLETED   /* learned from the dispatcher meanwhile */
  :: state[i] != COMPLETED && (answerState[x] == COMPLETED || answerState[y] == COMPLETED) ->
     state[i] = COMPLETED
  :: state[i] != COMPLETED && answerState[x] != COMPLETED && answerState[y] != COMPLETED &&
     (answerState[x] == VOIDED || answerState[y] == VOIDED) ->
     /* chart claim: unclaimed -void-> voided */
     state[i] = VOIDED
  :: else -> mergeClaims()
  fi;
  d_step {
    if
    :: state[i] == COMPLETED || state[i] == VOIDED -> holder[i] = NOBODY; tombstones[i] = 0
    :: else
    fi;
    i = 0; x = 0; y = 0;
    forgetAnswers(r);
    recovering[r] = false
  }
}

inline mergeClaims() {
  if
  :: IS_LIVE_CLAIM(x) -> state[i] = CLAIMED; holder[i] = answerHolder[x]
  :: !IS_LIVE_CLAIM(x) && IS_LIVE_CLAIM(y) -> state[i] = CLAIMED; holder[i] = answerHolder[y]
  :: else
  fi;
#ifndef WITHOUT_VOIDING
  if
  :: IS_LIVE_CLAIM(x) && IS_LIVE_CLAIM(y) && answerHolder[x] != answerHolder[y] ->
     /* chart claim: claimed -void-> voided */
     state[i] = VOIDED
  :: else
  fi
#endif
}

#define IF_MAY_RECOVER(r) CHOOSE(0, r, (!ended && recovering[r] && answered[SLOT(r, NEXT(r))] && \
    answered[SLOT(r, AFTER(r))] && ANSWERS_CONSISTENT(SLOT(r, NEXT(r)), SLOT(r, AFTER(r)))))

/* Recovery is given up: the key was born before this life, so it is granted to nobody. */
#ifdef WITHOUT_BIRTH_CHECK
#define GIVEN_UP_STATE UNCLAIMED
#else
#define GIVEN_UP_STATE VOIDED
#endif
#ifdef NO_GIVING_UP
#define MAY_GIVE_UP false
#else
#define MAY_GIVE_UP true
#endif
#define IF_MAY_GIVE_UP(r) CHOOSE(0, r, (!ended && recovering[r] && MAY_GIVE_UP))

inline giveUpRecovery(r) {
  if
  :: state[r] == UNCLAIMED ->
     /* chart claim: unclaimed -void-> voided */
     state[r] = GIVEN_UP_STATE
  :: else   /* the answer was learned meanwhile */
  fi;
  d_step { forgetAnswers(r); recovering[r] = false }
}

/* Nothing is left to do once the faults have ended. */
#define IS_OVER(a) (attempt[a] == IDLE || attempt[a] == RAN || \
                    (attempt[a] == RELEASED && acknowledged[a] == 7))
#define REFUSES(r) (state[r] == VOIDED || state[r] == CLAIMED)
#define KEEPS_ANSWER (state[0] == COMPLETED && state[1] == COMPLETED && state[2] == COMPLETED)

#if ATTEMPTS == 2
#define ANY_ATTEMPT(IF) IF(0) IF(1)
#elif ATTEMPTS == 3
#define ANY_ATTEMPT(IF) IF(0) IF(1) IF(2)
#else
#define ANY_ATTEMPT(IF) IF(0) IF(1) IF(2) IF(3)
#endif
#define ANY_REPLICA(IF) IF(0) IF(1) IF(2)
#define AT_ANY(IF, a) IF(a, 0) IF(a, 1) IF(a, 2)
#if ATTEMPTS == 2
#define ANY_ATTEMPT_AT_ANY(IF) AT_ANY(IF, 0) AT_ANY(IF, 1)
#elif ATTEMPTS == 3
#define ANY_ATTEMPT_AT_ANY(IF) AT_ANY(IF, 0) AT_ANY(IF, 1) AT_ANY(IF, 2)
#else
#define ANY_ATTEMPT_AT_ANY(IF) AT_ANY(IF, 0) AT_ANY(IF, 1) AT_ANY(IF, 2) AT_ANY(IF, 3)
#endif
#define ANY_PAIR(IF) IF(0, 1) IF(0, 2) IF(1, 0) IF(1, 2) IF(2, 0) IF(2, 1)

active proctype system() {
  d_step {
    attempt[0] = CLAIMING;
    holder[0] = NOBODY; holder[1] = NOBODY; holder[2] = NOBODY
  }
#ifndef PROGRESS
end:
#endif
  do
#ifdef PROGRESS
  :: d_step { !ended && !quiet -> quiet = true }
#endif
  :: atomic { if ANY_ATTEMPT(IF_GRANTED) fi;
       d_step { dispatch(theAttempt); STEP_IS_TAKEN } }
  :: atomic { if ANY_ATTEMPT_AT_ANY(IF_CLAIM_ARRIVES_AGAIN) fi;
       d_step { sendVote(theAttempt, theReplica); STEP_IS_TAKEN } }
  :: atomic { if ANY_REPLICA(IF_MAY_RECOVER) fi;
       mergeAnswers(theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_PAIR(IF_ASKED) fi;
       d_step { answerRecovery(theOther, theReplica); STEP_IS_TAKEN } }
  :: atomic { if ANY_REPLICA(IF_MAY_CRASH) fi;
       d_step { crash(theReplica); STEP_IS_TAKEN } }
  :: atomic { if ANY_ATTEMPT_AT_ANY(IF_CLAIM_ARRIVES) fi;
       recordClaim(theAttempt, theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_REPLICA(IF_MAY_GIVE_UP) fi;
       giveUpRecovery(theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_ATTEMPT_AT_ANY(IF_RELEASE_ARRIVES) fi;
       recordRelease(theAttempt, theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_ATTEMPT(IF_CLAIMING) fi;
       d_step { refuse(theAttempt); STEP_IS_TAKEN } }
  :: atomic { if ANY_ATTEMPT_AT_ANY(IF_ANSWER_ARRIVES) fi;
       recordCompletion(theReplica); d_step { STEP_IS_TAKEN } }
#ifdef PROGRESS
  /* Each crash costs at most one replica its vote on a key that never ran, and a run is on record
     everywhere. A step that never comes shows as an invalid end state. */
  :: d_step { !ended && quiet && IS_OVER(0) && IS_OVER(1) && IS_OVER(ATTEMPTS - 1) &&
       !recovering[0] && !recovering[1] && !recovering[2] && (runs == 0 || KEEPS_ANSWER) ->
       assert(runs == 1 || REFUSES(0) + REFUSES(1) + REFUSES(2) <= crashes);
       ended = true }
  :: ended -> break
#endif
  od
}
