/// @file
/// This node's copy of what lies in the operators' store, kind by kind, complete up to a revision.
/// Some nodes read the store, the others take the changes from them: a copy that is complete up to
/// a revision is the same on every node, so changes between two revisions can be passed on.
///
/// Revisions are the store's, with its era (common/store_revision.h): what it holds after it came
/// back from an old copy is newer than all that was read before, and what it lost is told as lost.
/// Parts of one object bear that object's own version, which its writers only raise: an older one
/// that came back is never taken.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/store_revision.h"
#include "common/time.h"

namespace fernmoor::peers {

/// Kinds of objects, in the order of their numbers in messages.
enum class MirrorKind { kRows, kBackends, kWeights, kMoves, kQuarantine };
inline constexpr size_t kMirrorKinds = 5;

/// Whether the entries of a kind are objects of the store, each with the revision of its last
/// change, or parts of one object that this node has found to differ. Of parts a copy knows only
/// when it saw them change, so changes to them can be passed on from revisions alone that it has
/// held.
inline constexpr std::array<bool, kMirrorKinds> kHoldsParts = {true, false, false, false, false};

/// One object at one revision; its text is what the store's adapter understands.
struct MirrorEntry {
  std::string name;
  uint64_t revision = 0;
  bool isGone = false;
  std::string text;
  bool isLost = false;  ///< Gone, as the store came back from a copy that lacks it.
};

/// Changes of a kind.
struct MirrorDelta {
  uint64_t fromRevision = 0;  ///< 0: the entries are the whole kind.
  uint64_t toRevision = 0;
  std::vector<MirrorEntry> entries;
};

/// What became of a delta.
enum class MirrorOutcome {
  kApplied,
  kKnown,  ///< This copy is as new or newer.
  kGap,    ///< Changes before it are missing here.
};

/// Thread-safe. The listener is called with one kind at a time, on the thread that applies.
class StateMirror {
 public:
  /// Takes entries that are new here. @param isWhole others of the kind are gone.
  using Listener =
      std::function<void(MirrorKind kind, const std::vector<MirrorEntry>& entries, bool isWhole)>;

  /// Hears that nothing newer than `revision`, which this copy holds, existed at `provenAt`.
  using ProofListener = std::function<void(MirrorKind kind, uint64_t revision, Time provenAt)>;

  StateMirror(Listener listener, ProofListener onProof)
      : listener_(std::move(listener)), onProof_(std::move(onProof)) {}

  MirrorOutcome apply(MirrorKind kind, const MirrorDelta& delta);
  /// Takes the whole kind as it was at a revision, and tells only what differs. Parts that come as
  /// the whole kind are taken so too.
  MirrorOutcome applyList(MirrorKind kind, uint64_t revision,
                          const std::vector<MirrorEntry>& entries);
  /// Notes that nothing newer than `revision` existed at `provenAt`; counts only if this copy is
  /// complete up to that revision.
  void prove(MirrorKind kind, uint64_t revision, Time provenAt);

  uint64_t revision(MirrorKind kind) const;
  std::optional<Time> provenAt(MirrorKind kind) const;
  /// @return bytes of the texts of a kind.
  size_t textBytes(MirrorKind kind) const;
  /// @return bytes of the names and texts that a copy at `since` lacks; 0 if it is up to date.
  size_t bytesSince(MirrorKind kind, uint64_t since) const;
  /// @return from which revision a copy at `since` is told changes; 0: it is told the whole kind.
  uint64_t toldFrom(MirrorKind kind, uint64_t since) const;
  /// @return what a copy at `since` lacks; nothing if it is up to date.
  std::optional<MirrorDelta> since(MirrorKind kind, uint64_t since) const;

 private:
  struct KindState {
    bool isKnown = false;
    uint64_t revision = 0;
    uint64_t told = 0;  ///< The listener knows all up to this revision.
    /// Of parts: revisions that this copy has held since it can tell the changes, the last
    /// `revision`.
    std::deque<uint64_t> held;
    std::map<std::string, MirrorEntry> entries;
    /// Entries that are gone, each with the revision at which that was known; the oldest are
    /// forgotten.
    std::map<std::string, MirrorEntry> gone;
    uint64_t goneKnownSince = 0;  ///< Removals after this revision are all in `gone`.
    std::optional<Time> provenAt;
  };

  /// Call with the lock held. @return whether changes since that revision can be told.
  static bool tellsSince(MirrorKind kind, const KindState& state, uint64_t since);
  /// Call with applying_ held.
  MirrorOutcome applyNext(MirrorKind kind, const MirrorDelta& delta);
  /// Calls `take` with each entry, and with each that is gone, that a copy at `since` lacks.
  template <class Take>
  static void forEachSince(const KindState& state, uint64_t from, Take take);
  /// Call with the lock held. @return whether an entry only was read again after the store came
  /// back.
  static bool isReadAgain(const KindState& state, const MirrorEntry& entry);
  /// Call with the lock held. @return whether changes from that revision on complete this copy.
  static bool completes(MirrorKind kind, const KindState& state, uint64_t from);
  MirrorDelta differenceTo(MirrorKind kind, uint64_t revision,
                           const std::vector<MirrorEntry>& entries) const;
  static void forgetOldRemovals(KindState& state);
  KindState& stateOf(MirrorKind kind) { return kinds_[static_cast<size_t>(kind)]; }
  const KindState& stateOf(MirrorKind kind) const { return kinds_[static_cast<size_t>(kind)]; }

  Listener listener_;
  ProofListener onProof_;
  /// Held while a delta is found, applied and told, before mutex_.
  std::mutex applying_;
  mutable std::mutex mutex_;
  std::array<KindState, kMirrorKinds> kinds_;
};

}  // namespace fernmoor::peers
