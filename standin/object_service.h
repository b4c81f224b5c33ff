/// @file
/// HTTP side of the platform's object API: objects, batches, change look-ups and watches.
/// Thread-safe.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>

#include "standin/http_exchange.h"
#include "standin/object_collection.h"

namespace fernmoor::standin {

class ObjectService {
 public:
  /// @param keptChanges length of each collection's history.
  /// @param watchesPerCollection watches served at once; more are told to come back.
  ObjectService(size_t keptChanges, int64_t watchesPerCollection)
      : keptChanges_(keptChanges), watchesPerCollection_(watchesPerCollection) {}

  /// What is to be known of a request when it comes.
  struct Arrival {
    uint64_t outages = 0;     ///< outages() before it was let in; a later one breaks its watch.
    bool loseAnswer = false;  ///< A write takes effect and its connection is cut without an answer.
  };

  /// Serves /objects, /changes and /watch.
  void handle(HttpExchange& exchange, const Arrival& arrival);
  /// @return how often breakWatches() was called.
  uint64_t outages() const;
  /// @return true where the request changes objects.
  static bool isWrite(const HttpExchange& exchange);
  /// Ends all watches with an error, as an outage does.
  void breakWatches();
  /// As breakWatches(), and ends those to come at once.
  void stop();

 private:
  struct Collection {
    explicit Collection(size_t keptChanges) : objects(keptChanges) {}
    ObjectCollection objects;
    int64_t watches = 0;
  };
  Collection& collectionOf(const HttpExchange& exchange);

  void get(HttpExchange& exchange);
  void list(HttpExchange& exchange);
  void write(HttpExchange& exchange, bool loseAnswer);
  void findChange(HttpExchange& exchange);
  void watch(HttpExchange& exchange, uint64_t outagesBefore);

  size_t keptChanges_;
  int64_t watchesPerCollection_;
  mutable std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable changed_;
  std::map<std::string, Collection> collections_;
  uint64_t outages_ = 0;
  bool stopping_ = false;
};

}  // namespace fernmoor::standin
