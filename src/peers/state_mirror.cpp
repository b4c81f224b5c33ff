#include "peers/state_mirror.h"

#include <algorithm>

namespace fernmoor::peers {

namespace {

constexpr size_t kMaxRemovals = 512;
/// A node that is missing more changes of a table than this receives the whole table.
constexpr size_t kMaxRevisions = 64;

}  // namespace

void StateMirror::drop(KindState& state, const std::string& name) {
  for (auto* const entries : {&state.entries, &state.gone}) {
    const auto known = entries->find(name);
    if (known != entries->end()) {
      state.byRevision.erase(&known->second);
      entries->erase(known);
    }
  }
}

void StateMirror::put(KindState& state, MirrorEntry entry) {
  drop(state, entry.name);
  auto& entries = entry.isGone ? state.gone : state.entries;
  const std::string name = entry.name;
  const auto added = entries.emplace(name, std::move(entry)).first;
  state.byRevision.insert(&added->second);
}

void StateMirror::forgetOldRemovals(KindState& state) {
  while (state.gone.size() > kMaxRemovals) {
    const auto oldest = std::min_element(
        state.gone.begin(), state.gone.end(),
        [](const auto& a, const auto& b) { return a.second.revision < b.second.revision; });
    state.goneKnownSince = std::max(state.goneKnownSince, oldest->second.revision);
    drop(state, std::string(oldest->first));
  }
}

bool StateMirror::canSendSince(MirrorKind kind, const KindState& state, uint64_t since) {
  if (since == 0 || since < state.goneKnownSince) {
    return false;
  }
  return !kHoldsParts[static_cast<size_t>(kind)] ||
         std::find(state.held.begin(), state.held.end(), since) != state.held.end();
}

bool StateMirror::leavesNoGap(MirrorKind kind, const KindState& state, uint64_t from) {
  // A part that changed and changed back does not appear in the difference between the revisions
  // before and after, so a copy that holds a revision in between must not apply that difference.
  return kHoldsParts[static_cast<size_t>(kind)] ? state.revision == from : state.revision >= from;
}

bool StateMirror::isUnchangedAcrossEras(const KindState& state, const MirrorEntry& entry) {
  const auto known = state.entries.find(entry.name);
  return !entry.isGone && known != state.entries.end() &&
         eraOf(known->second.revision) != eraOf(entry.revision) && known->second.text == entry.text;
}

MirrorOutcome StateMirror::apply(MirrorKind kind, const MirrorDelta& delta) {
  const std::lock_guard<std::mutex> applyLock(applyMutex_);
  const bool isDiffed = delta.fromRevision == 0 && kHoldsParts[static_cast<size_t>(kind)];
  return applyNext(kind, isDiffed ? differenceTo(kind, delta.toRevision, delta.entries) : delta);
}

MirrorOutcome StateMirror::applyNext(MirrorKind kind, const MirrorDelta& delta) {
  const bool isWhole = delta.fromRevision == 0;
  std::vector<MirrorEntry> newEntries;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    KindState& state = stateOf(kind);
    if (state.isKnown && delta.toRevision <= state.revision) {
      return MirrorOutcome::kKnown;
    }
    if (!isWhole && (!state.isKnown || !leavesNoGap(kind, state, delta.fromRevision))) {
      return MirrorOutcome::kGap;
    }
    if (isWhole) {
      state.byRevision.clear();
      state.entries.clear();
      state.gone.clear();
      state.held.clear();
      state.goneKnownSince = delta.toRevision;
    }
    for (const MirrorEntry& entry : delta.entries) {
      if (!isUnchangedAcrossEras(state, entry)) {
        newEntries.push_back(entry);
      }
      const bool isDated = !entry.isGone && !kHoldsParts[static_cast<size_t>(kind)];
      MirrorEntry held = entry;
      held.revision = isDated ? entry.revision : delta.toRevision;
      held.text = entry.isGone ? "" : entry.text;
      put(state, std::move(held));
    }
    forgetOldRemovals(state);
    state.isKnown = true;
    state.revision = delta.toRevision;
    state.held.push_back(delta.toRevision);
    if (state.held.size() > kMaxRevisions) {
      state.held.pop_front();
    }
  }
  listener_(kind, newEntries, isWhole);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stateOf(kind).notifiedRevision = delta.toRevision;
  }
  return MirrorOutcome::kApplied;
}

