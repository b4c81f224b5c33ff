/*
 * A change of the replica group of one key: 3 replicas of the old epoch and 2 of the new one, the
 * third of which is down, so that a majority is both; two attempts in the old epoch and one in the
 * new. claim.pml covers what happens inside an epoch. See README.md for what is left out.
 *
 * Symmetry, without loss of generality: old replicas are numbered so that the first that anything
 * happens to is 0, old attempts so that the first claim recorded is attempt 0's, and new replicas
 * so that the first to ask is 3. Answers are left out: they never free a key.
 *
 * Messages as in claim.pml: what follows from the sender's state may arrive at any time, any
 * number of times or never. Each WITHOUT_... takes one rule out; spin must find a violation.
 */

/* How many replicas may lose their memory; where a rule is out, the fewest that show it. */
#if defined(WITHOUT_SEALING) || defined(WITHOUT_SEAL_MAJORITY) || defined(WITHOUT_VOIDING)
#define MAX_CRASHES 0
#else
#define MAX_CRASHES 1
#endif
#if defined(WITHOUT_CRASH_VECTORS) || defined(WITHOUT_BIRTH_CHECK)
#define MAX_NEW_CRASHES 0
#else
#define MAX_NEW_CRASHES MAX_CRASHES
#endif

#define GROUP 3
#define REPLICAS 5          /* 0..2 of the old epoch, 3 and 4 of the new one */
#define ATTEMPTS 3          /* 0 and 1 in the old epoch, 2 in the new one */
#define LIVES (MAX_CRASHES + 1)

/* States of charts/claim.scxml */
#define UNCLAIMED 0
#define CLAIMED   1
#define COMPLETED 2          /* not reached here: answers are left out */
#define VOIDED    3

/* Life of an attempt at its dispatcher */
#define CLAIMING 0
#define RAN      1
#define RELEASED 2

#define NOBODY 7

/* What an old replica answered to a new one */
#define NOTHING      0
#define WITH_STATE   1
#define EMPTY_BEFORE 2      /* it lost its memory; the key was born later */
#define EMPTY_AFTER  3      /* it lost its memory after the key was born */

bool born;                               /* the key exists, and callers send it */
bool changed;                            /* the new epoch is written */

/* Replicas */
bool silent[REPLICAS];                   /* emptied (old), not settled yet (new) */
bool emptied[2];                         /* new replica lost its memory; index n - 3 */
bool sealed[GROUP];                      /* votes no more in the old epoch */
byte state[REPLICAS];
byte holder[REPLICAS];
byte tombstones[REPLICAS];
byte life[REPLICAS];
byte known[GROUP * GROUP];               /* lives of the old replicas as each of them knows them */

/* The answer that a new replica holds while it waits for a second one; index n - 3 */
byte answer[2];
byte answerFrom[2];
byte answerState[2];
byte answerHolder[2];
byte answerTombstones[2];
byte answerLife[2];
byte answerKnown[6];                     /* the answerer's view of the three old replicas */

byte vote[2 * GROUP * LIVES];            /* in the old epoch; as in claim.pml */
byte newVotes;                           /* bit n - 3: replica n voted for attempt 2 */
byte attempt[ATTEMPTS];
bool quorum[ATTEMPTS];
byte crashes;
byte runs;
bool touched;                            /* something has happened to an old replica */
bool claimed;                            /* an old replica has recorded a claim */
bool asked;                              /* a new replica has asked */

/* What the step being taken is about, as in claim.pml; always 0 between steps. */
byte theAttempt, theReplica, theOther;
#define CHOOSE(a, r, condition) :: condition -> theAttempt = a; theReplica = r
#define CHOOSE_PAIR(r, o, condition) :: condition -> theReplica = r; theOther = o
#define STEP_IS_TAKEN theAttempt = 0; theReplica = 0; theOther = 0

/* Scratch, always 0 between steps */
byte j, k, m, withState;
bool lost;
byte mergedState, mergedHolder, mergedTombstones;

