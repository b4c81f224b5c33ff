/// @file
/// The operators' endpoints below /operator, as JSON; fernmoorctl is their client.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>

#include <functional>
#include <string>

#include "common/class_rates.h"
#include "engine/ownership_role.h"
#include "node/node_services.h"
#include "table/table_change_coordinator.h"

namespace fernmoor {

/// What the operators' endpoints need beyond the request plane's services. Thread-safe parts.
struct OperatorServices {
  NodeServices& node;
  const MembershipView& membership;
  const OwnershipRole& ownership;
  OwnedEngines& owned;
  ObjectStoreClient* platform;  ///< Null: the table can't be changed.
  TableRole& tableRole;
  std::function<void()> drainNode;  ///< Starts the drain of this node.
  /// Rates of the latest whole interval.
  std::function<std::vector<ClassRates>()> latestRates;
  Duration rateInterval;
};

/// One answer of an endpoint.
struct OperatorReply {
  int status = 200;
  Poco::JSON::Object::Ptr body;
};

/// Serves every path below /operator for callers with an operator's key.
class OperatorHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit OperatorHandler(OperatorServices& services) : services_(services) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  Result<OperatorReply> serve(Poco::Net::HTTPServerRequest& request);
  Result<OperatorReply> nodes();
  Result<OperatorReply> engines();
  Result<OperatorReply> explain(const std::string& request);
  Result<OperatorReply> drain(const std::string& body);
  Result<OperatorReply> top();
  Result<OperatorReply> version();

  OperatorServices& services_;
};

}  // namespace fernmoor
