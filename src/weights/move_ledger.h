/// @file
/// The ledger of weight moves: one object in a store with conditional writes. Before a node orders
/// an engine to load weights it writes the intent into the ledger, on the condition that the ledger
/// has not changed since it was read; the new revision is the fencing token of the order. No lease
/// with an expiry is needed: a node becomes leader by writing, the former leader's next write
/// fails, and the ledger names the only engines to which the former leader may still send orders.
/// The new leader waits for MoverOptions::leaderChangeDelay before it orders those; all others can
/// be ordered at once.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/error.h"
#include "common/time.h"

namespace fernmoor::weights {

/// The intent to send one order.
struct LedgerMove {
  std::string engine;
  std::string model;
  uint64_t version = 0;
  std::string holder;  ///< Node that wrote the intent.
  Time at;             ///< When it was written, by this node's clock; may be late, never early.
};

struct Ledger {
  uint64_t revision = 0;   ///< A count of 0 means that this era of the store has no ledger.
  std::string holder;      ///< Node that wrote last, the leader; empty after a handover.
  uint64_t writtenIn = 0;  ///< Era of the store in which it was written; 0: unknown.
  std::vector<LedgerMove> moves;
};

/// @return the moves whose intent was written at `earliest` or later.
std::vector<LedgerMove> movesSince(const Ledger& ledger, Time earliest);

/// Result of a conditional write: the new revision, or the current ledger on a conflict.
struct LedgerWritten {
  uint64_t revision = 0;
};
struct LedgerChanged {
  Ledger current;
};
using LedgerOutcome = std::variant<LedgerWritten, LedgerChanged>;

/// Reads and writes the ledger in its store.
class LedgerStore {
 public:
  virtual ~LedgerStore() = default;
  /// @return the ledger; an empty one whose revision has a count of 0 if the store has none.
  virtual Result<Ledger> read() = 0;
  /// Writes if the revision is still `ledger.revision`. After an error the write may have taken
  /// effect, or may still do so later.
  virtual Result<LedgerOutcome> write(const Ledger& ledger) = 0;
  /// @return a time by which the store had been restored from an old copy after the ledger was
  ///         written, so that moves and a later holder may be missing from it; nothing if none can
  ///         be missing.
  virtual std::optional<Time> wentBackBy(const Ledger&) const { return std::nullopt; }
};

/// The newest ledger known to this node.
struct ObservedLedger {
  Ledger ledger;
  Time changedAt;  ///< When this node first saw this revision.
};

/// The newest ledger that this node has seen. Thread-safe.
class LedgerView {
 public:
  /// Replaces the ledger if `ledger` has a higher revision. @return whether it did.
  bool take(const Ledger& ledger, Time now);
  /// A decision and the conditional write that follows from it must use the result of one call: a
  /// change seen in between was not considered, and the write must fail because of it.
  ObservedLedger seen() const;
  /// @return the node that wrote the ledger last; empty if there is none or it handed over
  ///         leadership.
  std::string holder() const;

 private:
  mutable std::mutex mutex_;
  ObservedLedger seen_;
};

/// What an engine reports about its weights.
struct EngineReport {
  bool isBusy = false;    ///< It is executing an order.
  uint64_t orders = 0;    ///< Orders accepted by this incarnation.
  uint64_t version = 0;   ///< Of the queried model; 0: it does not serve the model.
  int64_t startedAt = 0;  ///< Unix time in ms; 0: not reported.
};

enum class OrderAnswer {
  kTaken,    ///< Accepted; the engine is executing it.
  kHolds,    ///< The engine already has the version.
  kNotNow,   ///< Another order is running, or others were accepted since the report.
  kRefused,  ///< Rejected: stale fencing token, another incarnation, or an invalid order.
  kUnknown,  ///< No answer: the engine may execute it, possibly later.
};

/// One order to an engine.
struct WeightOrder {
  std::string engine;
  std::string model;
  uint64_t version = 0;
  std::string holder;
  uint64_t fence = 0;
  uint64_t expectedOrders = 0;  ///< Executed only if the engine has accepted exactly this many.
};

/// Sends orders to engines and reads their reports.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  virtual Result<EngineReport> report(const std::string& engine, const std::string& model) = 0;
  virtual OrderAnswer order(const WeightOrder& order) = 0;
};

}  // namespace fernmoor::weights
