#include "http/json_split.h"

#include <algorithm>

namespace fernmoor {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";

/// Walks over a text. Methods return false, or nothing, where the text ends too early.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view text) : text_(text) {}

  bool atEnd() {
    skipBlanks();
    return position_ == text_.size();
  }
  /// Takes this character, after blanks. @return whether it was there.
  bool take(char expected) {
    skipBlanks();
    if (position_ == text_.size() || text_[position_] != expected) {
      return false;
    }
    ++position_;
    return true;
  }
  /// Takes a string. @return what is between its quotes.
  std::optional<std::string_view> takeString() {
    if (!take('"')) {
      return std::nullopt;
    }
    const size_t start = position_;
    if (!skipRestOfString()) {
      return std::nullopt;
    }
    return text_.substr(start, position_ - start - 1);
  }
  /// Takes a value of any type.
  std::optional<std::string_view> takeValue() {
    skipBlanks();
    const size_t start = position_;
    const char first = position_ < text_.size() ? text_[position_] : '\0';
    const bool isWhole = first == '"'                   ? takeString().has_value()
                         : first == '{' || first == '[' ? skipNested()
                                                        : skipWord();
    if (!isWhole) {
      return std::nullopt;
    }
    return text_.substr(start, position_ - start);
  }

 private:
  void skipBlanks() {
    position_ = std::min(text_.find_first_not_of(kBlanks, position_), text_.size());
  }
  /// Goes behind the closing quote.
  bool skipRestOfString() {
    while (true) {
      position_ = text_.find_first_of("\"\\", position_);
      if (position_ == std::string_view::npos) {
        position_ = text_.size();
        return false;
      }
      if (text_[position_++] == '"') {
        return true;
      }
      if (position_ == text_.size()) {
        return false;
      }
      ++position_;  // The escaped character.
    }
  }
  /// Goes behind the bracket that closes the one at the position.
  bool skipNested() {
    size_t depth = 0;
    while (true) {
      position_ = text_.find_first_of("\"{}[]", position_);
      if (position_ == std::string_view::npos) {
        position_ = text_.size();
        return false;
      }
      const char found = text_[position_++];
      if (found == '"') {
        if (!skipRestOfString()) {
          return false;
        }
      } else if (found == '{' || found == '[') {
        ++depth;
      } else if (--depth == 0) {
        return true;
      }
    }
  }
  /// Goes behind a number, true, false, null, or whatever stands in their place.
  bool skipWord() {
    const size_t start = position_;
    position_ = std::min(text_.find_first_of(",}] \t\r\n", position_), text_.size());
    return position_ > start;
  }

  const std::string_view text_;
  size_t position_ = 0;
};

std::optional<JsonMember> takeMember(JsonScanner& scanner) {
  const std::optional<std::string_view> name = scanner.takeString();
  if (!name || !scanner.take(':')) {
    return std::nullopt;
  }
  const std::optional<std::string_view> value = scanner.takeValue();
  return value ? std::optional(JsonMember{*name, *value}) : std::nullopt;
}

/// Splits what stands between two brackets. @param takeOne takes one part off the scanner.
template <class Part, class TakeOne>
std::optional<std::vector<Part>> split(std::string_view text, char open, char close,
                                       TakeOne takeOne) {
  JsonScanner scanner(text);
  std::vector<Part> parts;
  if (!scanner.take(open)) {
    return std::nullopt;
  }
  if (!scanner.take(close)) {
    do {
      const std::optional<Part> part = takeOne(scanner);
      if (!part) {
        return std::nullopt;
      }
      parts.push_back(*part);
    } while (scanner.take(','));
    if (!scanner.take(close)) {
      return std::nullopt;
    }
  }
  return scanner.atEnd() ? std::optional(std::move(parts)) : std::nullopt;
}

}  // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text) {
  return split<JsonMember>(text, '{', '}', takeMember);
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text) {
  return split<std::string_view>(text, '[', ']',
                                 [](JsonScanner& scanner) { return scanner.takeValue(); });
}

std::string_view findJsonMember(const std::vector<JsonMember>& members, std::string_view name) {
  const auto found = std::find_if(members.rbegin(), members.rend(),
                                  [&](const JsonMember& member) { return member.name == name; });
  return found == members.rend() ? std::string_view() : found->value;
}

}  // namespace fernmoor
