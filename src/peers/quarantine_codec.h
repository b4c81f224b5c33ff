/// @file
/// Encodes suspicions and their runs in messages. Times are sent as ages, as nodes' clocks differ.
#pragma once

#include "common/time.h"
#include "envelope.pb.h"
#include "peers/message_time.h"
#include "quarantine/crash_evidence.h"

namespace fernmoor::peers {

inline void encodeRun(const quarantine::CrashedRun& run, Time now, proto::CrashedRun& out) {
  out.set_incarnation(run.incarnation);
  out.set_began_age_milliseconds(toMilliseconds(now - run.beganAt));
  out.set_ended_age_milliseconds(toMilliseconds(now - run.endedAt));
  out.set_start_known(run.startKnown);
}

inline quarantine::CrashedRun decodeRun(const proto::CrashedRun& run, Time now) {
  return quarantine::CrashedRun{
      run.incarnation(), now - std::chrono::milliseconds(run.began_age_milliseconds()),
      now - std::chrono::milliseconds(run.ended_age_milliseconds()), run.start_known()};
}

/// @tparam Message a proposal, a verdict or a report.
template <class Message>
quarantine::Suspicion decodeSuspicion(const Message& message, Time now) {
  quarantine::Suspicion suspicion;
  suspicion.fingerprint = message.fingerprint();
  for (const proto::CrashedRun& run : message.runs()) {
    suspicion.runs.push_back(decodeRun(run, now));
  }
  return suspicion;
}

template <class Message>
void encodeSuspicion(const quarantine::Suspicion& suspicion, Time now, Message& message) {
  message.set_fingerprint(suspicion.fingerprint);
  for (const quarantine::CrashedRun& run : suspicion.runs) {
    encodeRun(run, now, *message.add_runs());
  }
}

inline proto::Envelope makeVerdict(const quarantine::Suspicion& suspicion, Time since, Time now) {
  proto::Envelope envelope;
  proto::QuarantineVerdict& verdict = *envelope.mutable_quarantine()->mutable_verdict();
  encodeSuspicion(suspicion, now, verdict);
  verdict.set_age_milliseconds(toMilliseconds(now - since));
  return envelope;
}

}  // namespace fernmoor::peers
