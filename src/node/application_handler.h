/// @file
/// Serves POST /v1/applications/<service>: lookups, receipts and payments. Requests that may not be
/// repeated are claimed first, so that they run at most once however often and wherever they are
/// sent (docs/CLAIMS.md).
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include <string>

#include "node/application_runner.h"
#include "node/node_services.h"

namespace fernmoor {

/// Names of the headers that callers of the application path use.
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr const char* kNotRepeatableHeader = "X-Not-Repeatable";
/// Set to "true" where the answer is that of a former send.
constexpr const char* kReplayedHeader = "X-Fernmoor-Replayed";

class ApplicationHandler : public Poco::Net::HTTPRequestHandler {
 public:
  ApplicationHandler(NodeServices& services, ServiceId service)
      : services_(services), service_(std::move(service)) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  /// What the caller gets.
  struct Outcome {
    ApplicationAnswer answer;
    bool replayed = false;
  };

  Result<Outcome> serve(Poco::Net::HTTPServerRequest& request, RequestRecord& record);
  Result<const Row*> findRow(const TableSnapshot& table, const TenantId& tenant) const;
  Result<Outcome> admitAndRun(Poco::Net::HTTPServerRequest& request, const Row& row,
                              ApplicationRequest& application, RequestRecord& record);
  Result<Outcome> runOnce(const ApplicationRequest& application, const Row& row,
                          RequestRecord& record);
  Result<Outcome> runClaimed(ClaimTicket ticket, const ApplicationRequest& application,
                             RequestRecord& record);

  NodeServices& services_;
  const ServiceId service_;
};

}  // namespace fernmoor
