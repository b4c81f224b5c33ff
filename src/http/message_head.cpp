#include "http/message_head.h"

#include <Poco/String.h>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace fernmoor {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr size_t kStatusDigits = 3;

/// How a blank between the name of a field and its colon is treated.
enum class BlankBeforeColon {
  kMalformed,
  kDropped,  ///< But malformed in a field that frames the body.
};

/// @return whether the field states where the body ends.
bool framesBody(std::string_view name) {
  return Poco::icompare(std::string(name), "Content-Length") == 0 ||
         Poco::icompare(std::string(name), "Transfer-Encoding") == 0;
}

bool isBlank(char byte) {
  return byte == ' ' || byte == '\t';
}

std::string_view withoutTrailingBlanks(std::string_view text) {
  while (!text.empty() && isBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && isBlank(text.front())) {
    text.remove_prefix(1);
  }
  return withoutTrailingBlanks(text);
}

/// Takes the text before the next separator off the front. @return it; all that is left if there
/// is no separator.
std::string_view takeUntil(std::string_view& text, std::string_view separator) {
  const size_t end = text.find(separator);
  const std::string_view taken = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + separator.size());
  return taken;
}

bool isVersion(std::string_view text) {
  constexpr std::string_view kName = "HTTP/";
  return text.size() == kName.size() + 3 && text.substr(0, kName.size()) == kName &&
         std::isdigit(static_cast<unsigned char>(text[kName.size()])) != 0 &&
         text[kName.size() + 1] == '.' &&
         std::isdigit(static_cast<unsigned char>(text[kName.size() + 2])) != 0;
}

/// @return whether the text is a status code of RFC 9110, section 15: 100 to 599.
bool isStatusCode(std::string_view text) {
  return text.size() == kStatusDigits && text.front() >= '1' && text.front() <= '5' &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char byte) { return std::isdigit(byte) != 0; });
}

/// @return whether the text can be the target of a request: not empty, without blanks and
///         line ends.
bool isTarget(std::string_view text) {
  return !text.empty() && isFieldValue(text) && std::none_of(text.begin(), text.end(), isBlank);
}

HeadOutcome parseFields(std::string_view text, BlankBeforeColon blanks,
                        Poco::Net::MessageHeader& head) {
  size_t count = 0;
  while (!text.empty()) {
    std::string_view line = takeUntil(text, kLineEnd);
    if (line.empty()) {
      return text.empty() ? HeadOutcome::kParsed : HeadOutcome::kMalformed;
    }
    if (line.find(':') == std::string_view::npos) {
      return HeadOutcome::kMalformed;
    }
    const std::string_view beforeColon = takeUntil(line, ":");
    const std::string_view name = withoutTrailingBlanks(beforeColon);
    const bool hasBlank = name.size() < beforeColon.size();
    if (hasBlank && (blanks == BlankBeforeColon::kMalformed || framesBody(name))) {
      return HeadOutcome::kMalformed;
    }
    const std::string_view value = trimmed(line);
    if (!isToken(name) || !isFieldValue(value)) {
      return HeadOutcome::kMalformed;
    }
    if (++count > kMaxHeadFields) {
      return HeadOutcome::kTooManyFields;
    }
    head.add(std::string(name), std::string(value));
  }
  return HeadOutcome::kMalformed;
}

bool canWriteFields(const Poco::Net::MessageHeader& head) {
  return std::all_of(head.begin(), head.end(), [](const auto& field) {
    return isToken(field.first) && isFieldValue(field.second);
  });
}

template <class Head>
std::string written(const Head& head) {
  std::ostringstream out;
  head.write(out);
  return out.str();
}

}  // namespace

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char byte) {
    const bool isAscii = byte < 0x80;
    return isAscii && (std::isalnum(byte) != 0 ||
                       kTokenPunctuation.find(static_cast<char>(byte)) != std::string_view::npos);
  });
}

bool isFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char byte) { return byte == '\r' || byte == '\n' || byte == '\0'; });
}

HeadOutcome parseRequestHead(std::string_view text, Poco::Net::HTTPRequest& head) {
  head.clear();
  std::string_view line = takeUntil(text, kLineEnd);
  const std::string_view method = takeUntil(line, " ");
  const std::string_view target = takeUntil(line, " ");
  if (!isToken(method) || !isTarget(target) || !isVersion(line)) {
    return HeadOutcome::kMalformed;
  }
  head.setMethod(std::string(method));
  head.setURI(std::string(target));
  head.setVersion(std::string(line));
  return parseFields(text, BlankBeforeColon::kMalformed, head);
}

HeadOutcome parseAnswerHead(std::string_view text, Poco::Net::HTTPResponse& head) {
  head.clear();
  std::string_view line = takeUntil(text, kLineEnd);
  const std::string_view version = takeUntil(line, " ");
  const std::string_view status = takeUntil(line, " ");
  if (!isVersion(version) || !isStatusCode(status) || !isFieldValue(line)) {
    return HeadOutcome::kMalformed;
  }
  head.setVersion(std::string(version));
  head.setStatus(std::string(status));
  head.setReason(std::string(line));
  return parseFields(text, BlankBeforeColon::kDropped, head);
}

std::optional<std::string> formatHead(const Poco::Net::HTTPRequest& head) {
  if (!isToken(head.getMethod()) || !isTarget(head.getURI()) || !canWriteFields(head)) {
    return std::nullopt;
  }
  return written(head);
}

std::optional<std::string> formatHead(const Poco::Net::HTTPResponse& head) {
  if (!isFieldValue(head.getReason()) || !canWriteFields(head)) {
    return std::nullopt;
  }
  return written(head);
}

}  // namespace fernmoor
