#include "membership/member_codec.h"

#include <algorithm>
#include <string>

namespace fernmoor {

namespace {

constexpr uint32_t kMaximumPort = 65535;
/// A sequence grows by one with each refutation; a greater one is garbage and would wrap around.
constexpr uint32_t kMaximumSequence = 1U << 31U;
/// Field number and length before an embedded message.
constexpr size_t kEmbeddedHeaderBytes = 3;

void encodeIdentity(const MemberIdentity& identity, proto::MemberIdentity& encoded) {
  encoded.set_zone(identity.zone.value());
  encoded.set_region(identity.region.value());
  encoded.set_peer_host(identity.peerAddress.host);
  encoded.set_peer_port(identity.peerAddress.port);
  if (identity.httpAddress.host != identity.peerAddress.host) {
    encoded.set_http_host(identity.httpAddress.host);
  }
  encoded.set_http_port(identity.httpAddress.port);
  encoded.set_link_mbps(identity.linkMegabits);
}

/// Short and printable, so that names from other nodes can be logged as they are.
bool isName(const std::string& name) {
  const bool printable = std::all_of(
      name.begin(), name.end(), [](char character) { return character > ' ' && character <= '~'; });
  return printable && name.size() <= static_cast<size_t>(kMaximumMemberNameBytes);
}

std::optional<MemberIdentity> decodeIdentity(const proto::MemberIdentity& encoded) {
  const bool bounded = isName(encoded.zone()) && isName(encoded.region()) &&
                       isName(encoded.peer_host()) && isName(encoded.http_host()) &&
                       encoded.peer_port() <= kMaximumPort && encoded.http_port() <= kMaximumPort;
  if (!bounded) {
    return std::nullopt;
  }
  MemberIdentity identity;
  identity.zone = ZoneId(encoded.zone());
  identity.region = RegionId(encoded.region());
  identity.peerAddress = {encoded.peer_host(), static_cast<uint16_t>(encoded.peer_port())};
  identity.httpAddress = {encoded.http_host().empty() ? encoded.peer_host() : encoded.http_host(),
                          static_cast<uint16_t>(encoded.http_port())};
  identity.linkMegabits = encoded.link_mbps();
  return identity;
}

}  // namespace

void encodeStatement(const MemberStatement& statement, proto::MemberUpdate& update) {
  const MemberStatus& status = statement.status;
  update.set_node_id(status.life.node.value());
  update.set_incarnation(status.life.incarnation.value());
  update.set_sequence(status.sequence);
  update.set_health(static_cast<proto::MemberHealth>(status.health));
  update.set_draining(status.draining);
  update.set_reaches_no_engine(status.reachesNoEngine);
  update.set_table_version(status.tableVersion.value());
  if (statement.identity) {
    encodeIdentity(*statement.identity, *update.mutable_identity());
  }
}

std::optional<MemberStatement> decodeStatement(const proto::MemberUpdate& update) {
  const bool valid = update.node_id() != 0 && update.sequence() <= kMaximumSequence &&
                     proto::MemberHealth_IsValid(update.health());
  if (!valid) {
    return std::nullopt;
  }
  MemberStatement statement;
  MemberStatus& status = statement.status;
  status.life = NodeLife{NodeId(update.node_id()), Incarnation(update.incarnation())};
  status.sequence = update.sequence();
  status.health = static_cast<MemberHealth>(update.health());
  status.draining = update.draining();
  status.reachesNoEngine = update.reaches_no_engine();
  status.tableVersion = TableVersion(update.table_version());
  if (!update.has_identity()) {
    return statement;
  }
  statement.identity = decodeIdentity(update.identity());
  if (!statement.identity) {
    return std::nullopt;
  }
  return statement;
}

size_t encodedBytes(const proto::MemberUpdate& update) {
  return update.ByteSizeLong() + kEmbeddedHeaderBytes;
}

}  // namespace fernmoor
