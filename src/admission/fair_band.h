/// @file
/// Weighted fair queueing between the tenants of one priority: start-time fair queueing (P. Goyal,
/// H. Vin, H. Cheng, 1996), which needs no knowledge of the server's speed.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <set>

#include "admission/admission_request.h"

namespace fernmoor {

/// Order of service inside one band. Not thread-safe.
class FairBand {
 public:
  /// Adds a ticket at the end of its tenant's flow.
  void push(const TenantId& tenant, double weight, double cost, TicketId ticket);
  /// @return the ticket that is next; the band must not be empty.
  TicketId front() const;
  /// Takes out a ticket, served or not. A served one is charged to its tenant.
  void remove(const TenantId& tenant, TicketId ticket, bool served);

  bool empty() const { return size_ == 0; }
  size_t size() const { return size_; }
  /// @return tickets that go before one that this tenant would push now.
  double ticketsAhead(const TenantId& tenant, double weight) const;

 private:
  struct Item {
    TicketId ticket;
    double cost = 1.0;
  };
  struct Flow {
    double weight = 1.0;
    double startTag = 0;  ///< Virtual time at which the first item may start.
    std::list<Item> items;
  };
  struct Head {
    double startTag = 0;
    TenantId tenant;
    friend bool operator<(const Head& a, const Head& b) {
      return a.startTag != b.startTag ? a.startTag < b.startTag : a.tenant < b.tenant;
    }
  };

  void forgetIdleFlow(const TenantId& tenant);

  std::map<TenantId, Flow> flows_;
  std::set<Head> heads_;  ///< Flows with items, by start tag.
  double virtualTime_ = 0;
  double activeWeight_ = 0;
  size_t size_ = 0;
};

}  // namespace fernmoor
