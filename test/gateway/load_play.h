/// @file
/// Plays a load of many callers against the decisions at the owners of engines (PendingWork) and at
/// the nodes (decideWait), in virtual time. Each engine has an owner of its own. The engines are
/// models with batch slots, memory in which shared prompt parts are held once, chunked prefill at a
/// fixed speed, and steps.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "gateway/pending_work.h"
#include "gateway/wait_policy.h"

namespace fernmoor::gateway {

/// The engines of the deployment `cffrc`, see docs/design/HARD-LOAD.md.
inline constexpr EngineRoom kEngineRoom{32, 95466};
inline constexpr double kTokensPerMillisecond = 40.8;
inline constexpr uint64_t kChunkTokens = 4096;
inline constexpr Duration kStepTime{5050};
inline constexpr int kTokensPerEvent = 6;
inline constexpr int kTenants = 16;

struct PlayedKind {
  int urgency = 0;
  std::vector<uint32_t> sharedTokens;  ///< The last part belongs to a subject.
  uint64_t ownTokens = 0;
  int events = 0;
  Duration target{0};
  Duration timeout{0};
};

PlayedKind longKind();
PlayedKind shortKind();

/// Requests of one kind that arrive at random.
struct Arrivals {
  PlayedKind kind;
  double perSecond = 0;
  /// Part of each tenant in the requests, by number from 0 on.
  std::vector<double> tenantParts;
  Duration from{0};
  Duration until{std::chrono::hours(1)};
};

/// The parts of 16 tenants of which a few are large.
std::vector<double> unequalTenants();

/// What became of the requests of one kind or tenant.
struct Served {
  int asked = 0;
  int served = 0;   ///< Completely before the deadline.
  int inTime = 0;   ///< Of these, with the first event within the target.
  int refused = 0;  ///< Attempts.
  int retried = 0;
  /// Attempts that were refused although an engine that was asked was less than half full.
  int refusedInVain = 0;
  int reservedRetries = 0;  ///< Retries that came while a reservation was kept for them.
  int servedReserved = 0;   ///< Of these.

  double part() const { return asked == 0 ? 1 : static_cast<double>(served) / asked; }
  Served& operator+=(const Served& other);
};

/// One engine. It reads prompts one after another and preempts nothing: it records how much memory
/// the present requests took at most.
class PlayedEngine {
 public:
  struct Work {
    uint32_t id = 0;
    std::vector<SharedPart> parts;
    uint64_t ownTokens = 0;
    int answerTokens = 0;
  };
  using Listener = std::function<void(uint32_t id)>;

  void send(const Work& work, Time now);
  void advance(Time now, const Listener& onFirstEvent, const Listener& onEnd);
  /// Drops a request.
  void cancel(uint32_t id, Time now);
  size_t present() const { return requests_.size(); }
  uint64_t heldTokens() const { return heldTokens_; }
  uint64_t mostHeldTokens() const { return mostHeldTokens_; }
  /// @return how long a prompt that comes now waits until it is read.
  Duration readingWait(Time now) const;
  /// @return memory that another request would take.
  uint64_t addedTokens(const Work& work) const;

 private:
  struct Part {
    uint32_t tokens = 0;
    int users = 0;
    bool isRead = false;
    Time usedAt;
  };
  struct Request {
    Work work;
    uint64_t unread = 0;
    bool isBegun = false;  ///< The tokens that it has to read are known.
    bool isRead = false;
    int tokensLeft = 0;
  };

  uint64_t missingTokens(const Work& work) const;
  /// @return how long the step takes.
  Duration startStep();
  void remove(const Request& request, Time now);
  void evict();

  std::list<Request> requests_;  ///< In order of arrival; the first ones have the slots.
  std::map<uint64_t, Part> parts_;
  uint64_t heldTokens_ = 0;
  uint64_t mostHeldTokens_ = 0;
  uint64_t cachedTokens_ = 0;
  std::vector<uint32_t> begun_;  ///< Their first events come at the end of the step.
  bool isInStep_ = false;
  Time stepEnd_;
};

class LoadPlay {
 public:
  LoadPlay(size_t engines, std::vector<Arrivals> arrivals, uint32_t seed);

  /// Plays until this time after the start.
  void run(Duration until);
  /// Arrivals end; plays until all requests have ended.
  void finish();
  /// The engine is gone from now on, and nodes know it.
  void loseEngine(size_t engine);
  /// A new owner counts for the engine. Nodes report their open requests after `renewAfter`.
  void loseOwner(size_t engine, Duration renewAfter);

  /// Nodes report their open requests at the engine to its owner.
  void renew(size_t index);

  const Served& ofKind(size_t arrivals) const { return byKind_[arrivals]; }
  const Served& ofTenant(size_t tenant) const { return byTenant_[tenant]; }
  /// @return the most memory that requests took at an engine at a time.
  uint64_t mostHeldTokens() const;
  size_t engineCount() const { return engines_.size(); }
  PlayedEngine& engine(size_t index) { return engines_[index].model; }
  PendingWork& owner(size_t index) { return *engines_[index].owner; }
  Time now() const { return now_; }
  RoomRefusals refusals() const;
  ReturnCounts returns() const;

 private:
  struct Engine {
    PlayedEngine model;
    std::unique_ptr<PendingWork> owner;
    bool isLost = false;
    Time renewAt{Duration::max()};
  };
  struct Caller {
    size_t kind = 0;
    size_t tenant = 0;
    uint64_t subject = 0;
    uint64_t key = 0;
    Time arrivedAt;
    Time attemptAt;
    Time deadline;
    bool isRetry = false;
    bool hasReservation = false;  ///< For its retry.
    Time firstEventAt;
  };
  struct Open {
    Caller caller;
    size_t engine = 0;
    PendingRequest request;
    Time forgetAt;
    bool isRead = false;
  };
  struct Home {
    size_t engine = 0;
    LoadAnswer answer;
    Duration returnAfter{0};
    uint64_t cost = 0;
  };

  /// Nodes cancel requests at their deadline.
  void cancelOverdue();
  void arrive();
  void attempt(Caller caller);
  void refuse(Caller caller, const Home& home, Duration returnAfter,
              const std::vector<size_t>& homes);
  void serve(const Caller& caller, const Home& home);
  std::vector<size_t> homesOf(const Caller& caller) const;
  EngineDemand demandOf(const Caller& caller) const;
  LoadAnswer ask(size_t engine, const EngineDemand& demand, uint64_t bound);
  /// Asks the homes as a node does.
  Home findHome(const Caller& caller, const std::vector<size_t>& homes);
  bool hasAmpleRoom(size_t engine, const Caller& caller) const;
  PlayedEngine::Work workOf(const Caller& caller) const;
  void advanceEngine(size_t index);
  template <class Change>
  void count(const Caller& caller, Change change);
  double chance();

  std::vector<Arrivals> arrivals_;
  std::mt19937 random_;
  std::vector<Engine> engines_;
  std::multimap<Time, Caller> retries_;
  std::map<uint32_t, Open> open_;  ///< By id.
  std::vector<Served> byKind_;
  std::vector<Served> byTenant_;
  ReturnCounts formerReturns_;  ///< Of owners that were lost.
  uint32_t lastId_ = 0;
  uint64_t lastKey_ = 0;
  bool areArrivalsOver_ = false;
  Time now_;
};

}  // namespace fernmoor::gateway
