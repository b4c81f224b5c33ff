#include "table/persistent_rows.h"

#include <algorithm>
#include <utility>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

const TenantThenService kBefore;

uint64_t priorityOf(const RowKey& key) {
  return rendezvousWeight(stableHash(key.service.value()), stableHash(key.tenant.value()));
}

}  // namespace

/// A row and its place: its priority is at least that of its children.
struct PersistentRows::Node {
  RowPointer row;
  uint64_t priority = 0;
  NodePointer left;
  NodePointer right;

  explicit Node(Row taken)
      : row(std::make_shared<const Row>(std::move(taken))), priority(priorityOf(row->key)) {}
  Node(const Node& middle, NodePointer newLeft, NodePointer newRight)
      : row(middle.row),
        priority(middle.priority),
        left(std::move(newLeft)),
        right(std::move(newRight)) {}
};

/// The rows before a key and those after it.
struct PersistentRows::Split {
  NodePointer before;
  NodePointer after;
};

PersistentRows::NodePointer PersistentRows::makeNode(const Node& middle, NodePointer left,
                                                     NodePointer right) {
  return std::make_shared<const Node>(middle, std::move(left), std::move(right));
}

PersistentRows::PersistentRows(std::vector<Row> rows) {
  std::stable_sort(rows.begin(), rows.end(),
                   [](const Row& a, const Row& b) { return kBefore(a.key, b.key); });
  std::vector<Node> sorted;
  sorted.reserve(rows.size());
  for (Row& row : rows) {
    if (!sorted.empty() && sorted.back().row->key == row.key) {
      sorted.pop_back();
    }
    sorted.emplace_back(std::move(row));
  }
  size_ = sorted.size();
  root_ = build(sorted);
}

/// Closes the spine's last nodes, those whose right subtrees are complete, in linear time: the
/// spine holds the nodes from the root down to the right, each with its left subtree.
PersistentRows::NodePointer PersistentRows::build(const std::vector<Node>& sorted) {
  std::vector<Node> spine;
  const auto closeLast = [&spine](NodePointer right) {
    const Node last = std::move(spine.back());
    spine.pop_back();
    return makeNode(last, last.left, std::move(right));
  };
  for (const Node& next : sorted) {
    NodePointer closed;
    while (!spine.empty() && spine.back().priority < next.priority) {
      closed = closeLast(std::move(closed));
    }
    spine.emplace_back(next, std::move(closed), nullptr);
  }
  NodePointer root;
  while (!spine.empty()) {
    root = closeLast(std::move(root));
  }
  return root;
}

PersistentRows PersistentRows::with(Row row) const {
  const size_t size = size_ + (find(row.key) == nullptr ? 1 : 0);
  return PersistentRows(insert(root_, Node(std::move(row))), size);
}

PersistentRows PersistentRows::without(const RowKey& key) const {
  if (find(key) == nullptr) {
    return *this;
  }
  return PersistentRows(remove(root_, key), size_ - 1);
}

const Row* PersistentRows::find(const RowKey& key) const {
  const Node* node = root_.get();
  while (node != nullptr) {
    if (kBefore(key, node->row->key)) {
      node = node->left.get();
    } else if (kBefore(node->row->key, key)) {
      node = node->right.get();
    } else {
      return node->row.get();
    }
  }
  return nullptr;
}

void PersistentRows::visitFrom(const RowKey& from, const Visitor& visitor) const {
  visit(root_.get(), from, visitor);
}

bool PersistentRows::visit(const Node* node, const RowKey& from, const Visitor& visitor) {
  if (node == nullptr) {
    return true;
  }
  if (kBefore(node->row->key, from)) {
    return visit(node->right.get(), from, visitor);
  }
  return visit(node->left.get(), from, visitor) && visitor(*node->row) &&
         visit(node->right.get(), from, visitor);
}

PersistentRows::NodePointer PersistentRows::insert(const NodePointer& node, const Node& added) {
  if (node == nullptr || added.priority > node->priority) {
    Split parts = split(node, added.row->key);
    return makeNode(added, std::move(parts.before), std::move(parts.after));
  }
  if (kBefore(added.row->key, node->row->key)) {
    return makeNode(*node, insert(node->left, added), node->right);
  }
  if (kBefore(node->row->key, added.row->key)) {
    return makeNode(*node, node->left, insert(node->right, added));
  }
  return makeNode(added, node->left, node->right);
}

PersistentRows::NodePointer PersistentRows::remove(const NodePointer& node, const RowKey& key) {
  if (kBefore(key, node->row->key)) {
    return makeNode(*node, remove(node->left, key), node->right);
  }
  if (kBefore(node->row->key, key)) {
    return makeNode(*node, node->left, remove(node->right, key));
  }
  return join(node->left, node->right);
}

PersistentRows::Split PersistentRows::split(const NodePointer& node, const RowKey& key) {
  if (node == nullptr) {
    return {};
  }
  if (kBefore(node->row->key, key)) {
    Split parts = split(node->right, key);
    parts.before = makeNode(*node, node->left, std::move(parts.before));
    return parts;
  }
  Split parts = split(node->left, key);
  parts.after = makeNode(*node, std::move(parts.after), node->right);
  return parts;
}

PersistentRows::NodePointer PersistentRows::join(const NodePointer& left,
                                                 const NodePointer& right) {
  if (left == nullptr || right == nullptr) {
    return left == nullptr ? right : left;
  }
  if (left->priority > right->priority) {
    return makeNode(*left, left->left, join(left->right, right));
  }
  return makeNode(*right, join(left, right->left), right->right);
}

}  // namespace fernmoor
