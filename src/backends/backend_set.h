/// @file
/// The back ends known to this node: which are listed, the weights each one holds, this node's
/// requests in flight on each, and which ones it avoids. A back end that failed recently is avoided
/// for a while, one that asked for rest until the rest ends, one that is leaving permanently.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "backends/software_history.h"
#include "common/random.h"
#include "common/socket_address.h"
#include "common/time.h"

namespace fernmoor {

/// The version of one model's weights that a back end holds.
struct HeldWeights {
  std::string model;
  uint64_t version = 0;
};

/// An entry in the list of back ends. Id and start time together identify one incarnation.
struct BackendListing {
  std::string id;
  int64_t startedAt = 0;  ///< Unix time in ms, as the back end reports it; 0: not reported.
  std::string pool;
  SocketAddress address;
  std::string zone;
  /// Version of its process's software, unrelated to that of its weights; empty: it states none,
  /// nothing: unknown, as the entry is of an earlier process.
  std::optional<std::string> software = std::string();
  int slots = 0;
  bool isDraining = false;
  std::vector<HeldWeights> weights;
  /// A time at which the store did not have this entry yet; nothing: unknown.
  std::optional<Time> notListedAt;
};

/// @return a hash of the incarnation, equal on all nodes. State kept about a back end is keyed by
///         it, so it does not carry over to the next incarnation.
uint64_t incarnationHash(const BackendListing& listing);

/// @return the listed version of the model's weights; 0: none.
uint64_t heldVersion(const BackendListing& listing, const std::string& model);

/// Snapshot of one back end for the choice of where to send a request.
struct BackendView {
  std::shared_ptr<const BackendListing> listing;  ///< Never null.
  uint64_t incarnation = 0;                       ///< incarnationHash().
  int inFlight = 0;                               ///< This node's requests in flight.
  uint64_t pendingTokens = 0;   ///< Prompt tokens of this node's requests without a first event.
  bool isAvoided = false;       ///< Failed recently, is loading weights, or rests for other nodes.
  bool isLeaving = false;       ///< It stated that it is leaving, but may still be used briefly.
  Time restsUntil;              ///< It asked this node to send nothing before this time.
  uint64_t weightsVersion = 0;  ///< Of the requested model; 0: unknown.
  Time softwareSince;           ///< When its pool's first entry with its software was listed.
};

/// What one incarnation of a back end stated about not accepting requests.
struct Withdrawal {
  /// When a node first received the statement that it is leaving, which is never withdrawn;
  /// nothing: it made no such statement.
  std::optional<Time> leavingSince;
  Time restsUntil;   ///< End of the rest that it requested from this node.
  Time sparedUntil;  ///< End of the rest that it requested from any node.
};

/// Numbers of listed back ends that are leaving, and that rest for this node.
struct WithdrawnCounts {
  size_t leaving = 0;
  size_t resting = 0;
};

/// Which node a back end asked for rest.
enum class RestOf { kThisNode, kOtherNode };

struct BackendSetBounds {
  /// A leaving back end gets no request later than this after its statement.
  Duration drain{2000000};
  /// Time that this node waits after the end of a rest that a back end requested from another node.
  /// It differs between nodes, so that not all of them resume at once.
  Duration returnDelay{0};
};

/// What the end of a request says about the health of its back end.
enum class BackendVerdict { kServed, kFailed, kNeutral };

/// Thread-safe.
class BackendSet {
 public:
  explicit BackendSet(BackendSetBounds bounds = {}) : bounds_(bounds) {}

  /// Replaces the whole list. Here and in update(), a later start time discards all state of the
  /// former incarnation, and an entry with an earlier start time than the known one is ignored.
  void replaceAll(const std::vector<BackendListing>& listings, Time now);
  void update(const BackendListing& listing, Time now);
  void remove(const std::string& id);
  /// Schedules the removal of an entry that the store lost; a new write of the entry cancels it.
  void removeAt(const std::string& id, Time when);

  /// @return the members of the pool, with their versions of `model`. Includes resting members, and
  ///         leaving ones while requests may still be sent there.
  std::vector<BackendView> membersOf(const std::string& pool, const std::string& model,
                                     Time now) const;
  /// @return all listed back ends, including draining ones.
  std::vector<BackendListing> all() const;
  /// Draws different back ends that are not draining, each with the same probability.
  /// @param leftOut ids that are not drawn.
  /// @param zone the only zone to draw from; nothing: all zones.
  /// @return `count` of them, or all if there are fewer.
  std::vector<BackendListing> drawUsable(size_t count, const std::set<std::string>& leftOut,
                                         Random& random,
                                         const std::optional<std::string>& zone = {}) const;
  /// @return the entry; nothing if the back end is not listed.
  std::optional<BackendListing> find(const std::string& id) const;
  /// @return the entry of an incarnation; null if it is not listed.
  std::shared_ptr<const BackendListing> findIncarnation(uint64_t incarnation) const;
  /// @return the id of an incarnation; empty if it is not listed.
  std::string idOf(uint64_t incarnation) const;
  size_t size() const;
  /// @return whether the back end is listed and not draining.
  bool isUsable(const std::string& id) const;