#define IS_NEW(r)    ((r) >= GROUP)
#define NEXT(r)      (((r) + 1) % GROUP)
#define AFTER(r)     (((r) + 2) % GROUP)
#define KNOWN(r, q)  known[(r) * GROUP + (q)]
#define VOTE(a, r, l) vote[((a) * GROUP + (r)) * LIVES + (l)]
/* The life of old replica q that the vote v of old replica r knows */
#define VIEW(v, r, q) (((q) == NEXT(r)) -> (((v) - 1) / 3) : (((v) - 1) % 3))
#define BIT(n)       (1 << (n))

#ifdef WITHOUT_CRASH_VECTORS
#define CONSISTENT(v, r, l, w, q, n) true
#else
#define CONSISTENT(v, r, l, w, q, n) ((l) >= VIEW(w, q, r) && (n) >= VIEW(v, r, q))
#endif

inline forgetVotes(a) {
  m = 0;
  do
  :: m < GROUP * LIVES -> vote[(a) * GROUP * LIVES + m] = 0; m++
  :: else -> break
  od;
  m = 0
}

inline sendOldVote(a, r) {
  if
  :: attempt[a] == CLAIMING && !quorum[a] && VOTE(a, r, life[r]) == 0 ->
     VOTE(a, r, life[r]) = 1 + 3 * KNOWN(r, NEXT(r)) + KNOWN(r, AFTER(r));
     j = 0;
     do
     :: j < GROUP ->
        k = 0;
        do
        :: k < LIVES ->
           if
           :: j != r && VOTE(a, j, k) != 0 &&
              CONSISTENT(VOTE(a, r, life[r]), r, life[r], VOTE(a, j, k), j, k) ->
              quorum[a] = true
           :: else
           fi;
           k++
        :: else -> break
        od;
        j++
     :: else -> break
     od;
     j = 0; k = 0;
     if
     :: quorum[a] -> forgetVotes(a)
     :: else
     fi
  :: else
  fi
}

inline sendNewVote(r) {
  if
  :: attempt[2] == CLAIMING && !quorum[2] ->
     newVotes = newVotes | BIT((r) - GROUP);
     if
     :: newVotes == 3 -> quorum[2] = true; newVotes = 0
     :: else
     fi
  :: else
  fi
}

#define IS_SENT(a) (born && ((a) < 2 || changed))

/* A claim of attempt a of the old epoch reaches the old replica r. */
#define IF_OLD_CLAIM_ARRIVES(a, r) CHOOSE(a, r, (IS_SENT(a) && !silent[r] && !sealed[r] && \
    state[r] == UNCLAIMED && !(tombstones[r] & BIT(a)) && (touched || r == 0) && \
    (claimed || a == 0)))
#define IF_OLD_CLAIM_ARRIVES_AGAIN(a, r) CHOOSE(a, r, (attempt[a] == CLAIMING && !quorum[a] && \
    !silent[r] && !sealed[r] && state[r] == CLAIMED && holder[r] == a && \
    VOTE(a, r, life[r]) == 0))

inline recordOldClaim(a, r) {
  state[r] = CLAIMED;
  d_step { holder[r] = a; touched = true; claimed = true; sendOldVote(a, r) }
}

/* A claim of attempt 2 reaches the new replica r. */
#define IF_NEW_CLAIM_ARRIVES(r) CHOOSE(2, r, (IS_SENT(2) && !silent[r] && state[r] == UNCLAIMED))

inline recordNewClaim(r) {
  state[r] = CLAIMED;
  d_step { holder[r] = 2; sendNewVote(r) }
}

/* A release of an attempt of the old epoch reaches a replica of either epoch. Its tombstone is of
   account in the old epoch only, and a release of attempt 2 frees nobody's way. */
#define IF_RELEASE_ARRIVES(a, r) CHOOSE(a, r, (attempt[a] == RELEASED && !silent[r] && \
    state[r] < COMPLETED && \
    ((!IS_NEW(r) && !(tombstones[r] & BIT(a))) || (state[r] == CLAIMED && holder[r] == a))))

