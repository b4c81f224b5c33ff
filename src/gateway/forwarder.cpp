#include "gateway/forwarder.h"

#include "gateway/request_run.h"

namespace fernmoor::gateway {

namespace {

/// About 200 bytes each.
constexpr size_t kPartsRemembered = 4096;

}  // namespace

Forwarder::Forwarder(ForwarderServices services, ForwarderOptions options)
    : services_(services), options_(std::move(options)), parts_(kPartsRemembered), random_(options_.randomSeed) {}

void Forwarder::serve(const IncomingRequest& request, CallerChannel& caller) {
  RequestRun(*this, request, caller).run();
}

}  // namespace fernmoor::gateway
