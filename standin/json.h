/// @file
/// Reading and writing the JSON bodies of the stand-ins' protocols. Pure functions.
#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

#include "common/error.h"
#include "prefix/block_chain.h"

namespace fernmoor::standin {

using JsonObject = Poco::JSON::Object;
using JsonArray = Poco::JSON::Array;

/// @return the object, or kInvalidRequest where the text is no JSON object. An empty text is an
/// empty object.
Result<JsonObject::Ptr> parseObject(const std::string& text);
/// @return an empty object that keeps the order of its fields.
JsonObject::Ptr newObject();
/// @return the whole object as one line.
std::string toText(const JsonObject::Ptr& object);

/// Fields of an object; the default where the field is absent, null, of another type
/// or out of range.
std::string textField(const JsonObject::Ptr& object, const std::string& name,
                      const std::string& otherwise = "");
int64_t numberField(const JsonObject::Ptr& object, const std::string& name, int64_t otherwise = 0);

/// Block hashes travel as 16 hexadecimal digits, since JSON numbers lose digits above 2^53.
std::string blockText(BlockHash block);
/// @return the blocks of an array field; what is no block hash is left out.
std::vector<BlockHash> blocksField(const JsonObject::Ptr& object, const std::string& name);
JsonArray::Ptr toArray(const std::vector<BlockHash>& blocks);

}  // namespace fernmoor::standin
