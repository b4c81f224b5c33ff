#include "peers/engine_limit_codec.h"

#include <cmath>

#include "peers/message_time.h"

namespace fernmoor::peers {

void encodeLimit(const gateway::EngineStatement& told, Time now, proto::EngineLimit& message) {
  const gateway::LimitStatement& statement = told.statement;
  message.set_engine(told.engine);
  message.set_is_limited(statement.ratePerSecond.has_value());
  message.set_requests_per_second(statement.ratePerSecond.value_or(0));
  message.set_sent_ago_milliseconds(inMilliseconds(now - statement.sentAt));
  message.set_came_ago_milliseconds(inMilliseconds(now - statement.cameAt));
}

gateway::EngineStatement decodeLimit(const proto::EngineLimit& message, Time now) {
  gateway::EngineStatement told;
  told.engine = message.engine();
  const double rate = message.requests_per_second();
  if (message.is_limited() && std::isfinite(rate) && rate >= 0) {
    told.statement.ratePerSecond = rate;
  }
  told.statement.sentAt = now - std::chrono::milliseconds(message.sent_ago_milliseconds());
  told.statement.cameAt = now - std::chrono::milliseconds(message.came_ago_milliseconds());
  return told;
}

}  // namespace fernmoor::peers
