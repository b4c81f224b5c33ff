/// @file
/// Local replica of the operators' store, complete up to one revision per kind of object. Some
/// nodes read the store, and the others receive the changes from them. A copy that is complete up
/// to a revision is the same on every node, so the changes between two revisions can be forwarded.
///
/// Revisions are those of the store, combined with its era (common/store_revision.h). Whatever the
/// store holds after it was restored from an old copy is newer than everything read before, and
/// entries that the restore lost are reported as lost. Parts of one object carry the version of
/// that object, which its writers only ever raise, so an older version that reappears is never
/// applied.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "common/store_revision.h"
#include "common/time.h"

namespace fernmoor::peers {

/// Kinds of objects, in the order of their numbers in messages.
enum class MirrorKind { kRows, kBackends, kWeights, kMoves, kQuarantine };
inline constexpr size_t kMirrorKinds = 5;

/// Whether the entries of a kind are parts of one object of the store, or objects of their own,
/// each with the revision of its last change. Of a part a copy knows only when it saw it change, so
/// changes to parts can only be sent from revisions that this copy has held.
inline constexpr std::array<bool, kMirrorKinds> kHoldsParts = {true, false, false, false, false};

/// An object at a revision; its text is interpreted by the adapter of the store.
struct MirrorEntry {
  std::string name;
  uint64_t revision = 0;
  bool isGone = false;
  std::string text;
  bool isLost = false;  ///< Gone because the store was restored from a copy without it.
};

/// Changes of a kind between two revisions.
struct MirrorDelta {
  uint64_t fromRevision = 0;  ///< 0: the entries are the whole kind.
  uint64_t toRevision = 0;
  std::vector<MirrorEntry> entries;
};

/// Result of applying a delta.
enum class MirrorOutcome {
  kApplied,
  kKnown,  ///< This copy has the same or a newer revision.
  kGap,    ///< This copy is missing earlier changes.
};

/// Thread-safe. The listener is called for one kind at a time, on the thread that applies the
/// changes.
class StateMirror {
 public:
  /// Receives the entries that are new here.
  /// @param isWhole whether all other entries of the kind are gone.
  using Listener =
      std::function<void(MirrorKind kind, const std::vector<MirrorEntry>& entries, bool isWhole)>;

  /// Called when a read confirms that nothing newer than `revision`, which this copy holds, existed
  /// at `confirmedAt`.
  using ConfirmationListener =
      std::function<void(MirrorKind kind, uint64_t revision, Time confirmedAt)>;

  StateMirror(Listener listener, ConfirmationListener onConfirmed)
      : listener_(std::move(listener)), onConfirmed_(std::move(onConfirmed)) {}

  MirrorOutcome apply(MirrorKind kind, const MirrorDelta& delta);
  /// Applies the whole kind as of a revision, and notifies the listener of the differences only.
  /// apply() does the same for a whole kind that consists of parts.
  MirrorOutcome applyList(MirrorKind kind, uint64_t revision,
                          const std::vector<MirrorEntry>& entries);
  /// Records a read that confirmed that nothing newer than `revision` existed at `confirmedAt`.
  /// Ignored unless this copy is complete up to that revision.
  void confirm(MirrorKind kind, uint64_t revision, Time confirmedAt);

  uint64_t revision(MirrorKind kind) const;
  std::optional<Time> confirmedAt(MirrorKind kind) const;
  /// @return total size of the texts of a kind, in bytes.
  size_t textBytes(MirrorKind kind) const;
  /// @return total size in bytes of the names and texts of the changes after `since`; 0 if there
  ///         are none.
  size_t bytesSince(MirrorKind kind, uint64_t since) const;
  /// @return the revision from which changes are sent to a copy at `since`; 0 if it is sent the
  ///         whole kind.
  uint64_t deltaBase(MirrorKind kind, uint64_t since) const;
  /// @return the changes that bring a copy at `since` up to date; nothing if it is.
  std::optional<MirrorDelta> since(MirrorKind kind, uint64_t since) const;
  /// @return the number of entries that bytesSince() and since() have examined so far.
  uint64_t entriesExamined() const;

 private:
  /// Orders entries by revision, then by name; a revision alone compares with all entries of it.
  struct ByRevision {
    using is_transparent = void;
    bool operator()(const MirrorEntry* left, const MirrorEntry* right) const {
      return std::tie(left->revision, left->name) < std::tie(right->revision, right->name);
    }
    bool operator()(uint64_t revision, const MirrorEntry* entry) const {
      return revision < entry->revision;
    }
    bool operator()(const MirrorEntry* entry, uint64_t revision) const {
      return entry->revision < revision;
    }
  };
  struct KindState {
    bool isKnown = false;
    uint64_t revision = 0;
    uint64_t notifiedRevision =
        0;  ///< The listener was notified of all changes up to this revision.
    /// For parts: the revisions that this copy has held and can send changes from; the last one is
    /// `revision`.
    std::deque<uint64_t> held;
    std::map<std::string, MirrorEntry> entries;
    /// Removed entries, each with the revision at which the removal was seen; the oldest are
    /// forgotten.
    std::map<std::string, MirrorEntry> gone;
    uint64_t goneKnownSince = 0;  ///< Removals after this revision are all in `gone`.
    /// The entries of `entries` and `gone`, which have no name in common.
    std::set<const MirrorEntry*, ByRevision> byRevision;
    std::optional<Time> confirmedAt;
  };

  /// Call with the lock held. @return whether the changes since that revision can be sent.
  static bool canSendSince(MirrorKind kind, const KindState& state, uint64_t since);
  /// Call with applying_ held.
  MirrorOutcome applyNext(MirrorKind kind, const MirrorDelta& delta);
  /// Calls `take` with each present or removed entry that changed after `from`; 0: with each
  /// present entry.
  template <class Take>
  void forEachSince(const KindState& state, uint64_t from, Take take) const;
  /// Call with the lock held. Adds or replaces a present or removed entry.
  static void put(KindState& state, MirrorEntry entry);
  /// Call with the lock held. Drops a present or removed entry, if there is one.
  static void drop(KindState& state, const std::string& name);
  /// Call with the lock held. @return whether an entry is unchanged and was only read again after
  /// the store was restored.
  static bool isUnchangedAcrossEras(const KindState& state, const MirrorEntry& entry);
  /// Call with the lock held. @return whether changes that start at that revision leave no gap in
  /// this copy.
  static bool leavesNoGap(MirrorKind kind, const KindState& state, uint64_t from);
  MirrorDelta differenceTo(MirrorKind kind, uint64_t revision,
                           const std::vector<MirrorEntry>& entries) const;
  static void forgetOldRemovals(KindState& state);
  KindState& stateOf(MirrorKind kind) { return kinds_[static_cast<size_t>(kind)]; }
  const KindState& stateOf(MirrorKind kind) const { return kinds_[static_cast<size_t>(kind)]; }

  Listener listener_;
  ConfirmationListener onConfirmed_;
  /// Held while a delta is computed, applied and passed to the listener; locked before mutex_.
  std::mutex applyMutex_;
  mutable std::mutex mutex_;
  std::array<KindState, kMirrorKinds> kinds_;
  mutable uint64_t entriesExamined_ = 0;
};

}  // namespace fernmoor::peers
