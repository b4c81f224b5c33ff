#include "table/row_columns.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <sstream>

namespace fernmoor {

namespace {

using Poco::Dynamic::Var;

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxFoundLength = 60;
constexpr int64_t kMaxConcurrency = 1000000;
constexpr int64_t kMaxDeadlineMilliseconds = 24LL * 3600 * 1000;
constexpr double kMaxRate = 1e6;
constexpr double kMaxRecomputationWeight = 1000;

struct Range {
  double minimum = 0;
  double maximum = 0;
};

std::string describe(const Var& value) {
  std::string text = value.isEmpty() ? "null" : Var::toString(value);
  if (text.size() > kMaxFoundLength) {
    text = text.substr(0, kMaxFoundLength) + "...";
  }
  return text;
}

std::string numberText(double value) {
  std::ostringstream out;
  out.precision(15);
  out << value;
  return out.str();
}

std::optional<CellProblem> problem(const Var& value, const std::string& remedy) {
  return CellProblem{describe(value), remedy};
}

/// Booleans count as numbers to Poco, but not to operators.
std::optional<double> asNumber(const Var& value) {
  if (value.isEmpty() || value.isBoolean() || value.isString() || !value.isNumeric()) {
    return std::nullopt;
  }
  return value.convert<double>();
}

std::optional<double> numberInRange(const Var& value, Range range, bool whole) {
  const std::optional<double> number = asNumber(value);
  if (!number || !std::isfinite(*number)) {
    return std::nullopt;
  }
  if (*number < range.minimum || *number > range.maximum) {
    return std::nullopt;
  }
  if (whole && *number != std::floor(*number)) {
    return std::nullopt;
  }
  return number;
}

std::string rangeRemedy(Range range, bool whole) {
  return std::string("give ") + (whole ? "a whole number" : "a number") + " from " +
         numberText(range.minimum) + " to " + numberText(range.maximum);
}

/// @param read function (Row&, double) that stores the checked number.
/// @param write function (const Row&) to the JSON value.
template <class Read, class Write>
RowColumn numericColumn(const std::string& name, Range range, bool whole, Read read, Write write) {
  const auto take = [range, whole, read](Row& row, const Var& value) -> std::optional<CellProblem> {
    const std::optional<double> number = numberInRange(value, range, whole);
    if (!number) {
      return problem(value, rangeRemedy(range, whole));
    }
    read(row, *number);
    return std::nullopt;
  };
  return RowColumn{name, take, [write](const Row& row) { return Var(write(row)); }};
}

RowColumn numberColumn(const std::string& name, double Row::*member, Range range) {
  return numericColumn(
      name, range, false, [member](Row& row, double number) { row.*member = number; },
      [member](const Row& row) { return row.*member; });
}

RowColumn integerColumn(const std::string& name, int64_t Row::*member, Range range) {
  return numericColumn(
      name, range, true,
      [member](Row& row, double number) { row.*member = static_cast<int64_t>(number); },
      [member](const Row& row) { return static_cast<Poco::Int64>(row.*member); });
}

RowColumn millisecondsColumn(const std::string& name, Duration Row::*member, Range range) {
  return numericColumn(
      name, range, true,
      [member](Row& row, double number) {
        row.*member = std::chrono::milliseconds(static_cast<int64_t>(number));
      },
      [member](const Row& row) {
        return static_cast<Poco::Int64>(
            duration_cast<std::chrono::milliseconds>(row.*member).count());
      });
}

RowColumn booleanColumn(const std::string& name, bool Row::*member) {
  const auto take = [member](Row& row, const Var& value) -> std::optional<CellProblem> {
    if (value.isEmpty() || !value.isBoolean()) {
      return problem(value, "give true or false");
    }
    row.*member = value.convert<bool>();
    return std::nullopt;
  };
  return RowColumn{name, take, [member](const Row& row) { return Var(row.*member); }};
}

bool isNameCharacter(char character, const std::string& punctuation) {
  const bool alphanumeric = std::isalnum(static_cast<unsigned char>(character)) != 0;
  return alphanumeric || punctuation.find(character) != std::string::npos;
}

bool isName(const std::string& text, const std::string& punctuation) {
  return text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), [&](char each) {
           return isNameCharacter(each, punctuation);
         });
}

