/// @file
/// ObjectStoreClient over HTTP.
#pragma once

#include <string>

#include "common/knobs.h"
#include "http/http_client.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

/// Speaks the platform's HTTP protocol; one connection for each call, since calls are few. Every
/// call is bounded in time and in the size of its answer. Thread-safe: holds no state but settings.
class HttpObjectStoreClient : public ObjectStoreClient {
 public:
  HttpObjectStoreClient(SocketAddress address, const Knobs& knobs);

  Result<PlatformObject> get(const CollectionName& collection, const ObjectName& name) override;
  Result<CollectionRevision> put(const CollectionName& collection, const ObjectChange& change,
                                 const ChangeId& changeId) override;
  Result<CollectionRevision> apply(const CollectionName& collection,
                                   const ChangeBatch& batch) override;
  Result<CollectionSnapshot> list(const CollectionName& collection) override;
  Result<WatchBatch> watch(const CollectionName& collection, CollectionRevision after,
                           Duration wait) override;
  Result<CollectionRevision> findChange(const CollectionName& collection,
                                        const ChangeId& changeId) override;
  Result<std::vector<Machine>> machines() override;

 private:
  struct Call {
    std::string method;
    std::string path;
    std::string body;
    Duration receiveTimeout;
    bool mutation = false;
  };
  Call read(const std::string& path) const;
  Call change(const std::string& method, const std::string& path, std::string body) const;
  /// @return the body of an answer with status 200.
  Result<std::string> perform(const Call& call) const;
  Error failedCall(const HttpFailure& failure, bool mutation) const;

  const SocketAddress address_;
  const Knobs knobs_;
};

}  // namespace fernmoor
