/// @file
/// The rules that the at-most-once protocol rests on, as switches. The daemon always runs with all
/// of them; tests take one out to show that the harness notices.
#pragma once

namespace fernmoor {

/// Every rule is in force by default. Only tests may switch one off.
struct ClaimRules {
  bool majorityVote = true;      ///< Dispatch only with a majority of the group's votes.
  bool firstClaimWins = true;    ///< A replica votes for one attempt at a time.
  bool crashVectors = true;      ///< Votes and records of a former life are void.
  bool silentWhileEmpty = true;  ///< An emptied replica recovers before it votes.
  bool voidConflicts = true;     ///< Two claims met at a merge are granted to nobody.
  bool tombstones = true;        ///< A released attempt's late claim is not recorded.
  bool releaseByAuthor = true;   ///< Only the dispatcher of an attempt releases it.
  bool sealBeforeVote = true;    ///< A new epoch votes only after the old one is sealed.
  bool birthCheck = true;        ///< Keys older than the birth floor are not granted.
};

}  // namespace fernmoor