MirrorDelta StateMirror::differenceTo(MirrorKind kind, uint64_t revision,
                                      const std::vector<MirrorEntry>& entries) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const KindState& state = stateOf(kind);
  MirrorDelta delta;
  delta.toRevision = revision;
  if (!state.isKnown) {
    delta.entries = entries;
    return delta;
  }
  delta.fromRevision = state.revision;
  std::set<std::string> listed;
  for (const MirrorEntry& entry : entries) {
    listed.insert(entry.name);
    const auto known = state.entries.find(entry.name);
    const bool isSame =
        known != state.entries.end() &&
        (kHoldsParts[static_cast<size_t>(kind)] ? known->second.text == entry.text
                                                : known->second.revision == entry.revision);
    if (!isSame) {
      delta.entries.push_back(entry);
    }
  }
  for (const auto& known : state.entries) {
    if (listed.count(known.first) == 0) {
      const bool isLost = eraOf(known.second.revision) != eraOf(revision);
      delta.entries.push_back(MirrorEntry{known.first, revision, true, "", isLost});
    }
  }
  return delta;
}

MirrorOutcome StateMirror::applyList(MirrorKind kind, uint64_t revision,
                                     const std::vector<MirrorEntry>& entries) {
  const std::lock_guard<std::mutex> applyLock(applyMutex_);
  return applyNext(kind, differenceTo(kind, revision, entries));
}

void StateMirror::confirm(MirrorKind kind, uint64_t revision, Time confirmedAt) {
  uint64_t held = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    KindState& state = stateOf(kind);
    // A listener that is still being notified of newer changes would attribute the confirmed read
    // to the state that it had before.
    if (!state.isKnown || state.notifiedRevision < revision) {
      return;
    }
    held = state.notifiedRevision;
    state.confirmedAt = state.confirmedAt ? std::max(*state.confirmedAt, confirmedAt) : confirmedAt;
  }
  onConfirmed_(kind, held, confirmedAt);
}

uint64_t StateMirror::revision(MirrorKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stateOf(kind).revision;
}

std::optional<Time> StateMirror::confirmedAt(MirrorKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stateOf(kind).confirmedAt;
}

size_t StateMirror::textBytes(MirrorKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  size_t bytes = 0;
  for (const auto& entry : stateOf(kind).entries) {
    bytes += entry.second.text.size();
  }
  return bytes;
}

template <class Take>
void StateMirror::forEachSince(const KindState& state, uint64_t from, Take take) const {
  if (from == 0) {
    for (const auto& [name, entry] : state.entries) {
      ++entriesExamined_;
      take(entry);
    }
    return;
  }
  for (auto each = state.byRevision.upper_bound(from); each != state.byRevision.end(); ++each) {
    ++entriesExamined_;
    take(**each);
  }
}

uint64_t StateMirror::entriesExamined() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entriesExamined_;
}

size_t StateMirror::bytesSince(MirrorKind kind, uint64_t since) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const KindState& state = stateOf(kind);
  size_t bytes = 0;
  if (state.isKnown && since < state.revision) {
    forEachSince(state, canSendSince(kind, state, since) ? since : 0,
                 [&](const MirrorEntry& entry) { bytes += entry.name.size() + entry.text.size(); });
  }
  return bytes;
}

uint64_t StateMirror::deltaBase(MirrorKind kind, uint64_t since) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return canSendSince(kind, stateOf(kind), since) ? since : 0;
}

std::optional<MirrorDelta> StateMirror::since(MirrorKind kind, uint64_t since) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const KindState& state = stateOf(kind);
  if (!state.isKnown || since >= state.revision) {
    return std::nullopt;
  }
  MirrorDelta delta;
  delta.toRevision = state.revision;
  delta.fromRevision = canSendSince(kind, state, since) ? since : 0;
  forEachSince(state, delta.fromRevision,
               [&](const MirrorEntry& entry) { delta.entries.push_back(entry); });
  return delta;
}

}  // namespace fernmoor::peers
