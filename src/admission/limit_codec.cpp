#include "admission/limit_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernmoor {

namespace {

/// Largest rate, burst or token count accepted from a message; larger values are clamped.
constexpr double kMaximumNumber = 1e9;

double clampFinite(double value) {
  return std::isfinite(value) ? std::clamp(value, 0.0, kMaximumNumber) : 0.0;
}

uint32_t toUnsigned(int64_t value) {
  return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, std::numeric_limits<int32_t>::max()));
}

}  // namespace

void encodeDemand(const LimitDemand& demand, proto::LimitDemand& message) {
  message.set_service(demand.limits.row.service.value());
  message.set_tenant(demand.limits.row.tenant.value());
  message.set_row_version(demand.limits.rowVersion);
  message.set_rate_per_second(demand.limits.ratePerSecond);
  message.set_burst(demand.limits.burst);
  message.set_concurrency(toUnsigned(demand.limits.concurrency));
  message.set_sequence(demand.sequence);
  message.set_demand_per_second(static_cast<float>(demand.demandPerSecond));
  message.set_wanted_tokens(demand.wantedTokens);
  message.set_needed_tokens(demand.neededTokens);
  message.set_in_flight(toUnsigned(demand.inFlight));
  message.set_held_places(toUnsigned(demand.heldPlaces));
  message.set_wanted_places(toUnsigned(demand.wantedPlaces));
  message.set_had_grants(demand.hadGrants);
}

LimitDemand decodeDemand(const proto::LimitDemand& message) {
  LimitDemand demand;
  demand.limits.row = RowKey{ServiceId(message.service()), TenantId(message.tenant())};
  demand.limits.rowVersion = message.row_version();
  demand.limits.ratePerSecond = clampFinite(message.rate_per_second());
  demand.limits.burst = clampFinite(message.burst());
  demand.limits.concurrency = message.concurrency();
  demand.sequence = message.sequence();
  demand.demandPerSecond = clampFinite(message.demand_per_second());
  demand.wantedTokens = clampFinite(message.wanted_tokens());
  demand.neededTokens = clampFinite(message.needed_tokens());
  demand.inFlight = message.in_flight();
  demand.heldPlaces = message.held_places();
  demand.wantedPlaces = message.wanted_places();
  demand.hadGrants = message.had_grants();
  return demand;
}

void encodeGrant(const LimitGrant& grant, proto::LimitGrant& message) {
  message.set_service(grant.row.service.value());
  message.set_tenant(grant.row.tenant.value());
  message.set_sequence(grant.sequence);
  message.set_tokens(grant.tokens);
  message.set_rate_per_second(static_cast<float>(grant.ratePerSecond));
  message.set_places(toUnsigned(grant.places));
  message.set_places_confirmed(grant.placesConfirmed);
}

LimitGrant decodeGrant(const proto::LimitGrant& message) {
  LimitGrant grant;
  grant.row = RowKey{ServiceId(message.service()), TenantId(message.tenant())};
  grant.sequence = message.sequence();
  grant.tokens = clampFinite(message.tokens());
  grant.ratePerSecond = clampFinite(message.rate_per_second());
  grant.places = message.places();
  grant.placesConfirmed = message.places_confirmed();
  return grant;
}

}  // namespace fernmoor
