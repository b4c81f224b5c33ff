/*
 * A store that comes back from an old copy, and what nodes hold of it (common/store_revision.h,
 * src/peers/state_mirror, src/weights/, platform/store_client).
 *
 * Models: a store with one counter of changes, a table that has a version of its own, an entry without
 * one, and a ledger that is written on a condition; a copy taken at any moment; the store's return from
 * it, whereupon its counter goes back, its era rises, and its writers write again what was lost; a node
 * that is told by two ways, each of which may deliver late; a holder of the ledger, and another writer.
 *
 * Leaves out: deltas (a delta whose start lies in another era is refused, and a list follows), more than
 * one return, time.
 *
 * Checked: the table that a node holds never goes back; nobody relies on a write whose condition was met
 * by a revision that was given out again; who is told after the last change holds what the store holds, whatever
 * comes late afterwards.
 */
#define CHANGES 3

byte era = 1;
byte count;            /* of changes; goes back */
byte changes;          /* that were acknowledged, ever */
byte table;            /* its version: the number of the change */
byte entry;
byte ledgerCount;      /* the counter at the ledger's last write */
byte ledgerText;       /* who wrote it and when: never the same twice */
byte texts;

bool isCopied, hasReturned;
byte copiedCount, copiedTable, copiedEntry, copiedLedgerCount, copiedLedgerText;

/* What the node holds. */
byte heldEra, heldCount, heldTable, heldEntry;
bool isSettled;        /* It was told once after all had changed and was written again. */

inline write() {
  count++;
  table = changes;
  entry = changes
}

active proctype Writers() {
end:
  do
  :: atomic { changes < CHANGES -> changes++; write() }
  :: atomic { hasReturned && entry != changes -> write() }
  od
}

active proctype Drill() {
  atomic {
    isCopied = true;
    copiedCount = count;
    copiedTable = table;
    copiedEntry = entry;
    copiedLedgerCount = ledgerCount;
    copiedLedgerText = ledgerText
  }
  atomic {
    hasReturned = true;
    era++;
    count = copiedCount;
    table = copiedTable;
    entry = copiedEntry;
    ledgerCount = copiedLedgerCount;
    ledgerText = copiedLedgerText
  }
}

inline read() {
  readEra = era;
  readCount = count;
  readTable = table;
  readEntry = entry
}

inline take() {
  before = heldTable;
  if
#ifdef WITHOUT_ERA
  :: readCount > heldCount ->
#else
  :: readEra > heldEra || (readEra == heldEra && readCount > heldCount) ->
#endif
     heldEra = readEra;
     heldCount = readCount;
     heldEntry = readEntry;
#ifdef WITHOUT_VERSION_OF_TABLE
     heldTable = readTable
#endif
  :: else -> skip
  fi;
#ifndef WITHOUT_VERSION_OF_TABLE
  heldTable = (readTable > heldTable -> readTable : heldTable);
#endif
  assert(heldTable >= before);
  assert(!isSettled || (heldEntry == entry && heldTable == table));
  before = 0;
  readEra = 0;
  readCount = 0;
  readTable = 0;
  readEntry = 0
}

/* One way by which the node is told: what it reads may arrive at any time later. */
active [2] proctype Way() {
  byte readEra, readCount, readTable, readEntry, before;
end:
  do
  :: atomic { read() }
     atomic { take() }
  od
}

/* All that was acknowledged lies in the store, nothing more changes, and the node is told. */
active proctype Last() {
  byte readEra, readCount, readTable, readEntry, before;
end:
  atomic {
    changes == CHANGES && hasReturned && entry == changes ->
    read();
    isSettled = true;
    take()
  }
}

/* Writes the ledger on the condition that its revision is the one that was read, and relies on that. */
active proctype Holder() {
  byte readEra, readCount, readText;
  bool isDone;
  atomic { readEra = era; readCount = ledgerCount; readText = ledgerText }
  atomic {
    if
    :: ledgerCount == readCount ->
       isDone = true;
#ifndef WITHOUT_ERA_OF_ANSWER
       isDone = era == readEra;
#endif
       assert(!isDone || ledgerText == readText);
       count++;
       ledgerCount = count;
       texts++;
       ledgerText = texts
    :: else -> skip
    fi
  }
}

active [2] proctype OtherHolder() {
  atomic { count++; ledgerCount = count; texts++; ledgerText = texts }
}
