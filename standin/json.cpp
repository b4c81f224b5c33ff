#include "standin/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

#include <sstream>

namespace fernmoor::standin {

namespace {
constexpr size_t kBlockDigits = 16;
constexpr unsigned kBitsPerDigit = 4;
constexpr BlockHash kDigitMask = 0xf;
}  // namespace

Result<JsonObject::Ptr> parseObject(const std::string& text) {
  if (text.empty()) {
    return newObject();
  }
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<JsonObject::Ptr>();
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kInvalidRequest,
                 "The body is no JSON object (" + exception.displayText() + "). Send one.",
                 RunState::kNotRun, std::nullopt};
  }
}

JsonObject::Ptr newObject() {
  return new JsonObject(
      Poco::JSON_PRESERVE_KEY_ORDER);  // NOLINT(*-owning-memory): Poco's Ptr owns.
}

std::string toText(const JsonObject::Ptr& object) {
  std::ostringstream text;
  object->stringify(text);
  return text.str();
}

std::string textField(const JsonObject::Ptr& object, const std::string& name,
                      const std::string& otherwise) {
  const Poco::Dynamic::Var value = object->get(name);
  return value.isString() ? value.extract<std::string>() : otherwise;
}

int64_t numberField(const JsonObject::Ptr& object, const std::string& name, int64_t otherwise) {
  const Poco::Dynamic::Var value = object->get(name);
  if (!value.isNumeric() || value.isBoolean()) {
    return otherwise;
  }
  try {
    return value.convert<Poco::Int64>();
  } catch (const Poco::RangeException&) {
    return otherwise;
  }
}

std::string blockText(BlockHash block) {
  std::string text(kBlockDigits, '0');
  for (size_t place = kBlockDigits; place-- > 0; block >>= kBitsPerDigit) {
    text[place] = "0123456789abcdef"[block & kDigitMask];
  }
  return text;
}

std::vector<BlockHash> blocksField(const JsonObject::Ptr& object, const std::string& name) {
  std::vector<BlockHash> blocks;
  JsonArray::Ptr array = object->getArray(name);
  if (array.isNull()) {
    return blocks;
  }
  for (const Poco::Dynamic::Var& element : *array) {
    Poco::UInt64 block = 0;
    if (element.isString() && Poco::NumberParser::tryParseHex64(element.toString(), block)) {
      blocks.push_back(block);
    }
  }
  return blocks;
}

JsonArray::Ptr toArray(const std::vector<BlockHash>& blocks) {
  JsonArray::Ptr array = new JsonArray;
  for (const BlockHash block : blocks) {
    array->add(blockText(block));
  }
  return array;
}

}  // namespace fernmoor::standin