inline recordRelease(a, r) {
  tombstones[r] = (IS_NEW(r) -> 0 : (tombstones[r] | BIT(a)));
  if
  :: state[r] == CLAIMED && holder[r] == a ->
     state[r] = UNCLAIMED;
     holder[r] = NOBODY
  :: else
  fi
}

/* Granted and dispatched; the votes are counted at the last moment, the worst for the protocol. */
#define IF_GRANTED(a) CHOOSE(a, 0, (attempt[a] == CLAIMING && quorum[a]))
/* Given up by timeout, or because another attempt is in the way. */
#define IF_CLAIMING(a) CHOOSE(a, 0, (IS_SENT(a) && attempt[a] == CLAIMING))

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

inline giveUp(a) {
  attempt[a] = RELEASED; quorum[a] = false;
  if
  :: a < 2 -> forgetVotes(a)
  :: else -> newVotes = 0
  fi
}

/* Adds one source to the merge. */
inline mergeSource(sourceState, sourceHolder) {
  if
  :: sourceState == VOIDED -> mergedState = VOIDED
  :: sourceState == CLAIMED && mergedState != VOIDED && !(mergedTombstones & BIT(sourceHolder)) ->
     if
     :: mergedState == UNCLAIMED -> mergedState = CLAIMED; mergedHolder = sourceHolder
#ifndef WITHOUT_VOIDING
     :: mergedState == CLAIMED && mergedHolder != sourceHolder ->
        mergedState = VOIDED
#endif
     :: else
     fi
  :: else
  fi
}

/* The merged record becomes that of replica r. */
inline adopt(r) {
  if
  :: lost ->
     state[r] = VOIDED
  :: else -> state[r] = mergedState
  fi;
  d_step {
    holder[r] = (state[r] == CLAIMED -> mergedHolder : NOBODY);
    tombstones[r] = (state[r] == VOIDED || IS_NEW(r) -> 0 : mergedTombstones);
    silent[r] = false;
    mergedState = 0; mergedHolder = 0; mergedTombstones = 0; lost = false
  }
}

/* An emptied old replica recovers from both others, here in one step (claim.pml takes the answers
   apart). Sealed replicas give no records for the old epoch. */
#define IF_MAY_RECOVER(r) CHOOSE(0, r, (silent[r] && !silent[NEXT(r)] && !silent[AFTER(r)] && \
    !sealed[0] && !sealed[1] && !sealed[2]))

inline recover(r) {
  d_step {
    KNOWN(NEXT(r), r) = life[r]; KNOWN(AFTER(r), r) = life[r];
    KNOWN(r, NEXT(r)) = life[NEXT(r)]; KNOWN(r, AFTER(r)) = life[AFTER(r)];
    mergedTombstones = tombstones[NEXT(r)] | tombstones[AFTER(r)]
  };
  mergeSource(state[NEXT(r)], holder[NEXT(r)]);
  mergeSource(state[AFTER(r)], holder[AFTER(r)]);
  adopt(r)
}

#ifdef WITHOUT_BIRTH_CHECK
#define IS_LOST false
#else
#define IS_LOST born
#endif

/* An old replica gives its recovery up: a key born before is granted to nobody. */
#define IF_MAY_GIVE_UP(r) CHOOSE(0, r, (silent[r] && !sealed[r]))

inline giveUpRecovery(r) {
  lost = IS_LOST;
  adopt(r)
}

inline forgetAnswer(n) {
  answer[(n) - GROUP] = NOTHING; answerFrom[(n) - GROUP] = 0; answerState[(n) - GROUP] = 0;
  answerHolder[(n) - GROUP] = 0; answerTombstones[(n) - GROUP] = 0; answerLife[(n) - GROUP] = 0;
  answerKnown[((n) - GROUP) * 3] = 0; answerKnown[((n) - GROUP) * 3 + 1] = 0;
  answerKnown[((n) - GROUP) * 3 + 2] = 0
}

