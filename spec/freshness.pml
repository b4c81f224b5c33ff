/*
 * Freshness of the rows on a node that takes them from a reader (src/peers/, src/gateway/).
 *
 * Models: a store in which a key is taken away at some instant; a reader that reads the store, each
 * call taking any time and answered with what lay there at some instant of it; a node that asks the
 * reader and serves requests with the key while its proof is young enough; a reader that also tells
 * unasked. Any process may stand still between two steps while time goes on, and messages may be
 * under way for any time.
 *
 * Leaves out: versions other than "with the key" and "without", several readers (they share nothing),
 * and clocks that run unevenly (the bound has a margin for that).
 *
 * Checked: no request that was sent later than the bound after the key was taken away is served.
 */
#define END 6
#define BOUND 2

byte now;
bool hasKey = true;
byte takenAway;      /* when; meaningful once the key is gone */

/* The reader. */
bool readerKnows;
bool readerKey;
byte readerProof;

/* Messages: a question and what comes back, or comes unasked. */
bool asked;
byte askedAt;
bool underWay;
bool answerKey;
byte answerAge;
bool isUnasked;

/* The node. */
bool nodeKnows;
bool nodeKey;
byte nodeProof;

active proctype Time() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype Operator() {
  atomic { now > 0 -> hasKey = false; takenAway = now }
}

active proctype Reader() {
  byte startedAt;
  bool found;
  do
  :: now == END -> break
  :: now < END ->
     startedAt = now;
     found = hasKey;   /* Time may pass before this and after it. */
     atomic {
       readerKnows = true;
       readerKey = found;
#ifdef WITHOUT_START_OF_CALL
       readerProof = now;
#else
       readerProof = startedAt;
#endif
       startedAt = 0;
       found = false
     }
  :: atomic { asked && readerKnows && !underWay ->
       asked = false;
       underWay = true;
       isUnasked = false;
       answerKey = readerKey;
       answerAge = now - readerProof }
  :: atomic { !asked && readerKnows && !underWay ->
       underWay = true;
       isUnasked = true;
       answerKey = readerKey;
       answerAge = now - readerProof }
  od
}

inline takeAnswer() {
  atomic {
    underWay ->
    underWay = false;
    if
#ifndef WITHOUT_DISTRUST_OF_UNASKED
    :: isUnasked && nodeKnows && nodeKey == answerKey -> skip
    :: isUnasked && nodeKnows && nodeKey != answerKey -> nodeKey = nodeKey && answerKey
    :: isUnasked && !nodeKnows -> skip
#else
    :: isUnasked -> nodeKnows = true; nodeKey = answerKey; nodeProof = now - answerAge
#endif
    :: !isUnasked ->
       nodeKnows = true;
       nodeKey = answerKey;
#ifdef WITHOUT_TIME_OF_QUESTION
       nodeProof = now - answerAge
#else
       nodeProof = (askedAt > answerAge -> askedAt - answerAge : 0)
#endif
    fi
  }
}

active proctype Node() {
  byte sentAt;
  do
  :: now == END -> break
  :: !asked && !underWay -> atomic { asked = true; askedAt = now }
  :: takeAnswer()
  :: now < END ->
     sentAt = now;     /* A request is sent; the node looks at it when it gets to it. */
     atomic {
       if
#ifdef WITHOUT_AGE
       :: nodeKnows && nodeKey ->
#else
       :: nodeKnows && nodeKey && now - nodeProof <= BOUND ->
#endif
          assert(hasKey || sentAt <= takenAway + BOUND)
       :: else
       fi;
       sentAt = 0
     }
  od
}
