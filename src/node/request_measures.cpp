#include "node/request_measures.h"

#include <algorithm>

#include "prefix/block_chain.h"

namespace fernmoor {

int64_t recomputedTokensOf(const RequestRecord& record) {
  if (record.attempts.empty() || record.promptTokens == 0) {
    return 0;
  }
  int64_t bestMatch = 0;
  for (const ConsideredEngine& considered : record.attempts.back().considered) {
    bestMatch = std::max(bestMatch, considered.matchedBlocks);
  }
  return std::max<int64_t>(0, bestMatch * kTokensPerBlock - record.cachedTokens);
}

void RequestMeasures::noteEnded(const RequestRecord& record) {
  if (record.row.service.empty() || record.row.tenant.empty()) {
    return;
  }
  ClassMetrics& measures = metrics_.of(record.row.service, record.row.tenant);
  measures.countRequest();
  measures.observeQueueTime(record.queued);
  for (size_t retry = 1; retry < record.attempts.size(); ++retry) {
    measures.countRetry();
  }
  if (record.refusal) {
    measures.countRefusal(record.refusal->kind);
  }
  if (record.timeToFirstToken) {
    measures.observeFirstToken(*record.timeToFirstToken);
  }
  if (record.promptTokens > 0) {
    measures.countPrefixBlocks(record.cachedTokens / kTokensPerBlock,
                               record.promptTokens / kTokensPerBlock);
    measures.countRecomputedTokens(recomputedTokensOf(record));
  }
}

}  // namespace fernmoor
