/*
 * Orders to an engine and requests placed from views of it (src/engine/, src/prefix/).
 *
 * Models: one engine with incarnations, weights and a prefix cache; a lease in the platform's
 * versioned store whose version is the fencing token; HOLDERS nodes that take the lease and whose
 * orders arrive at any time later, in any order and twice, as those of a holder do that was paused
 * past its lease; a node that knows the engine by late reports and cache events, and places two
 * requests of any tenants, one after the other, which arrive late too. KV blocks may be kept outside and imported again.
 * Faults: the engine crashes and comes back empty, also without its highest token; reports and
 * events are lost or late; the node takes the engine for failed, silent, leaving or gone.
 *
 * Leaves out: time (a lease may lapse at any moment; that it lapses on its holder's clock before the
 * next holder takes it is taken for granted), the depth of matches (one block for each
 * tenant and weights version), several engines, and the second, warm owner.
 *
 * Checked: an order that is carried out has no lower token than any carried out before it, in
 * whichever incarnation; a request runs only in the incarnation and with the weights that it was
 * placed for, and uses only blocks of its own tenant and weights; a view holds only blocks of the
 * incarnation that it is of; where nothing more can happen, every request has ended.
 */
#define HOLDERS 2
#define MAX_TOKEN 2
#define MAX_CRASHES 1
#define MAX_DISTRUST 2 /* wrong or late knowledge of the node, in all */
#define TENANTS 2
#define BLOCK(tenant, weights) (1 << ((weights - 1) * TENANTS + tenant))
#define ALL_BLOCKS 15

mtype:engine = { suspect, live, loading, leaving, dead, gone };

/* The engine. */
byte incarnation = 1;
byte weights = 1;
bool isLoading;
byte highestToken;
byte cache;                    /* set of BLOCKs */
byte crashes;

/* The platform's lease and the holders' orders. */
byte leaseToken;
byte token[HOLDERS];
byte orderToken[HOLDERS];      /* of the order under way; 0: none */
byte orderIncarnation[HOLDERS];
byte orderWeights[HOLDERS];
byte highestCarriedOut;

/* The node's knowledge. */
mtype:engine engineState = suspect;
byte knownIncarnation = 1;
byte knownWeights = 1;
byte view;                     /* blocks believed cached */
bool viewIsStale;              /* some of them are of another incarnation */
byte eventBlock;               /* cache event under way; 0: none */
byte eventIncarnation;
byte distrust;

byte finishedRequests;

/* Takes the lease when it lapsed, or takes it again: a new version, hence a higher token. */
inline takeLease(holder) {
  leaseToken++;
  token[holder] = leaseToken
}

/* The holder writes the order and last of all looks at its lease by its own clock; from there on it
 * may be paused for as long as it likes. */
inline sendOrder(holder) {
  orderToken[holder] = token[holder];
  if
  :: orderIncarnation[holder] = incarnation
  :: orderIncarnation[holder] = knownIncarnation
  fi;
  if
  :: orderWeights[holder] = 1
  :: orderWeights[holder] = 2
  fi
}

inline carryOut(holder) {
  if
#ifndef WITHOUT_INCARNATION_IN_ORDER
  :: orderIncarnation[holder] != incarnation -> skip
#endif
#ifndef WITHOUT_FENCING
  :: orderToken[holder] < highestToken -> skip
#endif
  :: else ->
     assert(orderToken[holder] >= highestCarriedOut);
     highestToken = orderToken[holder];
     highestCarriedOut = orderToken[holder];
     isLoading = (orderWeights[holder] != weights);
     weights = orderWeights[holder]
  fi
}

#ifdef WITHOUT_OWN_CLOCK
#define mayOrder(holder) (token[holder] > 0 && orderToken[holder] == 0)
#else
#define mayOrder(holder) \
  (token[holder] > 0 && token[holder] == leaseToken && orderToken[holder] == 0)
#endif

proctype Holder(byte holder) {
end_idle:
  do
  :: atomic { leaseToken < MAX_TOKEN -> takeLease(holder) }
  :: atomic { mayOrder(holder) -> sendOrder(holder) }
  :: atomic { orderToken[holder] > 0 -> carryOut(holder) } /* and it may come once more */
  :: atomic { orderToken[holder] > 0 ->
       orderToken[holder] = 0; orderIncarnation[holder] = 0; orderWeights[holder] = 0;
       token[holder] = 0 }
  od
}

/* The node's knowledge of the engine. */

inline takeReport() {
  assert(knownIncarnation <= incarnation);
  if
#ifndef WITHOUT_CLEARED_VIEW
  :: knownIncarnation != incarnation -> view = 0; viewIsStale = false
#endif
  :: else -> viewIsStale = viewIsStale || (knownIncarnation != incarnation && view != 0)
  fi;
  knownIncarnation = incarnation;
  knownWeights = weights;
  if
  :: isLoading && engineState == suspect -> engineState = loading /* chart engine: suspect -report_loading-> loading */
  :: isLoading && engineState == live -> engineState = loading    /* chart engine: live -report_loading-> loading */
  :: isLoading && engineState == dead -> engineState = loading    /* chart engine: dead -report_loading-> loading */
  :: !isLoading && engineState == suspect -> engineState = live   /* chart engine: suspect -report_live-> live */
  :: !isLoading && engineState == loading -> engineState = live   /* chart engine: loading -report_live-> live */
  :: !isLoading && engineState == dead -> engineState = live      /* chart engine: dead -report_live-> live */
  :: else
  fi
}