/// @param access function (row) that returns a reference to the NamedId.
template <class Access>
RowColumn nameColumn(const std::string& name, const std::string& punctuation, Access access) {
  const auto take = [punctuation, access](Row& row,
                                          const Var& value) -> std::optional<CellProblem> {
    if (value.isEmpty() || !value.isString() ||
        !isName(value.extract<std::string>(), punctuation)) {
      return problem(value, "give at most " + std::to_string(kMaxNameLength) +
                                " letters, digits and characters of \"" + punctuation + "\"");
    }
    auto& id = access(row);
    id = std::decay_t<decltype(id)>(value.extract<std::string>());
    return std::nullopt;
  };
  return RowColumn{name, take, [access](const Row& row) { return Var(access(row).value()); }};
}

template <class Enumeration>
struct NamedValue {
  Enumeration value;
  std::string name;
};

template <class Enumeration>
RowColumn choiceColumn(const std::string& name, Enumeration Row::*member,
                       std::vector<NamedValue<Enumeration>> choices) {
  const auto take = [member, choices](Row& row, const Var& value) -> std::optional<CellProblem> {
    std::string remedy = "give one of:";
    for (const auto& choice : choices) {
      if (!value.isEmpty() && value.isString() && value.extract<std::string>() == choice.name) {
        row.*member = choice.value;
        return std::nullopt;
      }
      remedy += " " + choice.name;
    }
    return problem(value, remedy);
  };
  const auto show = [member, choices](const Row& row) {
    const auto chosen = std::find_if(choices.begin(), choices.end(), [&](const auto& choice) {
      return choice.value == row.*member;
    });
    return Var(chosen == choices.end() ? std::string() : chosen->name);
  };
  return RowColumn{name, take, show};
}

const char* const kKeyPunctuation = "._-";
const char* const kModelPunctuation = "._-/";

std::vector<RowColumn> makeIdentityColumns() {
  return {
      nameColumn(
          "service", kKeyPunctuation, [](auto& row) -> auto& { return row.key.service; }),
      nameColumn(
          "tenant", kKeyPunctuation, [](auto& row) -> auto& { return row.key.tenant; }),
      choiceColumn<BackEndKind>(
          "back_end", &Row::backEnd,
          {{BackEndKind::kModel, "model"}, {BackEndKind::kApplication, "application"}}),
      nameColumn(
          "model", kModelPunctuation, [](auto& row) -> auto& { return row.model; }),
      nameColumn(
          "adapter", kModelPunctuation, [](auto& row) -> auto& { return row.adapter; }),
      nameColumn(
          "operation", kKeyPunctuation, [](auto& row) -> auto& { return row.operationPath; }),
      choiceColumn<DeadlineClass>(
          "deadline_class", &Row::deadlineClass,
          {{DeadlineClass::kInteractive, "interactive"}, {DeadlineClass::kDeferred, "deferred"}}),
  };
}

std::vector<RowColumn> makeColumns() {
  std::vector<RowColumn> columns = makeIdentityColumns();
  columns.push_back(integerColumn("priority", &Row::priority, {0, 9}));
  columns.push_back(numberColumn("weight", &Row::weight, {0.01, 1000}));
  columns.push_back(numberColumn("rate_per_second", &Row::ratePerSecond, {0, kMaxRate}));
  columns.push_back(numberColumn("burst", &Row::burst, {1, kMaxRate}));
  columns.push_back(integerColumn("concurrency", &Row::concurrency, {0, kMaxConcurrency}));
  columns.push_back(millisecondsColumn("deadline_ms", &Row::deadline,
                                       {1, static_cast<double>(kMaxDeadlineMilliseconds)}));
  columns.push_back(millisecondsColumn("max_wait_ms", &Row::maxWait,
                                       {0, static_cast<double>(kMaxDeadlineMilliseconds)}));
  columns.push_back(booleanColumn("repeatable", &Row::repeatable));
  columns.push_back(numberColumn("recomputation_weight", &Row::recomputationWeight,
                                 {0, kMaxRecomputationWeight}));
  columns.push_back(booleanColumn("enabled", &Row::enabled));
  return columns;
}

}  // namespace

const std::vector<RowColumn>& rowColumns() {
  static const std::vector<RowColumn> kColumns = makeColumns();
  return kColumns;
}

const RowColumn* findRowColumn(const std::string& name) {
  const auto& columns = rowColumns();
  const auto found = std::find_if(columns.begin(), columns.end(),
                                  [&](const RowColumn& column) { return column.name == name; });
  return found == columns.end() ? nullptr : &*found;
}

}  // namespace fernmoor
