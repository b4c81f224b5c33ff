#include "peers/load_demand_codec.h"

#include "peers/message_time.h"

namespace fernmoor::peers {

using gateway::EngineDemand;
using gateway::EngineRoom;

void encodeDemand(uint32_t id, uint64_t engine, const EngineDemand& demand, const EngineRoom& room,
                  proto::LoadQuestion& question) {
  question.set_question_id(id);
  question.set_engine(engine);
  question.set_tokens(clampToUint32(demand.promptTokens));
  question.set_memory_tokens(clampToUint32(demand.memoryTokens));
  question.set_engine_places(room.places);
  question.set_engine_memory_tokens(clampToUint32(room.memoryTokens));
  question.set_forget_after_milliseconds(toMilliseconds(demand.forgetAfter));
  question.set_longest_permit_wait_milliseconds(toMilliseconds(demand.longestPermitWait));
  question.set_only_permit(!demand.isCounted);
  for (const gateway::SharedPart& part : demand.sharedParts) {
    question.add_shared_parts(part.key);
    question.add_shared_tokens(part.tokens);
  }
  question.set_urgency(demand.urgency ? static_cast<uint32_t>(*demand.urgency) + 1 : 0);
  question.set_tenant(demand.tenant);
  question.set_request_key(demand.requestKey);
  question.set_longest_pause_milliseconds(toMilliseconds(demand.longestPause));
  question.set_only_spare(demand.onlySpare);
}

EngineDemand decodeDemand(const proto::LoadQuestion& question) {
  EngineDemand demand;
  demand.promptTokens = question.tokens();
  demand.memoryTokens = question.memory_tokens();
  demand.forgetAfter = std::chrono::milliseconds(question.forget_after_milliseconds());
  demand.longestPermitWait = std::chrono::milliseconds(question.longest_permit_wait_milliseconds());
  demand.isCounted = !question.only_permit();
  const int parts = std::min(question.shared_parts_size(), question.shared_tokens_size());
  for (int index = 0; index < parts; ++index) {
    demand.sharedParts.push_back(
        gateway::SharedPart{question.shared_parts(index), question.shared_tokens(index)});
  }
  if (question.urgency() > 0) {
    demand.urgency = static_cast<int>(question.urgency()) - 1;
  }
  demand.tenant = question.tenant();
  demand.requestKey = question.request_key();
  demand.longestPause = std::chrono::milliseconds(question.longest_pause_milliseconds());
  demand.onlySpare = question.only_spare();
  return demand;
}

}  // namespace fernmoor::peers
