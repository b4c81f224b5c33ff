/// @file
/// Admission windows of brittle engines: how many requests an engine may hold, all nodes together.
/// Such an engine crashes if it has to reject more than a few requests within a second, and may
/// hold fewer than the places that it lists. The node that counts its load admits requests up to a
/// window that shrinks with each rejection and grows back slowly (AIMD), and none at all for the
/// rest of a second after a few rejections. While the count may be incomplete (the window is new,
/// or an engine has just rejected a request), few requests are admitted at once, so that their
/// rejections arrive before more are sent.
///
/// The load it answers: a service with less room than requests, whose rejected requests would be
/// retried at the next engine and make one after the other crash.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <unordered_map>

#include "common/time.h"

namespace fernmoor::gateway {

/// What is known of a brittle engine when a request is to be admitted.
struct BrittleLoad {
  size_t present = 0;        ///< Requests that are counted there.
  size_t places = 0;         ///< That it lists; 0: unknown.
  double survivesPerSecond;  ///< Rejections in one second that it states it survives.
};

struct AdmissionOffer {
  bool isAdmitted = false;
  Duration wait{0};  ///< If not admitted: time until another try is worthwhile.
};

/// Thread-safe. Engines are identified by the hashes of their incarnations.
class AdmissionWindows {
 public:
  /// Decides on one request; it counts as admitted if the offer says so.
  AdmissionOffer admit(uint64_t engine, const BrittleLoad& load, Time now);
  /// The engine rejected a request for want of room.
  /// @param present requests counted there, the rejected one included.
  void noteRejection(uint64_t engine, size_t present, double survivesPerSecond, Time now);
  /// Removes windows that were not used for a while.
  void forgetUnused(Time now);

 private:
  struct Window {
    double size = 0;       ///< Requests that the engine may hold.
    double knownSize = 0;  ///< What it held at its last rejection; grows slowly beyond.
    Time grownAt;
    Time countsAllFrom;  ///< Requests that were sent before the window existed have ended by then.
    Time cautiousUntil;  ///< Few requests are admitted at once before this time.
    Time closedUntil;    ///< No request is admitted before this time.
    Time burstSince;
    size_t burst = 0;             ///< Admitted since `burstSince`.
    std::deque<Time> rejections;  ///< Within the last second.
    Time usedAt;
  };

  Window& windowOf(uint64_t engine, double size, Time now);

  std::mutex mutex_;
  std::unordered_map<uint64_t, Window> windows_;
};

}  // namespace fernmoor::gateway
