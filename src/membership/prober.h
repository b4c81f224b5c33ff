/// @file
/// Probes one member per period in random order, directly and then through relays, as in SWIM
/// (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol", DSN 2002, sections 3.1 and 4.3).
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/random.h"
#include "membership/member_table.h"
#include "membership/messenger.h"

namespace fernmoor {

/// Why a member is probed.
enum class ProbePurpose {
  kPeriodic,   ///< Next in the round.
  kNeighbour,  ///< Another member of its zone did not answer: perhaps the whole zone is cut off.
  kChallenge,  ///< Dead here, live elsewhere: either it refutes, or others learn that it is dead.
  kLastWord,   ///< A suspect that half its time is over for: its refutation may have been lost.
};

/// A probe that nobody answered.
struct ProbeFailure {
  NodeLife target;
  ProbePurpose purpose = ProbePurpose::kPeriodic;
  NodeId teller;  ///< Sender of the statement that a challenged member is live.
};

/// Not thread-safe; works on state that its owner guards.
class Prober {
 public:
  /// All references outlive the prober.
  Prober(const MemberTable& table, Messenger& messenger, Random& random, const Knobs& knobs);

  /// Starts the periodic probe when due, sends indirect probes, and reports probes that timed out.
  /// @return the probes that failed.
  std::vector<ProbeFailure> onTick(Time now);
  /// Takes an answer, direct or passed on.
  void onAck(NodeId from, uint32_t nonce);
  /// Pings the target for the sender.
  void onIndirectPing(NodeId from, const proto::MembershipIndirectPing& request, Time now);

  /// Wants a member that is held to be dead or suspect to be asked soon, directly; at most a few
  /// per tick are.
  /// @param teller of a challenge: sender of the statement that the target is live.
  void askSoon(NodeId target, ProbePurpose purpose, NodeId teller = NodeId());
  /// Wants some other members of the target's zone to be probed soon, unless it is this node's own:
  /// a cut-off zone is then found out in a few generations of probes instead of one by one.
  void askNeighbours(NodeId target);
  /// A member is new: its first probe comes at a random place of the present round.
  void noteNewMember(NodeId node);
  /// Forgets the probes under way, after this process itself was stopped.
  void abandon(Time now);

 private:
  /// A probe that is to be started soon.
  struct WantedProbe {
    NodeId target;
    ProbePurpose purpose = ProbePurpose::kChallenge;
    NodeId teller;
  };
  struct Probe {
    NodeLife target;
    ProbePurpose purpose = ProbePurpose::kPeriodic;
    NodeId teller;
    uint32_t nonce = 0;
    Time askRelaysAt;
    Time failsAt;
    bool relaysAsked = false;
  };
  /// A ping sent for somebody else.
  struct Relay {
    NodeId asker;
    uint32_t askerNonce = 0;
    NodeId target;
    uint32_t nonce = 0;
    Time expiresAt;
  };

  bool isWanted(const WantedProbe& probe) const;
  void startDueProbe(Time now);
  void startWanted(Time now);
  void startProbe(const WantedProbe& wanted, Time now);
  void askRelays(Probe& probe);
  std::optional<NodeId> nextInRound();
  std::vector<NodeId> chooseRelays(NodeId target);
  Duration giveUpAfter() const;

  const MemberTable& table_;
  Messenger& messenger_;
  Random& random_;
  const Knobs& knobs_;
  std::vector<NodeId> round_;  ///< Members still to be probed in this round, the next one last.
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::vector<WantedProbe> wanted_;
  std::optional<Time> nextProbeAt_;
  uint32_t nextNonce_ = 1;
};

}  // namespace fernmoor
