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
#define ON_OLD_CLAIM(a, r) \
  :: atomic { IS_SENT(a) && !silent[r] && !sealed[r] && state[r] == UNCLAIMED && \
       !(tombstones[r] & BIT(a)) && (touched || r == 0) && (claimed || a == 0) -> \
       recordOldClaim(a, r) } \
  :: d_step { attempt[a] == CLAIMING && !quorum[a] && !silent[r] && !sealed[r] && \
       state[r] == CLAIMED && holder[r] == a && VOTE(a, r, life[r]) == 0 -> \
       sendOldVote(a, r) }

inline recordOldClaim(a, r) {
  /* chart claim: unclaimed -claim-> claimed */
  state[r] = CLAIMED;
  d_step { holder[r] = a; touched = true; claimed = true; sendOldVote(a, r) }
}

/* A claim of attempt 2 reaches the new replica r. */
#define ON_NEW_CLAIM(r) \
  :: atomic { IS_SENT(2) && !silent[r] && state[r] == UNCLAIMED -> recordNewClaim(r) }

inline recordNewClaim(r) {
  /* chart claim: unclaimed -claim-> claimed */
  state[r] = CLAIMED;
  d_step { holder[r] = 2; sendNewVote(r) }
}

/* A release of an attempt of the old epoch reaches a replica of either epoch. Its tombstone is of
   account in the old epoch only, and a release of attempt 2 frees nobody's way. */
#define ON_RELEASE(a, r) \
  :: atomic { attempt[a] == RELEASED && !silent[r] && state[r] < COMPLETED && \
       ((!IS_NEW(r) && !(tombstones[r] & BIT(a))) || (state[r] == CLAIMED && holder[r] == a)) -> \
       recordRelease(a, r) }

inline recordRelease(a, r) {
  tombstones[r] = (IS_NEW(r) -> 0 : (tombstones[r] | BIT(a)));
  if
  :: state[r] == CLAIMED && holder[r] == a ->
     /* chart claim: claimed -release-> unclaimed */
     state[r] = UNCLAIMED;
     holder[r] = NOBODY
  :: else
  fi
}

#define DISPATCHER(a) \
  /* granted and dispatched: it counts the votes at the last moment, the worst for it */ \
  :: d_step { attempt[a] == CLAIMING && quorum[a] -> \
       attempt[a] = RAN; quorum[a] = false; runs++; assert(runs <= 1) } \
  /* given up; a refusal with "not run" only if it had been granted */ \
  :: d_step { IS_SENT(a) && attempt[a] == CLAIMING -> \
       assert(!quorum[a] || runs == 0); giveUp(a) }

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
        /* chart claim: claimed -void-> voided */
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
     /* chart claim: unclaimed -void-> voided */
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
#define RECOVER(r) \
  :: atomic { silent[r] && !silent[NEXT(r)] && !silent[AFTER(r)] && \
       !sealed[0] && !sealed[1] && !sealed[2] -> \
       KNOWN(NEXT(r), r) = life[r]; KNOWN(AFTER(r), r) = life[r]; \
       KNOWN(r, NEXT(r)) = life[NEXT(r)]; KNOWN(r, AFTER(r)) = life[AFTER(r)]; \
       mergedTombstones = tombstones[NEXT(r)] | tombstones[AFTER(r)]; \
       mergeSource(state[NEXT(r)], holder[NEXT(r)]); \
       mergeSource(state[AFTER(r)], holder[AFTER(r)]); \
       adopt(r) }

#ifdef WITHOUT_BIRTH_CHECK
#define IS_LOST false
#else
#define IS_LOST born
#endif

/* An old replica gives its recovery up: a key born before is granted to nobody. */
#define OLD_GIVES_UP(r) \
  :: atomic { silent[r] && !sealed[r] -> lost = IS_LOST; adopt(r) }

inline forgetAnswer(n) {
  answer[(n) - GROUP] = NOTHING; answerFrom[(n) - GROUP] = 0; answerState[(n) - GROUP] = 0;
  answerHolder[(n) - GROUP] = 0; answerTombstones[(n) - GROUP] = 0; answerLife[(n) - GROUP] = 0;
  answerKnown[((n) - GROUP) * 3] = 0; answerKnown[((n) - GROUP) * 3 + 1] = 0;
  answerKnown[((n) - GROUP) * 3 + 2] = 0
}

/* Replica r loses its memory. A node that restarts knows the newest configuration, so that an old
   replica that restarts after the change takes no more part in its epoch. */
