/// @file
/// Back ends as this node knows them: who is there, which weights each holds, what this node has
/// running there, and which of them it leaves alone: those that failed lately for a while, those
/// that asked for rest until its end, those that leave for good.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
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
  /// An instant at which the store did not hold this entry yet; nothing: not known.
  std::optional<Time> notListedAt;
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
  bool isAvoided = false;       ///< Failed lately, is taking new weights, or other nodes spare it.
  bool isLeaving = false;       ///< It says that it leaves; it still serves for a moment.
  Time restsUntil;              ///< It asked this node to send it nothing before then.
  uint64_t weightsVersion = 0;  ///< Of the asked model; 0: unknown.
};

/// What one incarnation of a back end states about whether it takes requests at all.
struct Withdrawal {
  /// When a node was first told that it leaves, which never ends; nothing: it did not say so.
  std::optional<Time> leavingSince;
  Time restsUntil;   ///< End of the rest that it asked this node for.
  Time sparedUntil;  ///< End of the rest that it asked any node for.
};

/// Listed back ends that take no requests of this node.
struct WithdrawnCounts {
  size_t leaving = 0;
  size_t resting = 0;
};

/// Whom a back end asked for rest.
enum class RestOf { kThisNode, kOtherNode };

struct BackendSetBounds {
  /// A back end that says that it leaves gets no request later than this.
  Duration drain{2000000};
  /// By so much this node is later than the first one to use a back end again that asked others for
  /// rest, so that not all come back at once.
  Duration returnDelay{0};
};

/// How a request at a back end ended, as far as it tells of the back end's health.
enum class BackendVerdict { kServed, kFailed, kNeutral };

/// Thread-safe.
class BackendSet {
 public:
  explicit BackendSet(BackendSetBounds bounds = {}) : bounds_(bounds) {}

  /// Replaces the whole list. Of a back end that started again under its id, here and in update(),
  /// nothing is kept that was known before; an entry older than the known start is not taken.
  void replaceAll(const std::vector<BackendListing>& listings, Time now);
  void update(const BackendListing& listing, Time now);
  void remove(const std::string& id);
  /// Notes that the store lost the entry: it is removed unless it is written again by then.
  void removeAt(const std::string& id, Time when);

  /// @return the members of the pool, with the version of `model`: those too that rest, and those
  ///         that leave while a request may still be sent there.
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

  // What incarnations state of themselves, listed or not: an entry may be missing for a while, and
  // one that is older than the statement must not undo it.

  /// Notes that a back end says that it leaves.
  /// @param since when a node was told.
  /// @return whether it was not known.
  bool noteLeaving(uint64_t incarnation, Time since);
  /// Notes that a back end asked for rest; one that ends earlier than another changes nothing.
  /// @return whether it tells more than was known.
  bool noteRest(uint64_t incarnation, Time until, RestOf whom);
  /// @return what the back end states now; nothing where it takes requests.
  std::optional<Withdrawal> withdrawal(uint64_t incarnation, Time now) const;
  /// @return back ends that leave or rest, of which other nodes are to be told.
  std::vector<uint64_t> withdrawn(Time now) const;
  WithdrawnCounts withdrawnCounts(Time now) const;
  /// @return whether a request may still be sent to the listed incarnation now.
  bool takesRequests(const BackendListing& listing, Time now) const;
  /// Removes entries whose time is over, and forgets rests that ended and what back ends stated
  /// that left the list long ago.
  void forgetOld(Time now);

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
    std::optional<Time> removedAt;  ///< Set where the store lost it.
  };

  /// Lists another version of the model for the back end. Call with the lock held.
  /// @param rule gives the new version from the one listed, 0 where none is.
  template <class Rule>
  void setWeights(const std::string& id, const std::string& model, Rule rule);
  void merge(Entry& entry, const BackendListing& listing);
  void judge(Entry& entry, BackendVerdict verdict, Time now);
  /// Call with the lock held.
  bool isLeaving(uint64_t incarnation) const;
  /// Call with the lock held. Lists the back end as draining from now on.
  void listAsDraining(uint64_t incarnation);
  /// Call with the lock held. @return whether a back end that leaves still gets requests.
  bool mayStillServe(const Withdrawal& stated, Time now) const;

  /// What is stated, and until when it is kept.
  struct Stated {
    Withdrawal withdrawal;
    Time listedAt;  ///< When it was in the list last, by looks of forgetWithdrawn().
  };

  const BackendSetBounds bounds_;
  mutable std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  std::unordered_map<uint64_t, Stated> stated_;  ///< By incarnation.
};

}  // namespace fernmoor
