#include "admission/fair_band.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Idle flows that are kept so that a tenant can't lose its debt by emptying its queue.
constexpr size_t kRememberedFlows = 1024;

}  // namespace

void FairBand::push(const TenantId& tenant, double weight, double cost, TicketId ticket) {
  Flow& flow = flows_[tenant];
  if (flow.items.empty()) {
    flow.weight = weight;
    flow.startTag = std::max(flow.startTag, virtualTime_);
    heads_.insert(Head{flow.startTag, tenant});
    activeWeight_ += flow.weight;
  }
  flow.items.push_back(Item{ticket, cost});
  ++size_;
}

TicketId FairBand::front() const {
  return flows_.at(heads_.begin()->tenant).items.front().ticket;
}

void FairBand::remove(const TenantId& tenant, TicketId ticket, bool served) {
  Flow& flow = flows_[tenant];
  const auto item = std::find_if(flow.items.begin(), flow.items.end(),
                                 [&](const Item& each) { return each.ticket == ticket; });
  if (item == flow.items.end()) {
    return;
  }
  heads_.erase(Head{flow.startTag, tenant});
  if (served) {
    virtualTime_ = std::max(virtualTime_, flow.startTag);
    flow.startTag += item->cost / flow.weight;
  }
  flow.items.erase(item);
  --size_;
  if (flow.items.empty()) {
    activeWeight_ -= flow.weight;
    forgetIdleFlow(tenant);
  } else {
    heads_.insert(Head{flow.startTag, tenant});
  }
}

void FairBand::forgetIdleFlow(const TenantId& tenant) {
  if (flows_.size() > kRememberedFlows || flows_[tenant].startTag <= virtualTime_) {
    flows_.erase(tenant);
  }
}

double FairBand::ticketsAhead(const TenantId& tenant, double weight) const {
  const auto found = flows_.find(tenant);
  const bool active = found != flows_.end() && !found->second.items.empty();
  const auto own = active ? static_cast<double>(found->second.items.size()) : 0.0;
  const double total = activeWeight_ + (active ? 0.0 : weight);
  // Its own ones, and for each of them and itself the others' share.
  const double others = (own + 1.0) * std::max(0.0, total / weight - 1.0);
  return std::min(own + others, static_cast<double>(size_));
}

}  // namespace fernmoor
