/// @file
/// The stand-in of the store of kept KV cache: a bounded set of blocks, least recently used go
/// first (docs/PROTOCOL-KVSTORE.md). Thread-safe.
#pragma once

#include <deque>
#include <mutex>
#include <vector>

#include "standin/fault_switch.h"
#include "standin/http_service.h"
#include "standin/prefix_cache.h"

namespace fernmoor::standin {

struct KvStoreServerOptions {
  SocketAddress listen{"127.0.0.1", 0};
  int64_t cacheBlocks = 65536;
};

/// One call as it was served, for tests.
struct KvStoreCall {
  std::string operation;  ///< store or fetch
  int64_t blocks = 0;     ///< Asked to be held, or asked for.
  int64_t found = 0;      ///< Of them, held before the call.
};

class KvStoreServer {
 public:
  explicit KvStoreServer(const KvStoreServerOptions& options);
  ~KvStoreServer();
  KvStoreServer(const KvStoreServer&) = delete;
  KvStoreServer& operator=(const KvStoreServer&) = delete;

  Result<Done> start();
  void stop();
  uint16_t port() const { return service_.port(); }
  std::vector<KvStoreCall> calls() const;

 private:
  void handle(HttpExchange& exchange);
  void serveBlocks(HttpExchange& exchange, bool store);
  void reportCalls(HttpExchange& exchange);
  void takeFault(HttpExchange& exchange);
  std::vector<BlockHash> held(const std::vector<BlockHash>& blocks) const;

  SystemClock clock_;
  HttpService service_;
  FaultSwitch faults_;
  mutable std::mutex mutex_;  ///< Guards what follows.
  PrefixCache blocks_;
  std::deque<KvStoreCall> calls_;
};

}  // namespace fernmoor::standin
