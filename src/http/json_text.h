/// @file
/// JSON objects through Poco, with bounded input and Result instead of exceptions.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>

#include "common/error.h"

namespace fernmoor {

/// Reads a JSON object.
/// @return kInvalidRequest where the text is no object or nests deeper than 32 levels.
Result<Poco::JSON::Object::Ptr> parseJsonObject(const std::string& text);

/// @return the object as compact text.
std::string toText(const Poco::JSON::Object& object);

/// @return the member as text, or the fallback where it is missing or of another type.
std::string stringMember(const Poco::JSON::Object& object, const std::string& name,
                         const std::string& fallback = "");
int64_t integerMember(const Poco::JSON::Object& object, const std::string& name,
                      int64_t fallback = 0);
bool booleanMember(const Poco::JSON::Object& object, const std::string& name,
                   bool fallback = false);

/// Appends the text as a JSON string, quotes included. Invalid UTF-8 passes through unchanged.
void appendJsonString(std::string& out, std::string_view text);

}  // namespace fernmoor
