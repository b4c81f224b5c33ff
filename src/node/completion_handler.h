/// @file
/// Serves POST /v1/completions, POST /v1/chat/completions, GET /v1/models and GET
/// /v1/streams/<id>?position=N.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include "node/completion_api.h"
#include "node/node_services.h"

namespace fernmoor {

/// A request for a model's answer.
class CompletionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  CompletionHandler(NodeServices& services, CompletionShape shape)
      : services_(services), shape_(shape) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
             const TenantId& tenant, const RequestId& id);
  void relay(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
             const Row& row, const CompletionRequest& completion, const RequestId& id);

  NodeServices& services_;
  const CompletionShape shape_;
};

/// A caller takes up a stream that it lost, on this or another node.
class StreamHandler : public Poco::Net::HTTPRequestHandler {
 public:
  StreamHandler(NodeServices& services, std::string streamId, int64_t position)
      : services_(services), streamId_(std::move(streamId)), position_(position) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  NodeServices& services_;
  const std::string streamId_;
  const int64_t position_;
};

/// Lists the services that the caller's tenant may name as model.
class ModelsHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit ModelsHandler(NodeServices& services) : services_(services) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  NodeServices& services_;
};

/// @return the caller's tenant, or kUnauthorized.
Result<TenantId> authenticateCaller(const NodeServices& services,
                                    const Poco::Net::HTTPServerRequest& request);

/// @return the table that requests are served by, or kUnavailable while none is in force.
Result<Table::Snapshot> tableInForce(const NodeServices& services);

}  // namespace fernmoor
