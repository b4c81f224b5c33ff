#include "membership/version_spread.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

/// Bounds the report's size to about 600 bytes at node ids below two million.
constexpr int kMaximumRunNumbers = 200;

uint32_t checkOf(NodeLife life) {
  return static_cast<uint32_t>(rendezvousWeight(life.node.value(), life.incarnation.value()));
}

/// Appends one id to alternating numbers of ids skipped and ids in the set.
class RunWriter {
 public:
  explicit RunWriter(proto::VersionReport& report) : report_(report) {}

  /// @return false if the report is full.
  bool add(NodeId node) {
    if (report_.runs_size() > 0 && node.value() == end_) {
      const int last = report_.runs_size() - 1;
      report_.set_runs(last, report_.runs(last) + 1);
      ++end_;
      return true;
    }
    if (report_.runs_size() + 2 > kMaximumRunNumbers) {
      return false;
    }
    report_.add_runs(node.value() - end_);
    report_.add_runs(1);
    end_ = node.value() + 1;
    return true;
  }

 private:
  proto::VersionReport& report_;
  uint32_t end_ = 0;
};

/// @return the members of the set, or none if a node is unknown here or a bound is broken.
std::optional<std::vector<NodeLife>> livesOf(const proto::VersionReport& report,
                                             const MemberTable& table) {
  if (report.runs_size() > kMaximumRunNumbers) {
    return std::nullopt;
  }
  std::vector<NodeLife> lives;
  uint32_t next = 0;
  for (int index = 0; index + 1 < report.runs_size(); index += 2) {
    next += report.runs(index);
    const uint32_t length = report.runs(index + 1);
    for (uint32_t offset = 0; offset < length; ++offset) {
      const MemberEntry* const entry = table.find(NodeId(next++));
      if (entry == nullptr) {
        return std::nullopt;
      }
      lives.push_back(entry->status.life);
    }
  }
  return lives;
}

}  // namespace

void VersionSpread::noteInForce(NodeId node, TableVersion version, int64_t rounds) {
  if (version <= newest_) {
    return;
  }
  newest_ = version;
  holder_ = node;
  newsRounds_ = rounds;
}

void VersionSpread::noteRound() {
  newsRounds_ = std::max<int64_t>(0, newsRounds_ - 1);
  reportRounds_ = std::max<int64_t>(0, reportRounds_ - 1);
}

void VersionSpread::encodeReport(const MemberTable& table, proto::VersionReport& report) const {
  report.set_version(newest_.value());
  RunWriter writer(report);
  uint32_t check = 0;
  for (const auto& entry : table.entries()) {
    const MemberStatus& status = entry.second.status;
    if (!isLive(status.health) || status.tableVersion < newest_) {
      continue;
    }
    if (!writer.add(entry.first)) {
      break;
    }
    check ^= checkOf(status.life);
  }
  report.set_lives_check(check);
}

bool VersionSpread::applyReport(const proto::VersionReport& report, MemberTable& table) const {
  const auto lives = livesOf(report, table);
  if (!lives) {
    return false;
  }
  uint32_t check = 0;
  for (const NodeLife life : *lives) {
    check ^= checkOf(life);
  }
  if (check != report.lives_check()) {
    return false;
  }
  const TableVersion version(report.version());
  bool grew = false;
  for (const NodeLife life : *lives) {
    grew = table.raiseTableVersion(life, version) || grew;
  }
  return grew && version >= newest_;
}

}  // namespace fernmoor
