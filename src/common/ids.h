/// @file
/// Typed identifiers. A plain string or number never stands for a node, an engine or a tenant.
#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fernmoor {

/// An identifier that is a name, e.g. of an engine. Compared byte by byte.
template <class Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string value) : value_(std::move(value)) {}
  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  friend bool operator==(const NamedId& a, const NamedId& b) { return a.value_ == b.value_; }
  friend bool operator!=(const NamedId& a, const NamedId& b) { return a.value_ != b.value_; }
  friend bool operator<(const NamedId& a, const NamedId& b) { return a.value_ < b.value_; }
  friend std::ostream& operator<<(std::ostream& out, const NamedId& id) { return out << id.value_; }

 private:
  std::string value_;
};

/// An identifier that is a number, e.g. of a node or a version. Ordered as numbers are.
template <class Tag, class Number = uint64_t>
class NumberId {
 public:
  NumberId() = default;
  explicit constexpr NumberId(Number value) : value_(value) {}
  constexpr Number value() const { return value_; }
  friend bool operator==(NumberId a, NumberId b) { return a.value_ == b.value_; }
  friend bool operator!=(NumberId a, NumberId b) { return a.value_ != b.value_; }
  friend bool operator<(NumberId a, NumberId b) { return a.value_ < b.value_; }
  friend bool operator>(NumberId a, NumberId b) { return a.value_ > b.value_; }
  friend bool operator<=(NumberId a, NumberId b) { return a.value_ <= b.value_; }
  friend bool operator>=(NumberId a, NumberId b) { return a.value_ >= b.value_; }
  friend std::ostream& operator<<(std::ostream& out, NumberId id) { return out << id.value_; }

 private:
  Number value_ = 0;
};

/// A router process, numbered in its settings; unique in the whole deployment, never 0.
using NodeId = NumberId<struct NodeIdTag, uint32_t>;
/// One life of a process: greater after every restart, so that its former life can be told apart.
using Incarnation = NumberId<struct IncarnationTag, uint64_t>;
/// Version of the table as a whole; grows by one with every accepted change.
using TableVersion = NumberId<struct TableVersionTag, uint64_t>;
/// Version of a model's weights on an engine.
using WeightsVersion = NumberId<struct WeightsVersionTag, uint64_t>;
/// Fencing token of an order to an engine; engines refuse a lower one than the highest seen.
using FencingToken = NumberId<struct FencingTokenTag, uint64_t>;

using ZoneId = NamedId<struct ZoneIdTag>;
using RegionId = NamedId<struct RegionIdTag>;
using EngineId = NamedId<struct EngineIdTag>;
using TenantId = NamedId<struct TenantIdTag>;
using ServiceId = NamedId<struct ServiceIdTag>;
using ModelId = NamedId<struct ModelIdTag>;
using AdapterId = NamedId<struct AdapterIdTag>;
/// One caller's request, across all its attempts.
using RequestId = NamedId<struct RequestIdTag>;
/// One try of a request on one back end: request id and attempt number.
using AttemptId = NamedId<struct AttemptIdTag>;

}  // namespace fernmoor

namespace std {
template <class Tag>
struct hash<fernmoor::NamedId<Tag>> {
  size_t operator()(const fernmoor::NamedId<Tag>& id) const { return hash<string>()(id.value()); }
};
template <class Tag, class Number>
struct hash<fernmoor::NumberId<Tag, Number>> {
  size_t operator()(fernmoor::NumberId<Tag, Number> id) const { return hash<Number>()(id.value()); }
};
}  // namespace std
