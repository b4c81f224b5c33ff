#include "gateway/kind_sides.h"

#include "common/log.h"
#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// Interval at which a pool's separation is computed anew. Between two computations a joining or
/// leaving engine shifts the border by at most one engine.
constexpr Duration kUpdateInterval{1000000};

}  // namespace

void KindSides::update(const std::string& pool, PoolSides& sides,
                       const std::vector<BackendView>& members, PoolCapacity capacity, Time now) {
  sides.updatedAt = now;
  // Engines that are avoided for a moment, as while they load weights, keep their side: otherwise
  // the border moves with each of them, and streams meet the long prompts that run there.
  std::vector<uint64_t> usable;
  for (const BackendView& each : members) {
    if (!each.isLeaving) {
      usable.push_back(each.incarnation);
    }
  }
  capacity.usableEngines = usable.size();
  const bool isChanged = sides.separation.update(capacity, now);
  const std::optional<size_t> shortEngines = sides.separation.shortEngines();
  if (shortEngines) {
    sides.leastWeight = leastWeightOfFirst(stableHash(pool), usable, *shortEngines);
  }
  const std::optional<uint64_t> leftOut = isChanged ? changeLog_.take(now) : std::nullopt;
  if (!leftOut) {
    return;
  }
  LogFields fields;
  fields.service = ServiceId(pool);
  fields.leftOut = *leftOut;
  logInfo(shortEngines ? "engines: " + std::to_string(*shortEngines) + " of " +
                             std::to_string(usable.size()) + " serve rows with short prompts only"
                       : "engines: all " + std::to_string(usable.size()) + " serve all rows",
          fields);
}

std::optional<EngineSide> KindSides::sideOf(const IncomingRequest& request,
                                            const std::vector<BackendView>& members,
                                            uint32_t slotsPerEngine, size_t liveNodes, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = pools_.find(request.pool);
  if (found == pools_.end()) {
    return std::nullopt;
  }
  PoolSides& sides = found->second;
  if (!sides.updatedAt || now - *sides.updatedAt >= kUpdateInterval) {
    update(request.pool, sides, members, PoolCapacity{slotsPerEngine, 0, liveNodes}, now);
  }
  const std::optional<bool> isLong = sides.separation.isLong(request.row->name);
  if (!sides.separation.shortEngines() || !isLong) {
    return std::nullopt;
  }
  return EngineSide{stableHash(request.pool), sides.leastWeight, !*isLong};
}

void KindSides::noteSent(const IncomingRequest& request, const SentPrompt& prompt, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pools_[request.pool].separation.noteSent(request.row->name, request.row->longestPause, prompt,
                                           now);
}

void KindSides::noteFirstEvent(const IncomingRequest& request, uint64_t tokens, Duration took,
                               Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pools_[request.pool].separation.noteFirstEvent(request.row->name, tokens, took, now);
}

void KindSides::noteEnded(const IncomingRequest& request, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pools_[request.pool].separation.noteEnded(request.row->name, now);
}

}  // namespace fernmoor::gateway
