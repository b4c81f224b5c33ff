#include "http/json_text.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <cstdio>
#include <sstream>
#include <string_view>

namespace fernmoor {

namespace {

constexpr size_t kMaxDepth = 32;
constexpr unsigned char kFirstPrintable = 0x20;

Error notAnObject(const std::string& detail) {
  return Error{ErrorKind::kInvalidRequest,
               "the body is not a JSON object (" + detail + "); send one, nested at most 32 deep.",
               RunState::kNotRun, std::nullopt};
}

}  // namespace

Result<Poco::JSON::Object::Ptr> parseJsonObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxDepth);
    const Poco::Dynamic::Var value = parser.parse(text);
    if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
      return notAnObject("another type");
    }
    return value.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& exception) {
    return notAnObject(exception.message().empty() ? "syntax error" : exception.message());
  } catch (const std::exception&) {
    return notAnObject("syntax error");
  }
}

std::string toText(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string stringMember(const Poco::JSON::Object& object, const std::string& name,
                         const std::string& fallback) {
  const Poco::Dynamic::Var value = object.get(name);
  return value.isString() ? value.extract<std::string>() : fallback;
}

int64_t integerMember(const Poco::JSON::Object& object, const std::string& name, int64_t fallback) {
  const Poco::Dynamic::Var value = object.get(name);
  if (!value.isNumeric() || value.isBoolean()) {
    return fallback;
  }
  try {
    return value.convert<Poco::Int64>();
  } catch (const Poco::Exception&) {
    return fallback;
  }
}

bool booleanMember(const Poco::JSON::Object& object, const std::string& name, bool fallback) {
  const Poco::Dynamic::Var value = object.get(name);
  return value.isBoolean() ? value.extract<bool>() : fallback;
}

void appendJsonString(std::string& out, std::string_view text) {
  out += '"';
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      out += '\\';
      out += character;
    } else if (static_cast<unsigned char>(character) < kFirstPrintable) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x", static_cast<unsigned>(character));
      out += escaped;
    } else {
      out += character;
    }
  }
  out += '"';
}

}  // namespace fernmoor
