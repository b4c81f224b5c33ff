#include "peers/limit_directory.h"

#include "peers/answer_timeout.h"

namespace fernmoor::peers {

namespace {

/// The first answer may belong to a question that was sent before this request arrived; the second
/// one takes this request into account.
constexpr int kMaxQuestions = 2;

}  // namespace

void SnapshotMembers::set(std::shared_ptr<const MembershipSnapshot> snapshot) {
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(snapshot);
}

Member SnapshotMembers::self() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Member* const known = snapshot_ == nullptr ? nullptr : snapshot_->find(self_.life.node);
  return known == nullptr ? self_ : *known;
}

std::vector<Member> SnapshotMembers::members() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return snapshot_ == nullptr ? std::vector<Member>{self_} : snapshot_->members;
}

LimitDirectory::LimitDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                               const Knobs& knobs)
    : clock_(clock), sender_(sender), members_(self), role_(members_, knobs) {}

void LimitDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  members_.set(std::move(members));
}

Result<Done> LimitDirectory::acquire(const gateway::Tenant& tenant, double cost) {
  if (tenant.limits.ratePerSecond <= 0) {
    return Done{};
  }
  const RowKey& row = tenant.limits.row;
  Result<Done> result = role_.tryAcquireWithoutDebt(tenant.limits, cost, clock_.now());
  for (int question = 0; !isOk(result) && question < kMaxQuestions; ++question) {
    if (!role_.askNow(row, cost, clock_.now(), sender_) || !awaitAnswer(row)) {
      result = role_.tryAcquire(tenant.limits, cost, clock_.now());
      break;
    }
    result = role_.tryAcquireWithoutDebt(tenant.limits, cost, clock_.now());
  }
  if (isOk(result)) {
    role_.release(row, clock_.now());  // Tenants have no limit on requests in flight.
  }
  return result;
}

bool LimitDirectory::awaitAnswer(const RowKey& row) {
  std::unique_lock<std::mutex> lock(mutex_);
  return answered_.wait_for(lock, kAnswerTimeout, [&] { return !role_.awaitsAnswer(row); });
}

void LimitDirectory::giveBack(const gateway::Tenant& tenant, double cost) {
  if (tenant.limits.ratePerSecond > 0) {
    role_.refund(tenant.limits.row, cost);
  }
}

void LimitDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                               MessageSender& sender) {
  role_.onMessage(from, envelope, now, sender);
  if (envelope.limit().has_answer()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answered_.notify_all();
  }
}

void LimitDirectory::onTick(Time now, MessageSender& sender) {
  role_.onTick(now, sender);
}

}  // namespace fernmoor::peers
