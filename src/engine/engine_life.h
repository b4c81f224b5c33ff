/// @file
/// One life of an engine: its caches are those of that life only.
#pragma once

#include "common/ids.h"
#include "common/rendezvous.h"

namespace fernmoor {

struct EngineLife {
  EngineId engine;
  Incarnation incarnation;
  friend bool operator==(const EngineLife& a, const EngineLife& b) {
    return a.engine == b.engine && a.incarnation == b.incarnation;
  }
};

/// @return a hash that differs between engines and between the lives of one.
inline uint64_t engineLifeHash(const EngineLife& life) {
  return rendezvousWeight(stableHash(life.engine.value()), life.incarnation.value());
}

}  // namespace fernmoor
