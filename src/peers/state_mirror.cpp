#include "peers/state_mirror.h"

#include <algorithm>
#include <set>

namespace fernmoor::peers {

namespace {

constexpr size_t kRemovalsKept = 512;

}  // namespace

void StateMirror::forgetOldRemovals(KindState& state) {
  while (state.gone.size() > kRemovalsKept) {
    const auto oldest =
        std::min_element(state.gone.begin(), state.gone.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    state.goneKnownSince = std::max(state.goneKnownSince, oldest->second);
    state.gone.erase(oldest);
  }
}

MirrorOutcome StateMirror::apply(MirrorKind kind, const MirrorDelta& delta,
                                 std::optional<Time> heardAt) {
  const std::lock_guard<std::mutex> order(applying_);
  const bool isWhole = delta.fromRevision == 0;
  std::vector<MirrorEntry> news;
  bool wasKnown = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    KindState& state = stateOf(kind);
    wasKnown = state.isKnown;
    if (state.isKnown && delta.toRevision <= state.revision) {
      return MirrorOutcome::kKnown;
    }
    if (!isWhole && (!state.isKnown || state.revision < delta.fromRevision)) {
      return MirrorOutcome::kGap;
    }
    if (isWhole) {
      state.entries.clear();
      state.gone.clear();
      state.goneKnownSince = delta.toRevision;
    }
    for (const MirrorEntry& entry : delta.entries) {
      if (entry.isGone) {
        state.entries.erase(entry.name);
        state.gone[entry.name] = delta.toRevision;
      } else {
        state.entries[entry.name] = entry;
        state.gone.erase(entry.name);
      }
      news.push_back(entry);
    }
    forgetOldRemovals(state);
    state.isKnown = true;
    state.revision = delta.toRevision;
  }
  // The first state that comes here tells nothing of since when it is so.
  listener_(kind, news, isWhole, wasKnown ? heardAt : std::nullopt);
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
    if (known == state.entries.end() || known->second.revision != entry.revision) {
      delta.entries.push_back(entry);
    }
  }
  for (const auto& known : state.entries) {
    if (listed.count(known.first) == 0) {
      delta.entries.push_back(MirrorEntry{known.first, revision, true, ""});
    }
  }
  return delta;
}

MirrorOutcome StateMirror::applyList(MirrorKind kind, uint64_t revision,
                                     const std::vector<MirrorEntry>& entries,
                                     std::optional<Time> heardAt) {
  return apply(kind, differenceTo(kind, revision, entries), heardAt);
}

void StateMirror::prove(MirrorKind kind, uint64_t revision, Time provenAt) {
  uint64_t held = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    KindState& state = stateOf(kind);
    if (!state.isKnown || state.revision < revision) {
      return;
    }
    held = state.revision;
    state.provenAt = state.provenAt ? std::max(*state.provenAt, provenAt) : provenAt;
  }
  onProof_(kind, held, provenAt);
}

uint64_t StateMirror::revision(MirrorKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stateOf(kind).revision;
}

std::optional<Time> StateMirror::provenAt(MirrorKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stateOf(kind).provenAt;
}

size_t StateMirror::textBytes(MirrorKind kind) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  size_t bytes = 0;
  for (const auto& entry : stateOf(kind).entries) {
    bytes += entry.second.text.size();
  }
  return bytes;
}

std::optional<MirrorDelta> StateMirror::since(MirrorKind kind, uint64_t since) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const KindState& state = stateOf(kind);
  if (!state.isKnown || since >= state.revision) {
    return std::nullopt;
  }
  MirrorDelta delta;
  delta.toRevision = state.revision;
  const bool isWhole = since == 0 || since < state.goneKnownSince;
  delta.fromRevision = isWhole ? 0 : since;
  for (const auto& [name, entry] : state.entries) {
    if (isWhole || entry.revision > since) {
      delta.entries.push_back(entry);
    }
  }
  for (const auto& [name, revision] : state.gone) {
    if (!isWhole && revision > since) {
      delta.entries.push_back(MirrorEntry{name, revision, true, ""});
    }
  }
  return delta;
}

}  // namespace fernmoor::peers
