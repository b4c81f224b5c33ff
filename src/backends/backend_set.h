/// @file
/// Back ends as this node knows them: who is there, which weights each holds, what this node has
/// running there, and which of them it avoids for a while.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/socket_address.h"
#include "common/time.h"

namespace fernmoor {

/// Weights held of one model.
struct HeldWeights {
  std::string model;
  uint64_t version = 0;
};

/// What the list of back ends says of one of them. Id and start together name one incarnation.
struct BackendListing {
  std::string id;
  int64_t startedAt = 0;  ///< Unix time in ms, as the back end tells it; 0: not told.
  std::string pool;
  SocketAddress address;
  std::string zone;
  int slots = 0;
  bool isDraining = false;
  std::vector<HeldWeights> weights;
};

/// @return a hash of the incarnation, equal on all nodes: what is known of a back end ends with it.
uint64_t incarnationHash(const BackendListing& listing);

/// @return the version of the model's weights that it lists; 0: none.
uint64_t heldVersion(const BackendListing& listing, const std::string& model);

/// One back end as a choice sees it.
struct BackendView {
  std::shared_ptr<const BackendListing> listing;  ///< Never null.
  uint64_t incarnation = 0;                       ///< incarnationHash().
  int inFlight = 0;                               ///< Requests of this node that run there.
  uint64_t pendingTokens = 0;   ///< Prompt tokens of this node's requests without a first event.
  bool isAvoided = false;       ///< Failed lately, or is taking new weights.
  uint64_t weightsVersion = 0;  ///< Of the asked model; 0: unknown.
};

/// How a request at a back end ended, as far as it tells of the back end's health.
enum class BackendVerdict { kServed, kFailed, kNeutral };

/// Thread-safe.
class BackendSet {
 public:
  /// Replaces the whole list. Of a back end that started again under its id, here and in update(),
  /// nothing is kept that was known before; an entry older than the known start is not taken.
  void replaceAll(const std::vector<BackendListing>& listings, Time now);
  void update(const BackendListing& listing, Time now);
  void remove(const std::string& id);

  /// @return the members of the pool that are not draining, with the version of `model`.
  std::vector<BackendView> membersOf(const std::string& pool, const std::string& model,
                                     Time now) const;
  /// @return every back end that is listed, draining or not.
  std::vector<BackendListing> all() const;
  /// @return nothing where it is not listed.
  std::optional<BackendListing> find(const std::string& id) const;
  /// @return the id of a listed incarnation; empty where it is not listed.
  std::string idOf(uint64_t incarnation) const;
  size_t size() const;
  /// @return whether the back end is listed and not draining.
  bool isUsable(const std::string& id) const;

  /// Notes a request that was sent there.
  void started(const std::string& id, uint64_t promptTokens);
  /// Notes that the request's prompt was read.
  void promptRead(const std::string& id, uint64_t promptTokens);
  void ended(const std::string& id, BackendVerdict verdict, Time now);
  /// Notes which weights the back end holds, from an answer of its own or a move.
  void noteWeights(const std::string& id, const std::string& model, uint64_t version);
  /// Sets what the back end itself stated while it turned a request away; may be lower.
  void correctWeights(const std::string& id, const std::string& model, uint64_t version);
  /// Notes when the back end started, as it told itself: its entry in the list may lag.
  void noteStart(const std::string& id, int64_t startedAt);
  /// Leaves the back end alone until then, e.g. while it takes new weights.
  void avoidUntil(const std::string& id, Time until);

 private:
  struct Entry {
    std::shared_ptr<const BackendListing> listing;  ///< Replaced, never changed.
    uint64_t incarnation = 0;
    int inFlight = 0;
    uint64_t pendingTokens = 0;
    double failures = 0;  ///< Recent failures, decaying.
    double served = 0;    ///< Recent successes, decaying.
    Time countedAt;
    Time avoidedUntil;
    int ejections = 0;
  };

  /// Lists another version of the model for the back end. Call with the lock held.
  /// @param rule gives the new version from the one listed, 0 where none is.
  template <class Rule>
  void setWeights(const std::string& id, const std::string& model, Rule rule);
  static void merge(Entry& entry, const BackendListing& listing);
  void judge(Entry& entry, BackendVerdict verdict, Time now);

  mutable std::mutex mutex_;
  std::map<std::string, Entry> entries_;
};

}  // namespace fernmoor
