/// @file
/// Weighted fair queueing between the tenants of one priority band. Implements start-time fair
/// queueing (P. Goyal, H. Vin, H. Cheng, 1996), which does not need to know the server's rate.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <set>

#include "admission/admission_request.h"

namespace fernmoor {

/// Order of service within one priority band. Not thread-safe.
class FairBand {
 public:
  /// Appends a ticket to its tenant's flow. A weight takes effect only when the flow was empty.
  void push(const TenantId& tenant, double weight, double cost, TicketId ticket);
  /// @return the next ticket to serve. The band must not be empty.
  TicketId front() const;
  /// Removes a ticket. If it was served, its cost is charged to the tenant.
  void remove(const TenantId& tenant, TicketId ticket, bool served);

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  /// @return an estimate of how many tickets would be served before one pushed by this tenant now.
  double ticketsAhead(const TenantId& tenant, double weight) const;

 private:
  struct Item {
    TicketId ticket;
    double cost = 1.0;
  };
  struct Flow {
    double weight = 1.0;
    double startTag = 0;  ///< Virtual start time of the first item.
    std::list<Item> items;
  };
  struct Head {
    double startTag = 0;
    TenantId tenant;
    friend bool operator<(const Head& a, const Head& b) {
      return a.startTag != b.startTag ? a.startTag < b.startTag : a.tenant < b.tenant;
    }
  };

  void eraseIdleFlow(const TenantId& tenant);

  std::map<TenantId, Flow> flows_;
  std::set<Head> heads_;  ///< Non-empty flows, ordered by start tag.
  double virtualTime_ = 0;
  double activeWeight_ = 0;  ///< Sum of the weights of non-empty flows.
  size_t size_ = 0;
};

}  // namespace fernmoor
