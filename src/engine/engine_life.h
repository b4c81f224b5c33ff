/// @file
/// One incarnation of an engine: its cache does not survive into the next incarnation.
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

/// @return a hash that differs between engines and between incarnations of one engine.
inline uint64_t engineLifeHash(const EngineLife& life) {
  return rendezvousWeight(stableHash(life.engine.value()), life.incarnation.value());
}

}  // namespace fernmoor
