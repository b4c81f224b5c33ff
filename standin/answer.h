/// @file
/// The stand-in engines' answers: a fixed function of prompt, model and position, so that whoever
/// reads a stream can tell whether it is whole, in order and its own, and so that any engine can
/// continue an answer that another one began.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fernmoor::standin {

/// Stands for prompt and model of one answer, so that a long prompt is hashed only once.
class AnswerKey {
 public:
  AnswerKey() = default;
  AnswerKey(std::string_view model, std::string_view prompt);
  /// Appends the answer's tokens from a position on.
  void append(std::string& text, int64_t position, int64_t tokens) const;

 private:
  uint64_t hash_ = 0;
};

/// @return the text of the answer's token at that position, e.g. " 7f3a1c09"; 9 bytes.
std::string answerToken(std::string_view model, std::string_view prompt, int64_t position);

/// @return the first `tokens` tokens of the answer, joined.
std::string answerText(std::string_view model, std::string_view prompt, int64_t tokens);

}  // namespace fernmoor::standin
