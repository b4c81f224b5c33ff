/// @file
/// Model of what the requests at one engine take: batch slots, memory and prompt tokens that are
/// still to be read. Prompt parts that several requests share are counted once. The model also
/// predicts which shared parts the engine has cached, so that a new request's prompt is counted
/// only as far as the engine really has to read it.
///
/// The engine is not asked: the cached parts are those that an engine with least-recently-used
/// eviction would hold after the same requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

/// What one request takes, as EngineOccupancy::add() counted it.
struct Occupant {
  std::vector<uint64_t> parts;   ///< Keys of its shared parts that are counted for all users.
  uint64_t ownMemoryTokens = 0;  ///< Without these parts.
  uint64_t ownUnreadTokens = 0;  ///< Of its prompt without these parts; 0 once it was read.
};

/// What a new request lacks at an engine, separately for each resource.
struct MissingRoom {
  uint64_t places = 0;        ///< Requests that have to end first.
  uint64_t memoryTokens = 0;  ///< Tokens that have to be released first.
  uint64_t unreadTokens = 0;  ///< Tokens to be read before its own, whatever the bound is.

  bool hasPlace() const { return places == 0; }
  bool hasMemory() const { return memoryTokens == 0; }
  /// @param bound of the tokens that may be read before the request's own.
  bool hasReading(uint64_t bound) const { return unreadTokens < bound; }
};

/// Not thread-safe, without a clock.
class EngineOccupancy {
 public:
  /// Sets the engine's capacity and evicts cached parts that no longer fit.
  void setCapacity(const EngineRoom& capacity);
  const EngineRoom& capacity() const { return capacity_; }

  /// @return the prompt tokens of a new request that the engine has to read; at least 1.
  uint64_t readingTokens(const EngineDemand& demand) const;
  /// @return the memory that a new request takes in addition to what the present ones hold.
  uint64_t addedMemoryTokens(const EngineDemand& demand) const;
  MissingRoom missingRoom(const EngineDemand& demand) const;

  /// Counts a request whose prompt is still to be read.
  Occupant add(const EngineDemand& demand);
  /// The request's prompt was read, so its shared parts are cached.
  void promptRead(Occupant& occupant);
  /// The request left the engine. Its shared parts stay cached if they were read.
  void remove(const Occupant& occupant);

  size_t present() const { return present_; }
  /// @return tokens in memory that belong to present requests.
  uint64_t occupiedTokens() const { return ownMemoryTokens_ + usedPartTokens_; }
  /// @return tokens of cached parts that no present request uses.
  uint64_t cachedTokens() const { return cachedTokens_; }
  /// @return prompt tokens of present requests that are still to be read.
  uint64_t unreadTokens() const { return ownUnreadTokens_ + unreadPartTokens_; }
  /// @return the part of unreadTokens() that is in shared parts.
  uint64_t unreadPartTokens() const { return unreadPartTokens_; }
  /// @return whether any request had shared parts.
  bool knowsParts() const { return knowsParts_; }
  size_t partCount() const { return parts_.size(); }

 private:
  struct Part {
    uint64_t tokens = 0;
    size_t users = 0;  ///< Present requests that contain it.
    bool isRead = false;
    std::list<uint64_t>::iterator position;  ///< In `unused_` if it has no users.
  };

  /// Starts or joins the use of a part. @return whether the part is counted.
  bool use(const SharedPart& part);
  void stopUsing(uint64_t key);
  void evictLeastRecentlyUsed();
  void evictBeyondMemory();

  EngineRoom capacity_;
  std::unordered_map<uint64_t, Part> parts_;
  std::list<uint64_t> unused_;  ///< Cached parts without users, the most recently used first.
  size_t present_ = 0;
  uint64_t ownMemoryTokens_ = 0;
  uint64_t ownUnreadTokens_ = 0;
  uint64_t usedPartTokens_ = 0;
  uint64_t unreadPartTokens_ = 0;
  uint64_t cachedTokens_ = 0;
  bool knowsParts_ = false;
};

}  // namespace fernmoor::gateway
