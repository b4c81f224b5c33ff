/// @file
/// The ledger of moves: one object in a store with conditional writes. Whoever wants to order an
/// engine first writes that into the ledger, on the condition that nobody wrote since; its revision
/// is the fencing token of the order. So nobody needs a lease that runs out: a node takes over by
/// writing, its predecessor's next write fails, and the ledger names the only engines that the
/// predecessor may still be ordering. Those are left alone until the time between the orders of
/// two nodes has passed; all others can be ordered at once.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/error.h"
#include "common/time.h"

namespace fernmoor::weights {

/// One order that was about to be given.
struct LedgerMove {
  std::string engine;
  std::string model;
  uint64_t version = 0;
  std::string holder;  ///< Node that gave it.
  Time at;             ///< When, by this node's clock; never earlier than it was.
};

struct Ledger {
  uint64_t revision = 0;   ///< With a count of 0: there is none in that era of the store.
  std::string holder;      ///< Who wrote last.
  uint64_t writtenIn = 0;  ///< Era of the store in which it was written; 0: not told.
  std::vector<LedgerMove> moves;
};

/// @return the moves that were about to be ordered at `earliest` or later.
std::vector<LedgerMove> movesSince(const Ledger& ledger, Time earliest);

/// How a conditional write ended: the new revision, or the ledger as it is.
struct LedgerWritten {
  uint64_t revision = 0;
};
struct LedgerChanged {
  Ledger current;
};
using LedgerOutcome = std::variant<LedgerWritten, LedgerChanged>;

/// The ledger's store.
class LedgerStore {
 public:
  virtual ~LedgerStore() = default;
  /// @return an empty ledger whose revision has a count of 0 where there is none.
  virtual Result<Ledger> read() = 0;
  /// Writes if the revision is still `ledger.revision`. On an error it may have been written, or
  /// may be later.
  virtual Result<LedgerOutcome> write(const Ledger& ledger) = 0;
  /// @return an instant by which the store had come back from an old copy since the ledger was
  ///         written, so that it may lack moves and a holder of before; nothing where it lacks
  ///         none.
  virtual std::optional<Time> wentBackBy(const Ledger&) const { return std::nullopt; }
};

/// A ledger as this node sees it.
struct SeenLedger {
  Ledger ledger;
  Time changedAt;  ///< When this revision came to be known here.
};

/// The newest ledger that this node has seen. Thread-safe.
class LedgerView {
 public:
  /// @return whether it was newer than the one held.
  bool take(const Ledger& ledger, Time now);
  /// A decision and the write that rests on it go by one call of this: what comes to be known in
  /// between was not weighed, and the write's condition must fail for it.
  SeenLedger seen() const;
  /// @return who wrote the ledger last; empty: nobody, or the turn was handed over.
  std::string holder() const;

 private:
  mutable std::mutex mutex_;
  SeenLedger seen_;
};

/// What an engine tells of itself.
struct EngineReport {
  bool isBusy = false;    ///< An order is being carried out.
  uint64_t orders = 0;    ///< Orders taken in this life.
  uint64_t version = 0;   ///< Of the asked model; 0: it does not serve it.
  int64_t startedAt = 0;  ///< Unix time in ms; 0: not told.
};

enum class OrderAnswer {
  kTaken,    ///< It is being carried out.
  kHolds,    ///< The engine holds the version already.
  kNotNow,   ///< Another order runs, or other orders came since the report.
  kRefused,  ///< Fenced off, another life, or no such order.
  kUnknown,  ///< No answer: it may be carried out, also later.
};

/// One order to an engine.
struct WeightOrder {
  std::string engine;
  std::string model;
  uint64_t version = 0;
  std::string holder;
  uint64_t fence = 0;
  uint64_t expectedOrders = 0;  ///< Carried out only if the engine took just so many.
};

/// The engines, as far as orders go.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  virtual Result<EngineReport> report(const std::string& engine, const std::string& model) = 0;
  virtual OrderAnswer order(const WeightOrder& order) = 0;
};

}  // namespace fernmoor::weights
