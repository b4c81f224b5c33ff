#include "admission/fair_band.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Number of flows kept. Empty flows are retained so that a tenant cannot reset its start tag by
/// emptying its queue.
constexpr size_t kRetainedFlows = 1024;

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
    eraseIdleFlow(tenant);
  } else {
    heads_.insert(Head{flow.startTag, tenant});
  }
}

void FairBand::eraseIdleFlow(const TenantId& tenant) {
  if (flows_.size() > kRetainedFlows || flows_[tenant].startTag <= virtualTime_) {
    flows_.erase(tenant);
  }
}

double FairBand::ticketsAhead(const TenantId& tenant, double weight) const {
  const auto found = flows_.find(tenant);
  const bool active = found != flows_.end() && !found->second.items.empty();
  const auto own = active ? static_cast<double>(found->second.items.size()) : 0.0;
  const double total = activeWeight_ + (active ? 0.0 : weight);
  // The tenant's own tickets, plus the share that other tenants get for each of them and for this
  // one.
  const double others = (own + 1.0) * std::max(0.0, total / weight - 1.0);
  return std::min(own + others, static_cast<double>(size_));
}

}  // namespace fernmoor