#define reportIsNews (engineState != gone && engineState != leaving && \
  (knownIncarnation != incarnation || knownWeights != weights || \
   (isLoading && engineState != loading) || (!isLoading && engineState != live)))

inline fail() {
  if
  :: engineState == live -> engineState = suspect    /* chart engine: live -failure-> suspect */
  :: engineState == loading -> engineState = suspect /* chart engine: loading -failure-> suspect */
  :: else
  fi
}

inline fallSilent() {
  if
  :: engineState == suspect -> engineState = dead /* chart engine: suspect -silence-> dead */
  :: engineState == live -> engineState = dead    /* chart engine: live -silence-> dead */
  :: engineState == loading -> engineState = dead /* chart engine: loading -silence-> dead */
  :: else
  fi
}

inline changeList() {
  if
  :: engineState == suspect -> engineState = leaving /* chart engine: suspect -leave-> leaving */
  :: engineState == live -> engineState = leaving    /* chart engine: live -leave-> leaving */
  :: engineState == loading -> engineState = leaving /* chart engine: loading -leave-> leaving */
  :: engineState == dead -> engineState = leaving    /* chart engine: dead -leave-> leaving */
  :: engineState == leaving -> engineState = suspect /* chart engine: leaving -return-> suspect */
  :: engineState == leaving -> engineState = gone    /* chart engine: leaving -unlisted-> gone */
  :: engineState == dead -> engineState = gone       /* chart engine: dead -unlisted-> gone */
  :: else
  fi
}

inline takeEvent() {
  if
#ifndef WITHOUT_INCARNATION_IN_EVENT
  :: eventIncarnation != knownIncarnation -> skip
#endif
  :: else ->
     view = view | eventBlock;
     viewIsStale = viewIsStale || (eventIncarnation != knownIncarnation)
  fi;
  eventBlock = 0;
  eventIncarnation = 0
}

proctype Knowledge() {
end_idle:
  do
  :: atomic { reportIsNews -> takeReport() }
  :: atomic { eventBlock != 0 -> takeEvent() }
  :: atomic { eventBlock != 0 && distrust < MAX_DISTRUST -> distrust++;
       eventBlock = 0; eventIncarnation = 0 }
  :: atomic { distrust < MAX_DISTRUST -> distrust++; fail() }
  :: atomic { distrust < MAX_DISTRUST -> distrust++; fallSilent() }
  :: atomic { distrust < MAX_DISTRUST -> distrust++; changeList() }
  od
}

/* Requests. */

inline serve(tenant, placedWeights) {
  byte used;
#ifdef WITHOUT_TENANT_IN_KEY
  used = cache & (BLOCK(0, weights) | BLOCK(1, weights));
#else
#ifdef WITHOUT_WEIGHTS_IN_KEY
  used = cache & (BLOCK(tenant, 1) | BLOCK(tenant, 2));
#else
  used = cache & BLOCK(tenant, weights);
#endif
#endif
  assert(used == 0 || used == BLOCK(tenant, placedWeights));
  used = 0;
  if
  :: eventBlock == 0 && (cache & BLOCK(tenant, weights)) == 0 ->
     eventBlock = BLOCK(tenant, weights);
     eventIncarnation = incarnation
  :: else /* its event is lost */
  fi;
  cache = cache | BLOCK(tenant, weights)
}

proctype Requests() {
  byte tenant;
  byte placedIncarnation;
  byte placedWeights;
next_request:
  atomic {
    if
    :: tenant = 0
    :: tenant = 1
    fi
  }
place:
  atomic {
    if
    :: engineState == live ->
       assert(!viewIsStale);
       placedIncarnation = knownIncarnation;
       placedWeights = knownWeights
    :: timeout -> goto ended_request /* nobody can serve it */
    fi
  }
  /* On its way; anything may happen meanwhile. */
  atomic {
    if
#ifndef WITHOUT_INCARNATION_CHECK
    :: placedIncarnation != incarnation -> placedIncarnation = 0; placedWeights = 0; fail(); goto place
#endif
#ifndef WITHOUT_WEIGHTS_CHECK
    :: placedWeights != weights -> placedIncarnation = 0; placedWeights = 0; fail(); goto place
#endif
    :: isLoading -> placedIncarnation = 0; placedWeights = 0; fail(); goto place
    :: else ->
       assert(placedIncarnation == incarnation);
       assert(placedWeights == weights);
       serve(tenant, placedWeights)
    fi
  }
ended_request:
  atomic {
    finishedRequests++;
    tenant = 0;
    placedIncarnation = 0;
    placedWeights = 0;
    if
    :: finishedRequests < 2 -> goto next_request
    :: else
    fi
  }
}

active proctype Engine() {
  atomic {
    run Holder(0);
    run Holder(1);
    run Knowledge();
    run Requests()
  }
end_idle:
  do
  :: atomic { isLoading -> isLoading = false }
  :: atomic { crashes < MAX_CRASHES -> crashes++;
       incarnation++;
       weights = 1;
       isLoading = false;
       highestToken = 0;
       if
       :: cache = 0
       :: skip /* its blocks were kept outside and are imported again */
       fi }
  od
}