#define CRASH_OLD(r) \
  :: d_step { crashes < MAX_CRASHES && (touched || r == 0) -> \
       touched = true; \
       crashes++; life[r]++; silent[r] = true; sealed[r] = changed; \
       state[r] = UNCLAIMED; holder[r] = NOBODY; tombstones[r] = 0; \
       KNOWN(r, NEXT(r)) = 0; KNOWN(r, AFTER(r)) = 0 }
#define CRASH_NEW(n) \
  :: d_step { crashes < MAX_NEW_CRASHES && changed -> \
       crashes++; silent[n] = true; emptied[(n) - GROUP] = true; \
       state[n] = UNCLAIMED; holder[n] = NOBODY; tombstones[n] = 0; \
       forgetAnswer(n) }

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
#define SEAL(n, o) \
  :: d_step { changed && silent[n] && (touched || o == 0) && (asked || n == GROUP) && \
       (HELD(n) == NOTHING || HELD_FROM(n) == o || !HELD_IS_CURRENT(n, o)) && \
       !(HELD(n) != NOTHING && HELD_FROM(n) == o && answerLife[(n) - GROUP] == life[o]) -> \
       touched = true; asked = true; \
       SEAL_AT(o); \
       forgetAnswer(n); \
       HELD(n) = KIND(o); HELD_FROM(n) = o; answerLife[(n) - GROUP] = life[o]; \
       if \
       :: silent[o] \
       :: else -> \
          answerState[(n) - GROUP] = state[o]; answerHolder[(n) - GROUP] = holder[o]; \
          answerTombstones[(n) - GROUP] = tombstones[o]; \
          answerKnown[((n) - GROUP) * 3] = KNOWN(o, 0); \
          answerKnown[((n) - GROUP) * 3 + 1] = KNOWN(o, 1); \
          answerKnown[((n) - GROUP) * 3 + 2] = KNOWN(o, 2) \
       fi }

/* With the answer of a second old replica the new replica n takes over. */
#define SETTLE(n, o) \
  :: atomic { changed && silent[n] && HELD(n) != NOTHING && HELD_FROM(n) != o && \
       HELD_IS_CURRENT(n, o) -> \
       SEAL_AT(o); \
       withState = (HELD(n) == WITH_STATE) + (KIND(o) == WITH_STATE); \
       lost = withState < 2 && IS_LOST && (HELD(n) == EMPTY_AFTER || KIND(o) == EMPTY_AFTER); \
       mergedTombstones = answerTombstones[(n) - GROUP] | tombstones[o]; \
       mergeSource(answerState[(n) - GROUP], answerHolder[(n) - GROUP]); \
       mergeSource(state[o], holder[o]); \
       lost = lost || (emptied[(n) - GROUP] && IS_LOST); \
       withState = 0; \
       adopt(n); forgetAnswer(n) }

#ifdef WITHOUT_SEAL_MAJORITY
/* One answer is taken to be enough. */
#define SETTLE_EARLY(n) \
  :: atomic { changed && silent[n] && HELD(n) == WITH_STATE -> \
       mergedTombstones = answerTombstones[(n) - GROUP]; \
       mergeSource(answerState[(n) - GROUP], answerHolder[(n) - GROUP]); \
       adopt(n); forgetAnswer(n) }
#else
#define SETTLE_EARLY(n)
#endif

#define FOR_OLD(STEP, a) STEP(a, 0) STEP(a, 1) STEP(a, 2)
#define FOR_ALL(STEP, a) FOR_OLD(STEP, a) STEP(a, 3) STEP(a, 4)

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
  CRASH_OLD(0) CRASH_OLD(1) CRASH_OLD(2) CRASH_NEW(3) CRASH_NEW(4)
  SETTLE_EARLY(3) SETTLE_EARLY(4)
  SETTLE(3, 0) SETTLE(3, 1) SETTLE(3, 2) SETTLE(4, 0) SETTLE(4, 1) SETTLE(4, 2)
  SEAL(3, 0) SEAL(3, 1) SEAL(3, 2) SEAL(4, 0) SEAL(4, 1) SEAL(4, 2)
  RECOVER(0) RECOVER(1) RECOVER(2)
  OLD_GIVES_UP(0) OLD_GIVES_UP(1) OLD_GIVES_UP(2)
  ON_NEW_CLAIM(3) ON_NEW_CLAIM(4)
  FOR_OLD(ON_OLD_CLAIM, 0) FOR_OLD(ON_OLD_CLAIM, 1)
  DISPATCHER(0) DISPATCHER(1) DISPATCHER(2)
  FOR_ALL(ON_RELEASE, 0) FOR_ALL(ON_RELEASE, 1)
  od
}
