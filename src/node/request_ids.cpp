#include "node/request_ids.h"

#include <cinttypes>
#include <cstdio>

#include "common/rendezvous.h"

namespace fernmoor {

RequestId RequestIds::next() {
  char text[64];
  std::snprintf(text, sizeof(text), "%" PRIx32 "-%" PRIx64 "-%" PRIx64, life_.node.value(),
                life_.incarnation.value(), ++count_);
  return RequestId(text);
}

uint64_t RequestIds::seedOf(const RequestId& request) const {
  return stableHash(request.value());
}

}  // namespace fernmoor
