#include "claim/state_transfer.h"

#include <algorithm>
#include <set>

namespace fernmoor {

StateTransfer::StateTransfer(uint64_t sourceEpoch, uint64_t targetEpoch,
                             const std::vector<NodeId>& sources, const std::vector<NodeId>& retired,
                             ClaimRules rules)
    : sourceEpoch_(sourceEpoch), targetEpoch_(targetEpoch), rules_(rules) {
  for (const NodeId node : sources) {
    sources_[node].empty = contains(retired, node);
  }
}

std::vector<std::pair<NodeId, proto::ClaimTransferRequest>> StateTransfer::requests() const {
  std::vector<std::pair<NodeId, proto::ClaimTransferRequest>> due;
  for (const auto& [node, source] : sources_) {
    const bool sealing = targetEpoch_ > sourceEpoch_;
    if (source.withState || (source.empty && sealing)) {
      continue;
    }
    proto::ClaimTransferRequest request;
    request.set_source_epoch(sourceEpoch_);
    request.set_target_epoch(targetEpoch_);
    if (source.cursor) {
      *request.mutable_after() = toProto(*source.cursor);
    }
    due.emplace_back(node, request);
  }
  return due;
}

bool StateTransfer::onReply(const NodeLife& from, const proto::ClaimTransferReply& reply,
                            Time now) {
  const auto found = sources_.find(from.node);
  if (found == sources_.end() || reply.source_epoch() != sourceEpoch_ ||
      reply.target_epoch() != targetEpoch_) {
    return false;
  }
  Source& source = found->second;
  if (from.incarnation < source.incarnation || source.withState) {
    return false;
  }
  if (reply.status() == proto::CLAIM_TRANSFER_STATUS_EMPTY) {
    source = Source{};
    source.incarnation = from.incarnation;
    source.empty = true;
    return false;
  }
  if (reply.status() != proto::CLAIM_TRANSFER_STATUS_WITH_STATE) {
    return false;
  }
  if (from.incarnation != source.incarnation) {
    source = Source{};
    source.incarnation = from.incarnation;
  }
  acceptPage(source, reply, now);
  dropStale();
  return true;
}

void StateTransfer::acceptPage(Source& source, const proto::ClaimTransferReply& reply, Time now) {
  const std::optional<ClaimKey> after =
      reply.has_after() ? fromProto(reply.after()) : std::optional<ClaimKey>();
  const bool expected =
      after.has_value() == source.cursor.has_value() && (!after || *after == *source.cursor);
  if (!expected) {
    return;  // A duplicate or reordered page.
  }
  for (const proto::NodeLife& identity : reply.crash_vector()) {
    raiseIncarnation(source.vector, fromProto(identity));
  }
  source.birthFloor = std::max(source.birthFloor, reply.birth_floor_microseconds());
  for (const proto::ClaimRecordMessage& message : reply.records()) {
    const std::optional<ClaimKey> key = fromProto(message.key());
    if (!key) {
      continue;
    }
    source.records[*key] = fromProto(message, now);
    source.cursor = *key;
  }
  if (reply.last_page()) {
    source.withState = true;
    source.empty = false;
  }
}

void StateTransfer::dropStale() {
  if (!rules_.crashVectors) {
    return;
  }
  CrashVector known;
  for (const auto& [node, source] : sources_) {
    raiseIncarnation(known, NodeLife{node, source.incarnation});
    for (const auto& [other, incarnation] : source.vector) {
      raiseIncarnation(known, NodeLife{other, incarnation});
    }
  }
  for (auto& [node, source] : sources_) {
    if (source.incarnation != Incarnation{} && source.incarnation < knownIncarnation(known, node)) {
      source = Source{};
    }
  }
}

TransferView StateTransfer::view(const ClaimKey& key, const std::vector<NodeId>& group) const {
  TransferView view;
  for (const NodeId node : group) {
    const auto found = sources_.find(node);
    if (found == sources_.end()) {
      continue;
    }
    const Source& source = found->second;
    if (source.withState || source.empty) {
      ++view.sealed;
    }
    if (!source.withState) {
      continue;
    }
    ++view.withState;
    const auto record = source.records.find(key);
    const bool known = record != source.records.end();
    view.records.push_back(
        RecordView{known ? &record->second : nullptr, key.birthMicroseconds < source.birthFloor});
  }
  return view;
}

size_t StateTransfer::missingState() const {
  return static_cast<size_t>(std::count_if(
      sources_.begin(), sources_.end(), [](const auto& entry) { return !entry.second.withState; }));
}

size_t StateTransfer::missingSeal() const {
  return static_cast<size_t>(std::count_if(sources_.begin(), sources_.end(), [](const auto& entry) {
    return !entry.second.withState && !entry.second.empty;
  }));
}

void StateTransfer::forget(const ClaimKey& key) {
  for (auto& [node, source] : sources_) {
    source.records.erase(key);
  }
}

std::vector<ClaimKey> StateTransfer::pendingKeys() const {
  std::set<ClaimKey> keys;
  for (const auto& [node, source] : sources_) {
    for (const auto& [key, record] : source.records) {
      keys.insert(key);
    }
  }
  return {keys.begin(), keys.end()};
}

}  // namespace fernmoor
