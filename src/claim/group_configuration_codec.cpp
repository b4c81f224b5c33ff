#include "claim/group_configuration_codec.h"

#include <google/protobuf/util/json_util.h>

#include "claim_group.pb.h"

namespace fernmoor {

namespace {

void writeMembers(const std::vector<GroupMember>& members,
                  google::protobuf::RepeatedPtrField<proto::ClaimGroupMember>* target) {
  for (const GroupMember& member : members) {
    proto::ClaimGroupMember* message = target->Add();
    message->set_node_id(member.node.value());
    message->set_joined_at(member.joinedAt.value());
    message->set_zone(member.zone.value());
  }
}

std::vector<GroupMember> readMembers(
    const google::protobuf::RepeatedPtrField<proto::ClaimGroupMember>& messages) {
  std::vector<GroupMember> members;
  for (const proto::ClaimGroupMember& message : messages) {
    members.push_back(GroupMember{NodeId(message.node_id()), Incarnation(message.joined_at()),
                                  ZoneId(message.zone())});
  }
  return members;
}

}  // namespace

std::string groupConfigurationToJson(const GroupConfiguration& configuration) {
  proto::ClaimGroupConfiguration message;
  message.set_epoch(configuration.epoch);
  writeMembers(configuration.members, message.mutable_members());
  message.set_previous_epoch(configuration.previousEpoch);
  writeMembers(configuration.previousMembers, message.mutable_previous_members());
  for (const NodeId node : configuration.retired) {
    message.add_retired(node.value());
  }
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text);
  return text;
}

Result<GroupConfiguration> groupConfigurationFromJson(const std::string& text) {
  proto::ClaimGroupConfiguration message;
  if (!google::protobuf::util::JsonStringToMessage(text, &message).ok() || message.epoch() == 0) {
    return Error{ErrorKind::kInvalidRequest,
                 "the platform's object control/claim-group is not a valid group configuration; "
                 "restore it.",
                 RunState::kNotRun, std::nullopt};
  }
  GroupConfiguration configuration;
  configuration.epoch = message.epoch();
  configuration.members = readMembers(message.members());
  configuration.previousEpoch = message.previous_epoch();
  configuration.previousMembers = readMembers(message.previous_members());
  for (const uint32_t node : message.retired()) {
    configuration.retired.push_back(NodeId(node));
  }
  return configuration;
}

}  // namespace fernmoor
