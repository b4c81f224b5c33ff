#include "gateway/forwarder.h"

#include <utility>

#include "gateway/request_run.h"

namespace fernmoor::gateway {

Forwarder::Forwarder(ForwarderServices services, ForwarderOptions options)
    : services_(std::move(services)),
      options_(std::move(options)),
      planner_(PlannerServices{services_.clock, services_.backends, services_.wanted,
                               services_.parts, services_.loads},
               options_.zone, options_.randomSeed),
      returnTimes_(options_.randomSeed) {}

void Forwarder::serve(IncomingRequest request, CallerChannel& caller) {
  RequestRun(*this, request, caller).run();
}

}  // namespace fernmoor::gateway
