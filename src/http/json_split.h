/// @file
/// Splits JSON text into the members of an object or the elements of an array without reading what
/// is in them, so that one value that no parser takes costs nothing but itself. Only strings and
/// brackets are looked at; the depth of the text costs no stack.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace fernmoor {

/// One member of an object, as views of the text that was split.
struct JsonMember {
  std::string_view name;   ///< Between its quotes, escapes unread.
  std::string_view value;  ///< Without the blanks around it.
};

/// @return the members in their order; nothing if the text is no object or its brackets or quotes
///         do not end.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
/// @return the elements in their order; nothing if the text is no array or does not end.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// @return the value of the last member of that name, as parsers take it; empty if there is none.
std::string_view findJsonMember(const std::vector<JsonMember>& members, std::string_view name);

}  // namespace fernmoor
