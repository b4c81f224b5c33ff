/// @file
/// The id by which a caller takes a stream up again on any node: names tenant, engine, incarnation
/// and attempt, and is sealed with the cluster's key, so that it can't be made up and serves only
/// the tenant that it was given to.
#pragma once

#include <string>

#include "common/error.h"
#include "common/ids.h"
#include "engine/engine_state.h"

namespace fernmoor {

struct StreamToken {
  TenantId tenant;
  RequestId request;
  AttemptId attempt;
  std::string model;  ///< As the caller named it.
  Placement placement;
};

class StreamTokenSealer {
 public:
  explicit StreamTokenSealer(std::string clusterKey);
  /// @return the token as URL-safe text.
  std::string seal(const StreamToken& token) const;
  /// @return kNotFound for anything that this cluster did not seal for that tenant; the same
  ///         error in all cases, so that nothing can be learnt from it.
  Result<StreamToken> open(const std::string& text, const TenantId& tenant) const;

 private:
  std::string clusterKey_;
};

}  // namespace fernmoor
