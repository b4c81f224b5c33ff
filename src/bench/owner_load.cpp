#include "bench/owner_load.h"

#include <limits>

namespace fernmoor::bench {

namespace {

constexpr uint64_t kEngine = 77;
constexpr uint64_t kNode = 5;
constexpr uint64_t kNoBound = std::numeric_limits<uint64_t>::max();
/// Slots that are free beside the present requests.
constexpr uint32_t kFreePlaces = 8;
constexpr uint32_t kPartTokens = 512;
constexpr uint64_t kOwnTokens = 628;
constexpr uint64_t kAnswerTokens = 294;
constexpr uint64_t kLargestTenant = 1;
constexpr int kUrgentKind = 0;
constexpr int kOtherKind = 2;
constexpr size_t kPartsOfRequest = 2;
/// Callers may return for a third of this time, long enough for all reservations.
constexpr Duration kDeadline{60000000};
/// By then all reservations are over, and the engine's entry still exists.
constexpr Duration kReservationsEnd{10000000};
constexpr Duration kLongestPause{300000};
constexpr Duration kStep{1};

}  // namespace

OwnerLoad::OwnerLoad(const OwnerLoadSizes& sizes) : now_(std::chrono::hours(1000)) {
  room_.places = static_cast<uint32_t>(sizes.presentRequests) + kFreePlaces;
  room_.memoryTokens =
      2 * (sizes.knownParts * kPartTokens + sizes.presentRequests * (kOwnTokens + kAnswerTokens));
  addPresent(sizes);
  addReservations(sizes);
  if (sizes.areTenantsWaiting) {
    refuseTenants(sizes);
  }
}

Time OwnerLoad::step() {
  now_ += kStep;
  return now_;
}

gateway::PendingRequest OwnerLoad::makeRequest(uint64_t tenant) {
  gateway::PendingRequest request{kNode, ++lastId_, {}};
  request.demand.promptTokens = kOwnTokens;
  request.demand.forgetAfter = kDeadline;
  request.demand.urgency = kOtherKind;
  request.demand.tenant = tenant;
  request.demand.requestKey = ++lastKey_;
  request.demand.longestPause = kLongestPause;
  for (size_t part = 0; part < kPartsOfRequest; ++part) {
    request.demand.sharedParts.push_back(gateway::SharedPart{partKey_ + part, kPartTokens});
    request.demand.promptTokens += kPartTokens;
  }
  request.demand.memoryTokens = request.demand.promptTokens + kAnswerTokens;
  return request;
}

void OwnerLoad::addPresent(const OwnerLoadSizes& sizes) {
  const size_t partsOfEach = sizes.knownParts / sizes.presentRequests;
  uint64_t nextPart = 1;
  for (size_t index = 0; index < sizes.presentRequests; ++index) {
    const bool isOfLargest = index % 2 == 0 || sizes.tenants < 2;
    gateway::PendingRequest request =
        makeRequest(isOfLargest ? kLargestTenant : 2 + index / 2 % (sizes.tenants - 1));
    request.demand.urgency = index % 4 < 2 ? kUrgentKind : kOtherKind;
    request.demand.sharedParts.clear();
    for (size_t part = 0; part < partsOfEach; ++part) {
      request.demand.sharedParts.push_back(gateway::SharedPart{nextPart++, kPartTokens});
    }
    request.demand.promptTokens = kOwnTokens + partsOfEach * kPartTokens;
    request.demand.memoryTokens = request.demand.promptTokens + kAnswerTokens;
    work_.reserve(kEngine, request, room_, kNoBound, step());
    work_.promptRead(kEngine, kNode, request.id, step());
  }
  partKey_ = 1;
}

void OwnerLoad::addReservations(const OwnerLoadSizes& sizes) {
  for (size_t index = 0; index < sizes.reservations; ++index) {
    gateway::PendingRequest request = makeRequest(0);
    request.demand.onlySpare = true;  // More than half of the engine is in use, so it is refused.
    work_.reserve(kEngine, request, room_, kNoBound, step());
  }
}

/// A request that would wait for another prompt and is released unsent counts as refused.
void OwnerLoad::refuseTenants(const OwnerLoadSizes& sizes) {
  const gateway::PendingRequest first = makeRequest(0);
  work_.reserve(kEngine, first, room_, kNoBound, step());
  for (uint64_t tenant = 1; tenant <= sizes.tenants; ++tenant) {
    gateway::PendingRequest request = makeRequest(tenant);
    request.demand.requestKey = 0;
    work_.reserve(kEngine, request, room_, kNoBound, step());
    work_.release(kEngine, kNode, request.id, step());
  }
  work_.promptRead(kEngine, kNode, first.id, step());
  work_.release(kEngine, kNode, first.id, step());
}

gateway::LoadAnswer OwnerLoad::serve() {
  const gateway::PendingRequest request = makeRequest(std::numeric_limits<uint64_t>::max());
  const gateway::LoadAnswer answer = work_.reserve(kEngine, request, room_, kNoBound, step());
  work_.promptRead(kEngine, kNode, request.id, now_);
  work_.release(kEngine, kNode, request.id, now_);
  return answer;
}

gateway::LoadAnswer OwnerLoad::askForMore() {
  return work_.reserve(kEngine, makeRequest(kLargestTenant), room_, kNoBound, step());
}

gateway::ReturnCounts OwnerLoad::endReservations() {
  now_ += kReservationsEnd;
  serve();
  return work_.returns();
}

}  // namespace fernmoor::bench