/* Replica r loses its memory. A node that restarts knows the newest configuration, so that an old
   replica that restarts after the change takes no more part in its epoch. */
#define IF_OLD_MAY_CRASH(r) CHOOSE(0, r, (crashes < MAX_CRASHES && (touched || r == 0)))
#define IF_NEW_MAY_CRASH(n) CHOOSE(0, n, (crashes < MAX_NEW_CRASHES && changed))

inline crashOld(r) {
  touched = true;
  crashes++;
  life[r]++;
  silent[r] = true;
  sealed[r] = changed;
  state[r] = UNCLAIMED; holder[r] = NOBODY; tombstones[r] = 0;
  KNOWN(r, NEXT(r)) = 0; KNOWN(r, AFTER(r)) = 0
}

inline crashNew(n) {
  crashes++;
  silent[n] = true;
  emptied[n - GROUP] = true;
  state[n] = UNCLAIMED; holder[n] = NOBODY; tombstones[n] = 0;
  forgetAnswer(n)
}

#ifdef WITHOUT_SEALING
#define SEAL_AT(o) skip
#else
#define SEAL_AT(o) sealed[o] = true
#endif
#define KIND(o) (silent[o] -> (born -> EMPTY_AFTER : EMPTY_BEFORE) : WITH_STATE)

#define HELD(n) answer[(n) - GROUP]
#define HELD_FROM(n) answerFrom[(n) - GROUP]
#ifdef WITHOUT_CRASH_VECTORS
#define HELD_IS_CURRENT(n, o) true
#else
/* The answer held is not of a life that old replica o knows to have ended, nor the other way. An
   empty replica knows nothing yet. */
#define HELD_IS_CURRENT(n, o) \
  ((silent[o] || answerLife[(n) - GROUP] >= KNOWN(o, HELD_FROM(n))) && \
   life[o] >= answerKnown[((n) - GROUP) * 3 + (o)])
#endif

/* The new replica n asks the old replica o, which seals its epoch and answers. A first answer is
   held; so is one that shows the answer held to be out of date. */
#define IF_MAY_ASK(n, o) CHOOSE_PAIR(n, o, (changed && silent[n] && (touched || o == 0) && \
    (asked || n == GROUP) && \
    (HELD(n) == NOTHING || HELD_FROM(n) == o || !HELD_IS_CURRENT(n, o)) && \
    !(HELD(n) != NOTHING && HELD_FROM(n) == o && answerLife[n - GROUP] == life[o])))

inline holdAnswer(n, o) {
  touched = true;
  asked = true;
  SEAL_AT(o);
  forgetAnswer(n);
  HELD(n) = KIND(o);
  HELD_FROM(n) = o;
  answerLife[n - GROUP] = life[o];
  if
  :: silent[o]
  :: else ->
     answerState[n - GROUP] = state[o];
     answerHolder[n - GROUP] = holder[o];
     answerTombstones[n - GROUP] = tombstones[o];
     answerKnown[(n - GROUP) * 3] = KNOWN(o, 0);
     answerKnown[(n - GROUP) * 3 + 1] = KNOWN(o, 1);
     answerKnown[(n - GROUP) * 3 + 2] = KNOWN(o, 2)
  fi
}

/* With the answer of a second old replica the new replica n takes over. */
#define IF_MAY_SETTLE(n, o) CHOOSE_PAIR(n, o, (changed && silent[n] && HELD(n) != NOTHING && \
    HELD_FROM(n) != o && HELD_IS_CURRENT(n, o)))

inline settle(n, o) {
  d_step {
    SEAL_AT(o);
    withState = (HELD(n) == WITH_STATE) + (KIND(o) == WITH_STATE);
    lost = withState < 2 && IS_LOST && (HELD(n) == EMPTY_AFTER || KIND(o) == EMPTY_AFTER);
    lost = lost || (emptied[n - GROUP] && IS_LOST);
    withState = 0;
    mergedTombstones = answerTombstones[n - GROUP] | tombstones[o]
  };
  mergeSource(answerState[n - GROUP], answerHolder[n - GROUP]);
  mergeSource(state[o], holder[o]);
  adopt(n);
  d_step { forgetAnswer(n) }
}

