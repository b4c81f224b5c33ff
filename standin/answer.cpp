#include "standin/answer.h"

#include <xxhash.h>

#include <cstdio>

namespace fernmoor::standin {

std::string answerToken(std::string_view model, std::string_view prompt, int64_t position) {
  const uint64_t seed = XXH3_64bits(model.data(), model.size()) + static_cast<uint64_t>(position);
  const uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed);
  char text[10];
  std::snprintf(text, sizeof(text), " %08x", static_cast<unsigned>(hash));
  return text;
}

std::string answerText(std::string_view model, std::string_view prompt, int64_t tokens) {
  std::string text;
  for (int64_t position = 0; position < tokens; ++position) {
    text += answerToken(model, prompt, position);
  }
  return text;
}

}  // namespace fernmoor::standin
