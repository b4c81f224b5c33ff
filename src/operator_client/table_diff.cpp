#include "operator_client/table_diff.h"

#include <algorithm>

#include "operator_client/text_table.h"

namespace fernmoor {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Object;

bool isNumber(const Var& value) {
  return value.isNumeric() && !value.isBoolean();
}

bool sameValue(const Var& a, const Var& b) {
  if (a.isEmpty() || b.isEmpty()) {
    return a.isEmpty() && b.isEmpty();
  }
  if (isNumber(a) && isNumber(b)) {
    return a.convert<double>() == b.convert<double>();
  }
  const bool sameType = a.isString() == b.isString() && a.isBoolean() == b.isBoolean();
  return sameType && a.toString() == b.toString();
}

const NamedRow* findRow(const std::vector<NamedRow>& rows, const NamedRow& wanted) {
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const NamedRow& row) {
    return row.service == wanted.service && row.tenant == wanted.tenant;
  });
  return found == rows.end() ? nullptr : &*found;
}

RowDifference changeOf(const NamedRow* current, const NamedRow& wanted) {
  RowDifference change{wanted.service, wanted.tenant, current == nullptr, new Object, new Object};
  for (const auto& [column, value] : *wanted.columns) {
    const Var old = current == nullptr ? Var() : current->columns->get(column);
    if (current != nullptr && sameValue(old, value)) {
      continue;
    }
    change.after->set(column, value);
    if (!old.isEmpty()) {
      change.before->set(column, old);
    }
  }
  return change;
}

}  // namespace

std::vector<RowDifference> diffRows(const std::vector<NamedRow>& current,
                                    const std::vector<NamedRow>& wanted) {
  std::vector<RowDifference> changes;
  for (const NamedRow& row : wanted) {
    RowDifference change = changeOf(findRow(current, row), row);
    if (change.isNew || change.after->size() > 0) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

void printChanges(std::ostream& out, const std::vector<RowDifference>& changes) {
  if (changes.empty()) {
    out << "no differences\n";
    return;
  }
  TextTable table({"SERVICE", "TENANT", "COLUMN", "IN FORCE", "FILE"});
  for (const RowDifference& change : changes) {
    if (change.isNew) {
      table.add({change.service.value(), change.tenant.value(), "(new row)", "-", "-"});
    }
    for (const auto& [column, value] : *change.after) {
      table.add({change.service.value(), change.tenant.value(), column,
                 cellText(*change.before, column), cellText(*change.after, column)});
    }
  }
  table.print(out);
}

}  // namespace fernmoor
