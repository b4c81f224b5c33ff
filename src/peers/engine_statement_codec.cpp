#include "peers/engine_statement_codec.h"

#include <cmath>

#include "peers/message_time.h"

namespace fernmoor::peers {

using gateway::EngineStatement;
using gateway::LimitStatement;

namespace {

LimitStatement decodeNumber(bool isStated, double number, uint32_t sentAgoMilliseconds,
                            uint32_t cameAgoMilliseconds, Time now) {
  LimitStatement statement;
  if (isStated && std::isfinite(number) && number >= 0) {
    statement.ratePerSecond = number;
  }
  statement.sentAt = now - std::chrono::milliseconds(sentAgoMilliseconds);
  statement.cameAt = now - std::chrono::milliseconds(cameAgoMilliseconds);
  return statement;
}

}  // namespace

void encodeStatement(const EngineStatement& statement, Time now, proto::EngineStatement& message) {
  message.set_engine(statement.engine);
  if (statement.limit) {
    message.set_is_limited(statement.limit->ratePerSecond.has_value());
    message.set_requests_per_second(statement.limit->ratePerSecond.value_or(0));
    message.set_sent_ago_milliseconds(toMilliseconds(now - statement.limit->sentAt));
    message.set_came_ago_milliseconds(toMilliseconds(now - statement.limit->cameAt));
  }
  if (statement.brittleness) {
    message.set_is_brittle(statement.brittleness->ratePerSecond.has_value());
    message.set_survived_rejections(statement.brittleness->ratePerSecond.value_or(0));
    message.set_brittle_sent_ago_milliseconds(toMilliseconds(now - statement.brittleness->sentAt));
    message.set_brittle_came_ago_milliseconds(toMilliseconds(now - statement.brittleness->cameAt));
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
    statement.limit =
        decodeNumber(message.is_limited(), message.requests_per_second(),
                     message.sent_ago_milliseconds(), message.came_ago_milliseconds(), now);
  }
  if (message.has_is_brittle()) {
    statement.brittleness = decodeNumber(message.is_brittle(), message.survived_rejections(),
                                         message.brittle_sent_ago_milliseconds(),
                                         message.brittle_came_ago_milliseconds(), now);
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
