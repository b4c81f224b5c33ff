/// @file
/// Rows as an immutable ordered tree: a changed tree shares all that it didn't touch with the one
/// that it came from, so that a change costs O(log n) and old versions stay readable. A treap whose
/// priorities are hashes of the keys, so that equal rows give equal trees whatever their history.
/// C. Aragon, R. Seidel, "Randomized Search Trees", 1989.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "table/row.h"

namespace fernmoor {

/// Order of the table: by tenant, then by service, so that a tenant's rows lie together.
struct TenantThenService {
  bool operator()(const RowKey& a, const RowKey& b) const {
    return a.tenant != b.tenant ? a.tenant < b.tenant : a.service < b.service;
  }
};

/// Immutable; copies are cheap and share their rows. Thread-safe.
class PersistentRows {
 public:
  using RowPointer = std::shared_ptr<const Row>;
  /// Returns whether to go on.
  using Visitor = std::function<bool(const Row&)>;

  PersistentRows() = default;
  /// Builds from rows in any order; of rows with one key the last counts. O(n log n).
  explicit PersistentRows(std::vector<Row> rows);

  /// @return these rows and the given one, in the place of the one of its key. O(log n).
  PersistentRows with(Row row) const;
  /// @return these rows but the one of the key. O(log n).
  PersistentRows without(const RowKey& key) const;
  /// @return the row, or null; valid as long as a tree that holds it. O(log n).
  const Row* find(const RowKey& key) const;
  /// Visits the rows in order, beginning at the first whose key is not less than `from`.
  void visitFrom(const RowKey& from, const Visitor& visitor) const;

  size_t size() const { return size_; }

 private:
  struct Node;
  using NodePointer = std::shared_ptr<const Node>;
  struct Split;

  PersistentRows(NodePointer root, size_t size) : root_(std::move(root)), size_(size) {}
  static NodePointer makeNode(const Node& middle, NodePointer left, NodePointer right);
  static NodePointer insert(const NodePointer& node, const Node& added);
  static NodePointer remove(const NodePointer& node, const RowKey& key);
  static Split split(const NodePointer& node, const RowKey& key);
  static NodePointer join(const NodePointer& left, const NodePointer& right);
  static bool visit(const Node* node, const RowKey& from, const Visitor& visitor);
  static NodePointer build(const std::vector<Node>& sorted);

  NodePointer root_;
  size_t size_ = 0;
};

}  // namespace fernmoor
