/*
 * Which software version a stream goes on at (src/gateway/request_run_software, src/peers/stream_directory,
 * src/backends/software_history; docs/design/STREAM-SOFTWARE.md).
 *
 * Models: two engines under fixed ids, whose processes may be replaced at any moment by another version or the
 * same one; two nodes whose list of the engines lags behind; a record of the stream's version at each node, sent
 * when the first event is passed on, which may be lost on the way; a node may be killed and start anew at any
 * moment, without records and with the list as it is then. The stream begins at either node, breaks off, and is
 * taken up at either node, again and again.
 *
 * Leaves out: more owners than nodes, the end of records, hops (the version travels in them), and that a version
 * which has just come is not yet begun at, but by the condition that every running node has listed it.
 *
 * Checked: all events of the stream are of one version.
 */
#define ENGINES 2
#define NODES 2
#define NONE 0                    /* No version, or not known. Versions are 1 and 2. */

byte version[ENGINES];            /* Of the engine's process. */
byte life[ENGINES];
byte listed[NODES * ENGINES];     /* As each node's list shows it. */
byte listedLife[NODES * ENGINES];
bool sawFirst[NODES];             /* Versions that the node listed since it started. */
bool sawSecond[NODES];
bool runsSince[NODES];            /* The node has run since before the stream began. */
byte record[NODES];
byte wrote;                       /* The version of the stream's events; NONE: there are none. */

inline see(n, v) {
  if
  :: v == 1 -> sawFirst[n] = true
  :: v == 2 -> sawSecond[n] = true
  :: else
  fi
}

/* A node's list catches up with one engine. */
inline hear(n, e) {
  listed[n * ENGINES + e] = version[e];
  listedLife[n * ENGINES + e] = life[e];
  see(n, version[e])
}

inline start(n) {
  record[n] = NONE;
  runsSince[n] = (wrote == NONE);
  sawFirst[n] = false;
  sawSecond[n] = false;
  hear(n, 0);
  hear(n, 1)
}

inline eventOf(e) {
  assert(wrote == NONE || wrote == version[e]);
  wrote = version[e]
}

/* The only version that the stream can have begun at, as far as the node can prove it. */
inline sole(n, v) {
  if
#ifndef WITHOUT_HISTORY
  :: !runsSince[n] -> v = NONE
  :: runsSince[n] && sawFirst[n] && sawSecond[n] -> v = NONE
  :: runsSince[n] && sawFirst[n] && !sawSecond[n] -> v = 1
  :: runsSince[n] && !sawFirst[n] && sawSecond[n] -> v = 2
#else                             /* It trusts the list as it is now. */
  :: listed[n * ENGINES] == listed[n * ENGINES + 1] -> v = listed[n * ENGINES]
  :: else -> v = NONE
#endif
  fi
}

inline boundTo(n, v) {
  v = (record[0] != NONE -> record[0] : record[1]);
  if
  :: v == NONE -> sole(n, v)
  :: else
  fi
#ifdef WITHOUT_REFUSAL            /* It guesses instead. */
  ;
  if
  :: v == NONE -> v = listed[n * ENGINES]
  :: else
  fi
#endif
}

/* The process that answers is the listed one. */
#ifndef WITHOUT_PROOF
#define IS_LISTED(n, e) (listedLife[n * ENGINES + e] == life[e])
#else
#define IS_LISTED(n, e) true
#endif

/* Every running node has listed this version. */
#ifdef WITHOUT_SETTLING
#define IS_SETTLED(v) true
#else
#define IS_SETTLED(v) ((v == 1 && sawFirst[0] && sawFirst[1]) || (v == 2 && sawSecond[0] && sawSecond[1]))
#endif

active proctype Engines() {
  byte changes, e;
  do
  :: changes < 3 -> atomic {
      if :: e = 0 :: e = 1 fi;
      if :: version[e] = 1 :: version[e] = 2 fi;
      life[e]++;
      changes++
    }
  :: break
  od
}

active proctype Lists() {
end:
  do
  :: atomic { listedLife[0] != life[0] -> hear(0, 0) }
  :: atomic { listedLife[1] != life[1] -> hear(0, 1) }
  :: atomic { listedLife[2] != life[0] -> hear(1, 0) }
  :: atomic { listedLife[3] != life[1] -> hear(1, 1) }
  od
}

active proctype Kills() {
  byte kills;
  do
  :: kills < 2 -> atomic { start(0); kills++ }
  :: kills < 2 -> atomic { start(1); kills++ }
  :: break
  od
}

active proctype Stream() {
  byte tries, n, e, v;
  atomic {
    version[0] = 1; version[1] = 1;
    start(0); start(1)
  }
  do
  :: tries < 4 -> atomic {
      tries++;
      if :: n = 0 :: n = 1 fi;
      if :: e = 0 :: e = 1 fi;
      if
      :: wrote == NONE && IS_LISTED(n, e) && IS_SETTLED(version[e]) ->
        if :: record[0] = version[e] :: skip fi;      /* A record may be lost. */
        if :: record[1] = version[e] :: skip fi;
        eventOf(e)
      :: wrote != NONE ->
        boundTo(n, v);
        if
        :: v != NONE && listed[n * ENGINES + e] == v && IS_LISTED(n, e) -> eventOf(e)
        :: else                                        /* Refused. */
        fi
      :: else
      fi
    }
  :: break
  od
}
