#include "gateway/engine_division.h"

#include <algorithm>
#include <cmath>

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// A prompt of this size holds up the streams beside it noticeably while it is read.
constexpr uint64_t kLongPromptTokens = 2048;
/// Below this share of the work the one kind does not get engines of its own.
constexpr double kLeastShare = 0.04;
/// Tokens that count for a short request besides its prompt: it occupies its engine by its answer.
constexpr double kTokensOfAnswer = 500;
constexpr Duration kDemandHalfLife{5000000};
constexpr size_t kFewestEngines = 4;
/// Of three engines so many serve long prompts.
constexpr size_t kLongOfThree = 2;

bool isLong(const IncomingRequest& request) {
  return request.promptTokens >= kLongPromptTokens;
}

}  // namespace

EngineShare EngineDivision::note(const IncomingRequest& request, Time now) {
  if (!request.row->usesPrefixes) {
    return EngineShare::kAll;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  Demand& demand = demands_[request.pool];
  const double decay = std::exp2(-toSeconds(now - demand.countedAt) / toSeconds(kDemandHalfLife));
  demand.longTokens *= decay;
  demand.shortTokens *= decay;
  demand.countedAt = now;
  const bool isLongPrompt = isLong(request);
  if (isLongPrompt) {
    demand.longTokens += static_cast<double>(request.promptTokens);
  } else {
    demand.shortTokens += static_cast<double>(request.promptTokens) + kTokensOfAnswer;
  }
  const double all = demand.longTokens + demand.shortTokens;
  if (std::min(demand.longTokens, demand.shortTokens) < kLeastShare * all) {
    return EngineShare::kAll;
  }
  return isLongPrompt ? EngineShare::kLongPart : EngineShare::kShortPart;
}

std::vector<BackendView> membersOfShare(const std::vector<BackendView>& members,
                                        EngineShare share) {
  if (share == EngineShare::kAll || members.size() < kFewestEngines) {
    return members;
  }
  std::vector<const BackendView*> order;
  order.reserve(members.size());
  for (const BackendView& member : members) {
    order.push_back(&member);
  }
  std::sort(order.begin(), order.end(), [](const BackendView* a, const BackendView* b) {
    return stableHash(a->listing.id) < stableHash(b->listing.id);
  });
  const size_t longCount = order.size() * kLongOfThree / 3;
  const size_t first = share == EngineShare::kLongPart ? 0 : longCount;
  const size_t last = share == EngineShare::kLongPart ? longCount : order.size();
  std::vector<BackendView> chosen;
  for (size_t index = first; index < last; ++index) {
    chosen.push_back(*order[index]);
  }
  return chosen;
}

}  // namespace fernmoor::gateway
