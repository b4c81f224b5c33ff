#include "standin/answer.h"

#include <xxhash.h>

namespace fernmoor::standin {

namespace {
constexpr int kDigitsPerToken = 8;
constexpr int kTopDigitShift = 28;
}  // namespace

AnswerKey::AnswerKey(std::string_view model, std::string_view prompt)
    : hash_(XXH3_64bits_withSeed(prompt.data(), prompt.size(),
                                 XXH3_64bits(model.data(), model.size()))) {}

void AnswerKey::append(std::string& text, int64_t position, int64_t tokens) const {
  for (int64_t next = position; next < position + tokens; ++next) {
    auto bits = static_cast<uint32_t>(XXH3_64bits_withSeed(&next, sizeof(next), hash_));
    text += ' ';
    for (int digit = 0; digit < kDigitsPerToken; ++digit) {
      text += "0123456789abcdef"[bits >> kTopDigitShift];
      bits <<= 4;
    }
  }
}

std::string answerToken(std::string_view model, std::string_view prompt, int64_t position) {
  std::string text;
  AnswerKey(model, prompt).append(text, position, 1);
  return text;
}

std::string answerText(std::string_view model, std::string_view prompt, int64_t tokens) {
  std::string text;
  AnswerKey(model, prompt).append(text, 0, tokens);
  return text;
}

}  // namespace fernmoor::standin
