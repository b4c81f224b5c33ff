/// @file
/// Parses and writes the heads of HTTP/1.x messages (RFC 9112, sections 2 to 5). Field values are
/// bytes: nothing in them is decoded or folded, in either direction. Poco's own reader decodes the
/// encoded words of RFC 2047, which turn printable text into line breaks.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <optional>
#include <string>
#include <string_view>

namespace fernmoor {

/// Most fields of one head. Looking one up takes time proportional to their number.
inline constexpr size_t kMaxHeadFields = 1000;

/// How parsing a head ended.
enum class HeadOutcome {
  kParsed,
  kMalformed,      ///< The message must be refused: two readers could understand it differently.
  kTooManyFields,  ///< More than kMaxHeadFields.
};

/// @param text a whole head with its empty line, as takeHeader() reads it.
/// @param head replaced; unspecified unless the outcome is kParsed.
HeadOutcome parseRequestHead(std::string_view text, Poco::Net::HTTPRequest& head);
/// Likewise for an answer. Blanks before a colon are dropped, as RFC 9112, section 5.1 asks of
/// proxies, but make a Content-Length or Transfer-Encoding malformed: a reader that ignores the
/// line finds another end of the body.
HeadOutcome parseAnswerHead(std::string_view text, Poco::Net::HTTPResponse& head);

/// @return whether the text is a token of RFC 9110, section 5.6.2, as names of fields are.
bool isToken(std::string_view text);
/// @return whether the text can be the value of a field: without CR, LF and NUL.
bool isFieldValue(std::string_view text);

/// @return the head as text with its empty line; nothing if a name is no token, or if a value, the
///         method, the target or the reason would end its line.
std::optional<std::string> formatHead(const Poco::Net::HTTPRequest& head);
std::optional<std::string> formatHead(const Poco::Net::HTTPResponse& head);

}  // namespace fernmoor