#ifdef WITHOUT_SEAL_MAJORITY
/* One answer is taken to be enough. */
#define IF_SETTLES_EARLY(n) CHOOSE(0, n, (changed && silent[n] && HELD(n) == WITH_STATE))

inline settleEarly(n) {
  mergedTombstones = answerTombstones[n - GROUP];
  mergeSource(answerState[n - GROUP], answerHolder[n - GROUP]);
  adopt(n);
  d_step { forgetAnswer(n) }
}
#endif

#define ANY_OLD(IF) IF(0) IF(1) IF(2)
#define ANY_NEW(IF) IF(3) IF(4)
#define ANY_ATTEMPT(IF) IF(0) IF(1) IF(2)
#define ANY_OLD_ATTEMPT_AT_OLD(IF) IF(0, 0) IF(0, 1) IF(0, 2) IF(1, 0) IF(1, 1) IF(1, 2)
#define ANY_OLD_ATTEMPT_AT_NEW(IF) IF(0, 3) IF(0, 4) IF(1, 3) IF(1, 4)
#define ANY_NEW_AND_OLD(IF) IF(3, 0) IF(3, 1) IF(3, 2) IF(4, 0) IF(4, 1) IF(4, 2)

active proctype system() {
  d_step {
    holder[0] = NOBODY; holder[1] = NOBODY; holder[2] = NOBODY;
    holder[3] = NOBODY; holder[4] = NOBODY;
    silent[3] = true; silent[4] = true
  }
end:
  do
  :: d_step { !born -> born = true }
  :: d_step { !changed -> changed = true }
#ifdef WITHOUT_SEAL_MAJORITY
  :: atomic { if ANY_NEW(IF_SETTLES_EARLY) fi;
       settleEarly(theReplica); d_step { STEP_IS_TAKEN } }
#endif
  :: atomic { if ANY_ATTEMPT(IF_GRANTED) fi;
       d_step { dispatch(theAttempt); STEP_IS_TAKEN } }
  :: atomic { if ANY_OLD_ATTEMPT_AT_OLD(IF_OLD_CLAIM_ARRIVES_AGAIN) fi;
       d_step { sendOldVote(theAttempt, theReplica); STEP_IS_TAKEN } }
  :: atomic { if ANY_NEW(IF_NEW_CLAIM_ARRIVES) fi;
       recordNewClaim(theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_NEW_AND_OLD(IF_MAY_SETTLE) fi;
       settle(theReplica, theOther); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_OLD(IF_OLD_MAY_CRASH) fi;
       d_step { crashOld(theReplica); STEP_IS_TAKEN } }
  :: atomic { if ANY_OLD_ATTEMPT_AT_OLD(IF_OLD_CLAIM_ARRIVES) fi;
       recordOldClaim(theAttempt, theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_NEW_AND_OLD(IF_MAY_ASK) fi;
       d_step { holdAnswer(theReplica, theOther); STEP_IS_TAKEN } }
  :: atomic { if ANY_OLD(IF_MAY_RECOVER) fi;
       recover(theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_OLD(IF_MAY_GIVE_UP) fi;
       giveUpRecovery(theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_NEW(IF_NEW_MAY_CRASH) fi;
       d_step { crashNew(theReplica); STEP_IS_TAKEN } }
  :: atomic { if ANY_OLD_ATTEMPT_AT_OLD(IF_RELEASE_ARRIVES)
                 ANY_OLD_ATTEMPT_AT_NEW(IF_RELEASE_ARRIVES) fi;
       recordRelease(theAttempt, theReplica); d_step { STEP_IS_TAKEN } }
  :: atomic { if ANY_ATTEMPT(IF_CLAIMING) fi;
       d_step { refuse(theAttempt); STEP_IS_TAKEN } }
  od
}
