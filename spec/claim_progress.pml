/*
 * The same claims as in claim.pml, with faults that may end at any moment: then every request
 * ends, and a key that never ran can still be granted unless crashes took a majority of votes.
 */
#define PROGRESS

#ifdef WITHOUT_TOMBSTONES
/* A released attempt's late claim is recorded again. */
#define NO_TOMBSTONES
#endif

#ifdef WITHOUT_GIVING_UP
/* Two emptied replicas wait for each other's records for ever. */
#define NO_GIVING_UP
#define MAX_CRASHES 2
#define ATTEMPTS 2
#else
#define MAX_CRASHES 1
#endif

#include "claim.pml"
