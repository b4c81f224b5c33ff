/// @file
/// Texts of the completions API that callers speak: reading requests, writing answers. Pure.
#pragma once

#include <string>

#include "common/error.h"
#include "common/ids.h"

namespace fernmoor {

/// Which of the two shapes the caller uses.
enum class CompletionShape { kCompletion, kChat };

/// A checked request.
struct CompletionRequest {
  CompletionShape shape = CompletionShape::kCompletion;
  std::string model;   ///< Name of a service of the tenant, or of the model behind it.
  std::string prompt;  ///< Chat messages are joined, each behind a line that names its role.
  int64_t maxTokens = 0;
  bool stream = false;
};

/// Reads and checks a request's body.
/// @param maxTokensBound larger values of max_tokens are kInvalidRequest.
Result<CompletionRequest> parseCompletionRequest(const std::string& body, CompletionShape shape,
                                                 int64_t maxTokensBound);

/// What each piece of an answer names.
struct AnswerFacts {
  RequestId request;
  std::string model;
  CompletionShape shape = CompletionShape::kCompletion;
  int64_t createdSeconds = 0;  ///< Since 1970.
};

/// @return a chunk's JSON. @param stream id to take the stream up again; empty: left out.
std::string chunkText(const AnswerFacts& facts, int64_t position, const std::string& text,
                      const std::string& stream);
/// @return the last chunk's JSON, which tells the length.
std::string lastChunkText(const AnswerFacts& facts, int64_t totalTokens);
/// @return a whole answer's JSON.
std::string answerBody(const AnswerFacts& facts, const std::string& text, int64_t promptTokens,
                       int64_t cachedTokens, int64_t totalTokens);

}  // namespace fernmoor
