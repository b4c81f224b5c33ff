#include "engine/engine_load_codec.h"

#include <algorithm>
#include <limits>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Maximum number of adapters accepted from a message.
constexpr int kAdapterLimit = 64;
constexpr Duration kMicrosecondsPerMillisecond{1000};

uint32_t toUnsigned(int64_t value) {
  return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, std::numeric_limits<uint32_t>::max()));
}

template <class Enumeration>
Enumeration boundedEnum(uint32_t value, Enumeration last) {
  return static_cast<Enumeration>(std::min(value, static_cast<uint32_t>(last)));
}

}  // namespace

void encodeLoad(const EngineLoad& load, Time now, proto::EngineLoadSummary& summary) {
  summary.set_queued_prefill_tokens(toUnsigned(load.queuedPrefillTokens));
  summary.set_running_streams(toUnsigned(load.runningStreams));
  summary.set_waiting_requests(toUnsigned(load.waitingRequests));
  summary.set_token_interval_microseconds(toUnsigned(load.tokenInterval.count()));
  summary.set_age_milliseconds(toUnsigned((now - load.measuredAt) / kMicrosecondsPerMillisecond));
}

void decodeLoad(const proto::EngineLoadSummary& summary, Time now, EngineLoad& load) {
  load.queuedPrefillTokens = summary.queued_prefill_tokens();
  load.runningStreams = summary.running_streams();
  load.waitingRequests = summary.waiting_requests();
  load.tokenInterval = Duration(summary.token_interval_microseconds());
  load.measuredAt = now - summary.age_milliseconds() * kMicrosecondsPerMillisecond;
}

void encodeProfile(const EngineState& state, proto::EngineProfile& profile) {
  profile.set_model(state.model.value());
  profile.set_incarnation(state.incarnation.value());
  profile.set_weights_version(state.weightsVersion.value());
  profile.set_max_streams(toUnsigned(state.load.maxStreams));
  profile.set_prefill_tokens_per_second(static_cast<float>(state.load.prefillTokensPerSecond));
  for (const AdapterId& adapter : state.adapters) {
    profile.add_adapters(adapter.value());
  }
  profile.set_role(static_cast<uint32_t>(state.role));
  profile.set_status(static_cast<uint32_t>(state.status));
}

void decodeProfile(const proto::EngineProfile& profile, EngineState& state) {
  state.model = ModelId(profile.model());
  state.incarnation = Incarnation(profile.incarnation());
  state.weightsVersion = WeightsVersion(profile.weights_version());
  state.load.maxStreams = profile.max_streams();
  state.load.prefillTokensPerSecond = profile.prefill_tokens_per_second();
  state.adapters.clear();
  for (int index = 0; index < std::min(kAdapterLimit, profile.adapters_size()); ++index) {
    state.adapters.emplace_back(profile.adapters(index));
  }
  state.role = boundedEnum(profile.role(), EngineRole::kDecode);
  state.status = boundedEnum(profile.status(), EngineStatus::kDead);
}

uint32_t profileDigest(const EngineState& state) {
  proto::EngineProfile profile;
  encodeProfile(state, profile);
  return static_cast<uint32_t>(stableHash(profile.SerializeAsString()));
}

}  // namespace fernmoor