  /// @return the only software version at which a request can have begun in the pool since that
  ///         time; see SoftwareHistory::sole().
  std::optional<std::string> soleSoftware(const std::string& pool, Time since) const;

  /// Records that a request was sent to the back end.
  void started(const std::string& id, uint64_t promptTokens);
  /// Records that the back end has read the request's prompt.
  void promptRead(const std::string& id, uint64_t promptTokens);
  void ended(const std::string& id, BackendVerdict verdict, Time now);
  /// Records the version that the back end holds, from one of its answers or a move. The recorded
  /// version never falls.
  void noteWeights(const std::string& id, const std::string& model, uint64_t version);
  /// Sets the version that the back end stated when it rejected a request; may be lower than the
  /// recorded one. A model that is not listed stays unlisted.
  void correctWeights(const std::string& id, const std::string& model, uint64_t version);
  /// Records the start time that the back end itself reported: its entry in the list may lag.
  void noteStart(const std::string& id, int64_t startedAt);
  /// Avoids the back end until the given time, e.g. while it loads new weights.
  void avoidUntil(const std::string& id, Time until);

  // Statements of incarnations, whether they are listed or not: an entry may be missing for a
  // while, and an entry older than the statement must not undo it.

  /// Records the statement of a back end that it is leaving.
  /// @param since when a node received the statement.
  /// @return whether it is new.
  bool noteLeaving(uint64_t incarnation, Time since);
  /// Records that a back end asked for rest. A rest that ends before a known one changes nothing.
  /// @return whether it ends enough later than the known one to be announced.
  bool noteRest(uint64_t incarnation, Time until, RestOf whom);
  /// @return the statements in effect; nothing if the back end accepts requests.
  std::optional<Withdrawal> withdrawal(uint64_t incarnation, Time now) const;
  /// @return the leaving and resting incarnations to announce to other nodes, sorted; without those
  ///         that the list shows as leaving, a large part of it during a release.
  std::vector<uint64_t> withdrawn(Time now) const;
  WithdrawnCounts withdrawnCounts(Time now) const;
  /// @return whether a request may still be sent to the listed incarnation now.
  bool takesRequests(const BackendListing& listing, Time now) const;
  /// Removes entries whose scheduled removal is due, rests that ended, and statements of
  /// incarnations that have been unlisted for long.
  /// @return the number of entries and statements examined: not the whole list, unless a removal is
  ///         due.
  size_t forgetOld(Time now);

 private:
  struct Entry {
    std::shared_ptr<const BackendListing> listing;  ///< Replaced, never changed.
    uint64_t incarnation = 0;
    Time softwareSince;
    int inFlight = 0;
    uint64_t pendingTokens = 0;
    double failures = 0;  ///< Recent failures, decaying.
    double served = 0;    ///< Recent successes, decaying.
    Time countedAt;
    Time avoidedUntil;
    int ejections = 0;
    std::optional<Time> removedAt;  ///< Due time of the removal if the store lost the entry.
  };

  using Entries = std::map<std::string, Entry>;

  /// Changes the listed version of the model. Call with the lock held.
  /// @param rule maps the listed version, 0 if there is none, to the new one.
  template <class Rule>
  void setWeights(const std::string& id, const std::string& model, Rule rule);
  /// Applies a listing to the entry, which may be new. Call with the lock held.
  void merge(Entries::iterator entry, const BackendListing& listing, Time now);
  /// Adds the entry if it is missing. Call with the lock held.
  void merge(const BackendListing& listing, Time now) {
    merge(entries_.try_emplace(listing.id).first, listing, now);
  }
  /// Call with the lock held. @return the next entry.
  Entries::iterator erase(Entries::iterator entry);
  /// Removes the entries that are due. Call with the lock held.
  /// @return the number of entries examined.
  size_t removeDue(Time now);
  void recordOutcome(Entry& entry, BackendVerdict verdict, Time now);
  /// Call with the lock held.
  bool isLeaving(uint64_t incarnation) const;
  /// Marks the entry of the incarnation as draining. Call with the lock held.
  void listAsDraining(uint64_t incarnation);
  /// @return whether a leaving back end may still get requests. Call with the lock held.
  bool mayStillServe(const Withdrawal& stated, Time now) const;

  /// The statements of one incarnation, and the time that decides when they are dropped.
  struct Stated {
    Withdrawal withdrawal;
    Time listedAt;  ///< When forgetOld() last found it in the list.
    /// Its newest entry says that it is leaving, which all nodes learn from the list.
    bool isListedAsLeaving = false;
  };

  const BackendSetBounds bounds_;
  mutable std::mutex mutex_;
  Entries entries_;  ///< By id.
  std::unordered_map<uint64_t, Entries::iterator> byIncarnation_;
  SoftwareHistory software_;
  std::optional<Time> nextRemovalAt_;  ///< No scheduled removal is due before; nothing: none is.
  std::unordered_map<uint64_t, Stated> stated_;  ///< By incarnation.
};

}  // namespace fernmoor
