#include "peers/engine_statement_codec.h"

#include <cmath>

#include "peers/message_time.h"

namespace fernmoor::peers {

using gateway::EngineStatement;
using gateway::LimitStatement;

void encodeStatement(const EngineStatement& statement, Time now, proto::EngineStatement& message) {
  message.set_engine(statement.engine);
  if (statement.limit) {
    message.set_is_limited(statement.limit->ratePerSecond.has_value());
    message.set_requests_per_second(statement.limit->ratePerSecond.value_or(0));
    message.set_sent_ago_milliseconds(toMilliseconds(now - statement.limit->sentAt));
    message.set_came_ago_milliseconds(toMilliseconds(now - statement.limit->cameAt));
  }
  if (statement.leavingSince) {
    message.set_leaves_since_milliseconds(toMilliseconds(now - *statement.leavingSince));
  }
  if (statement.restsUntil && *statement.restsUntil > now) {
    message.set_rest_left_milliseconds(toMilliseconds(*statement.restsUntil - now));
  }
}

EngineStatement decodeStatement(const proto::EngineStatement& message, Time now) {
  EngineStatement statement;
  statement.engine = message.engine();
  if (message.has_is_limited()) {
    LimitStatement limit;
    const double rate = message.requests_per_second();
    if (message.is_limited() && std::isfinite(rate) && rate >= 0) {
      limit.ratePerSecond = rate;
    }
    limit.sentAt = now - std::chrono::milliseconds(message.sent_ago_milliseconds());
    limit.cameAt = now - std::chrono::milliseconds(message.came_ago_milliseconds());
    statement.limit = limit;
  }
  if (message.has_leaves_since_milliseconds()) {
    statement.leavingSince = now - std::chrono::milliseconds(message.leaves_since_milliseconds());
  }
  if (message.rest_left_milliseconds() > 0) {
    statement.restsUntil = now + std::chrono::milliseconds(message.rest_left_milliseconds());
  }
  return statement;
}

}  // namespace fernmoor::peers
