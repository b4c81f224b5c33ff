#include "peers/engine_statement_codec.h"

#include <cmath>

#include "peers/message_time.h"

namespace fernmoor::peers {

using gateway::EngineStatement;
using gateway::LimitStatement;

void encodeStatement(const EngineStatement& told, Time now, proto::EngineStatement& message) {
  message.set_engine(told.engine);
  if (told.limit) {
    message.set_is_limited(told.limit->ratePerSecond.has_value());
    message.set_requests_per_second(told.limit->ratePerSecond.value_or(0));
    message.set_sent_ago_milliseconds(inMilliseconds(now - told.limit->sentAt));
    message.set_came_ago_milliseconds(inMilliseconds(now - told.limit->cameAt));
  }
  if (told.leavingSince) {
    message.set_leaves_since_milliseconds(inMilliseconds(now - *told.leavingSince));
  }
  if (told.restsUntil && *told.restsUntil > now) {
    message.set_rest_left_milliseconds(inMilliseconds(*told.restsUntil - now));
  }
}

EngineStatement decodeStatement(const proto::EngineStatement& message, Time now) {
  EngineStatement told;
  told.engine = message.engine();
  if (message.has_is_limited()) {
    LimitStatement limit;
    const double rate = message.requests_per_second();
    if (message.is_limited() && std::isfinite(rate) && rate >= 0) {
      limit.ratePerSecond = rate;
    }
    limit.sentAt = now - std::chrono::milliseconds(message.sent_ago_milliseconds());
    limit.cameAt = now - std::chrono::milliseconds(message.came_ago_milliseconds());
    told.limit = limit;
  }
  if (message.has_leaves_since_milliseconds()) {
    told.leavingSince = now - std::chrono::milliseconds(message.leaves_since_milliseconds());
  }
  if (message.rest_left_milliseconds() > 0) {
    told.restsUntil = now + std::chrono::milliseconds(message.rest_left_milliseconds());
  }
  return told;
}

}  // namespace fernmoor::peers
