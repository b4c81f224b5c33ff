#include "gateway/software_choice.h"

#include <algorithm>
#include <map>
#include <optional>

namespace fernmoor::gateway {

namespace {

/// One for the stream, and one for the rest of it if the first crashes.
constexpr size_t kEnginesToBegin = 2;
/// Twice the time in which all nodes that follow the list learn of a new entry (2 s).
constexpr Duration kSettleTime{2000000};

}  // namespace

void leaveOutOtherSoftware(std::vector<BackendView>& members, const std::string& software) {
  members.erase(
      std::remove_if(members.begin(), members.end(),
                     [&](const BackendView& each) { return each.listing->software != software; }),
      members.end());
}

bool runSeveralVersions(const std::vector<BackendView>& members) {
  return std::any_of(members.begin(), members.end(), [&](const BackendView& each) {
    return each.listing->software != members.front().listing->software;
  });
}

std::vector<BackendView> membersToBegin(const std::vector<BackendView>& members, Time now) {
  std::map<std::optional<std::string>, size_t> sound;
  for (const BackendView& each : members) {
    sound[each.listing->software] += each.isLeaving || each.isAvoided ? 0 : 1;
  }
  std::vector<BackendView> shared;
  std::vector<BackendView> settled;
  for (const BackendView& each : members) {
    if (!each.listing->software || sound[each.listing->software] < kEnginesToBegin) {
      continue;
    }
    shared.push_back(each);
    if (now - each.softwareSince >= kSettleTime) {
      settled.push_back(each);
    }
  }
  if (!settled.empty()) {
    return settled;
  }
  return shared.empty() ? members : shared;
}

}  // namespace fernmoor::gateway
