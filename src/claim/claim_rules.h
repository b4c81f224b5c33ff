/// @file
/// Switches for the safety rules of the at-most-once protocol. The daemon always enables all of
/// them; tests disable one at a time to show that the checks detect the violation.
#pragma once

namespace fernmoor {

/// All rules are enabled by default. Only tests may disable one.
struct ClaimRules {
  bool majorityVote = true;      ///< Dispatch only with a majority of the group's votes.
  bool firstClaimWins = true;    ///< A replica votes for one attempt at a time.
  bool crashVectors = true;      ///< Votes and records of an earlier incarnation are void.
  bool silentWhileEmpty = true;  ///< A replica that lost its state recovers before it votes.
  bool voidConflicts = true;     ///< Conflicting claims found in a merge void the key.
  bool tombstones = true;        ///< A released attempt's late claim is not recorded.
  bool releaseByAuthor = true;   ///< Only the dispatcher of an attempt releases it.
  bool sealBeforeVote = true;    ///< A new epoch votes only after the old one is sealed.
  bool birthCheck = true;        ///< Keys older than the birth floor are not granted.
};

}  // namespace fernmoor
