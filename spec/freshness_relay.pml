/*
 * Freshness of the rows on a node that takes them from a reader over a relay (src/peers/,
 * src/gateway/); freshness.pml has what is told unasked.
 *
 * Models: a store in which a key is taken away at some instant; a reader that reads the store, each
 * call taking any time and answered with what lay there at some instant of it; a relay that asks the
 * reader, and a node that asks the relay and serves requests with the key while its proof is young
 * enough. Any process may stand still between two steps while time goes on, and messages may be
 * under way for any time.
 *
 * Leaves out: versions other than "with the key" and "without", several readers and relays (they
 * share nothing), and clocks that run unevenly (the bound has a margin for that).
 *
 * Checked: no request that was sent later than the bound after the key was taken away is served.
 */
#define END 4
#define BOUND 1

/* Who knows of the key, from the store downwards; each but the first asks the one before it. */
#define READER 0
#define RELAY 1
#define NODE 2
#define KNOWERS 3

byte now;
bool hasKey = true;
byte takenAway;      /* when; meaningful once the key is gone */

bool knows[KNOWERS];
bool key[KNOWERS];
byte proof[KNOWERS];

/* The question of one knower to the one above, and what comes back. */
bool asked[KNOWERS];
byte askedAt[KNOWERS];
bool underWay[KNOWERS];
bool answerKey[KNOWERS];
byte answerAge[KNOWERS];

active proctype Time() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype Operator() {
  atomic { now > 0 -> hasKey = false; takenAway = now }
}

/* One knower answers the question of the one below it. */
inline tell(teller) {
  atomic { asked[teller + 1] && knows[teller] && !underWay[teller + 1] ->
    asked[teller + 1] = false;
    underWay[teller + 1] = true;
    answerKey[teller + 1] = key[teller];
    answerAge[teller + 1] = now - proof[teller] }
}

inline ask(asker) {
  atomic { !asked[asker] && !underWay[asker] -> asked[asker] = true; askedAt[asker] = now }
}

inline takeAnswer(asker) {
  atomic {
    underWay[asker] ->
    underWay[asker] = false;
    knows[asker] = true;
    key[asker] = answerKey[asker];
#ifdef WITHOUT_TIME_OF_QUESTION
    proof[asker] = now - answerAge[asker];
#else
#ifdef WITHOUT_AGE_BEFORE_THE_RELAY
    /* A relay tells how old its own copy is, not how old it was when it came. */
    proof[asker] = (asker == RELAY -> askedAt[asker] :
                    (askedAt[asker] > answerAge[asker] -> askedAt[asker] - answerAge[asker] : 0));
#else
    proof[asker] = (askedAt[asker] > answerAge[asker] -> askedAt[asker] - answerAge[asker] : 0);
#endif
#endif
    answerKey[asker] = false;
    answerAge[asker] = 0;
    askedAt[asker] = 0
  }
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
       knows[READER] = true;
       key[READER] = found;
#ifdef WITHOUT_START_OF_CALL
       proof[READER] = now;
#else
       proof[READER] = startedAt;
#endif
       startedAt = 0;
       found = false
     }
  :: tell(READER)
  od
}

active proctype Relay() {
  do
  :: now == END -> break
  :: ask(RELAY)
  :: takeAnswer(RELAY)
  :: tell(RELAY)
  od
}

active proctype Node() {
  byte sentAt;
  do
  :: now == END -> break
  :: ask(NODE)
  :: takeAnswer(NODE)
  :: now < END ->
     sentAt = now;     /* A request is sent; the node looks at it when it gets to it. */
     atomic {
       if
#ifdef WITHOUT_AGE
       :: knows[NODE] && key[NODE] ->
#else
       :: knows[NODE] && key[NODE] && now - proof[NODE] <= BOUND ->
#endif
          assert(hasKey || sentAt <= takenAway + BOUND)
       :: else
       fi;
       sentAt = 0
     }
  od
}
