#include "operator_client/text_table.h"

#include <algorithm>
#include <iomanip>

#include "http/json_text.h"

namespace fernmoor {

namespace {

constexpr const char* kEmptyCell = "-";
constexpr const char* kGap = "  ";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

std::string withoutControls(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < kFirstPrintable || c == kDelete; },
      '?');
  return text;
}

/// Elements of a list with commas, objects as JSON, all else as it reads.
std::string plainText(const Poco::Dynamic::Var& value) {
  if (value.type() == typeid(Poco::JSON::Array::Ptr)) {
    const auto& elements = *value.extract<Poco::JSON::Array::Ptr>();
    std::string text;
    for (const Poco::Dynamic::Var& element : elements) {
      text += (text.empty() ? "" : ", ") + plainText(element);
    }
    return text;
  }
  if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
    return toText(*value.extract<Poco::JSON::Object::Ptr>());
  }
  return value.isEmpty() ? "" : value.toString();
}

void printLine(std::ostream& out, const std::vector<std::string>& cells,
               const std::vector<size_t>& widths) {
  for (size_t i = 0; i + 1 < cells.size(); ++i) {
    out << std::left << std::setw(static_cast<int>(widths[i])) << cells[i] << kGap;
  }
  out << (cells.empty() ? "" : cells.back()) << "\n";
}

}  // namespace

void TextTable::print(std::ostream& out) const {
  std::vector<size_t> widths;
  widths.reserve(titles_.size());
  for (size_t i = 0; i < titles_.size(); ++i) {
    size_t width = titles_[i].size();
    for (const auto& cells : lines_) {
      width = std::max(width, cells[i].size());
    }
    widths.push_back(width);
  }
  printLine(out, titles_, widths);
  for (const auto& cells : lines_) {
    printLine(out, cells, widths);
  }
}

std::string cellText(const Poco::JSON::Object& object, const std::string& member) {
  const Poco::Dynamic::Var value = object.get(member);
  const std::string text = withoutControls(plainText(value));
  return text.empty() ? kEmptyCell : text;
}

void printObjects(std::ostream& out, const Poco::JSON::Array::Ptr& objects,
                  const std::vector<MemberColumn>& columns) {
  std::vector<std::string> titles;
  titles.reserve(columns.size());
  for (const MemberColumn& column : columns) {
    titles.push_back(column.title);
  }
  TextTable table(titles);
  for (size_t i = 0; !objects.isNull() && i < objects->size(); ++i) {
    const Poco::JSON::Object::Ptr object = objects->getObject(static_cast<unsigned>(i));
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const MemberColumn& column : columns) {
      cells.push_back(object.isNull() ? kEmptyCell : cellText(*object, column.member));
    }
    table.add(cells);
  }
  table.print(out);
}

}  // namespace fernmoor
