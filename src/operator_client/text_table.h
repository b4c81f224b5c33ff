/// @file
/// Tables in plain text for people.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <ostream>
#include <string>
#include <vector>

namespace fernmoor {

/// A column that shows one member of each JSON object.
struct MemberColumn {
  std::string title;
  std::string member;
};

/// Lines of cells under titles, each column as wide as its widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> titles) : titles_(std::move(titles)) {}
  /// @param cells as many as there are titles.
  void add(std::vector<std::string> cells) { lines_.push_back(std::move(cells)); }
  void print(std::ostream& out) const;

 private:
  std::vector<std::string> titles_;
  std::vector<std::vector<std::string>> lines_;
};

/// @return the member as one line of text; "-" where it is missing, null or empty. Control
/// characters are replaced, so that a name cannot steer a terminal.
std::string cellText(const Poco::JSON::Object& object, const std::string& member);

/// Prints one line for each object of the array; null prints the titles only.
void printObjects(std::ostream& out, const Poco::JSON::Array::Ptr& objects,
                  const std::vector<MemberColumn>& columns);

}  // namespace fernmoor
