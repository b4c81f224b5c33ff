#include "gateway/backend_choice.h"

#include <algorithm>

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// A home takes this many times the mean of this node's requests before it passes one on.
constexpr double kBoundedLoadFactor = 1.5;
/// Requests that every back end may have whatever the mean is.
constexpr double kBoundedLoadSlack = 4;
/// Prompt tokens that wait at a home, of this node's requests, before it passes one on.
constexpr uint64_t kMostPendingTokens = 6000;
/// What a back end of another zone costs, in requests.
constexpr double kOtherZonePenalty = 1.5;

using Candidates = std::vector<const BackendView*>;

Candidates usableOf(const std::vector<BackendView>& candidates, const std::set<std::string>& tried,
                    bool withAvoided) {
  Candidates usable;
  for (const BackendView& candidate : candidates) {
    const bool wasTried = tried.count(candidate.listing.id) > 0;
    if (!wasTried && (withAvoided || !candidate.isAvoided)) {
      usable.push_back(&candidate);
    }
  }
  return usable;
}

/// @return the part by which the request's home is found: the last one that others share.
std::optional<std::string> affinityPart(const IncomingRequest& request) {
  if (!request.row->usesPrefixes || request.parts.size() < 2) {
    return std::nullopt;
  }
  return request.parts[request.parts.size() - 2].id;
}

double meanInFlight(const Candidates& candidates) {
  double sum = 0;
  for (const BackendView* candidate : candidates) {
    sum += candidate->inFlight;
  }
  return sum / static_cast<double>(candidates.size());
}

const BackendView* firstWithinBound(const Candidates& ordered) {
  const double bound = meanInFlight(ordered) * kBoundedLoadFactor + kBoundedLoadSlack;
  for (const BackendView* candidate : ordered) {
    if (candidate->inFlight < bound && candidate->pendingTokens < kMostPendingTokens) {
      return candidate;
    }
  }
  return ordered.front();
}

const BackendView* leastLoaded(const Candidates& candidates, const std::string& zone,
                               Random& random) {
  const BackendView* best = nullptr;
  double bestScore = 0;
  for (const BackendView* candidate : candidates) {
    const double penalty = candidate->listing.zone == zone ? 0 : kOtherZonePenalty;
    const double score = candidate->inFlight + penalty + random.unit() / 2;
    if (best == nullptr || score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

}  // namespace

std::optional<BackendChoice> chooseBackend(const IncomingRequest& request,
                                           const std::vector<BackendView>& candidates,
                                           const ChoiceContext& context, Random& random) {
  Candidates usable = usableOf(candidates, context.tried, false);
  if (usable.empty()) {
    usable = usableOf(candidates, context.tried, true);
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::optional<std::string> part = affinityPart(request);
  if (!part) {
    return BackendChoice{*leastLoaded(usable, context.zone, random)};
  }
  const std::string owner =
      request.tenant && request.tenant->isIsolated ? request.tenant->name : "";
  const uint64_t key = stableHash(*part + "/" + owner);
  const size_t count = usable.size();
  usable = rendezvousTop(key, std::move(usable), count,
                         [](const BackendView* each) { return stableHash(each->listing.id); });
  return BackendChoice{*firstWithinBound(usable)};
}

std::string cacheScopeOf(const IncomingRequest& request, uint64_t weightsVersion) {
  const bool isolated = request.tenant && request.tenant->isIsolated;
  const std::string owner = isolated ? "t-" + request.tenant->name : "shared";
  return owner + ".v" + std::to_string(weightsVersion);
}

}  // namespace fernmoor::gateway
