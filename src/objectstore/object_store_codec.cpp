#include "objectstore/object_store_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <limits>
#include <sstream>
#include <string_view>
#include <vector>

#include "common/log.h"
#include "http/json_split.h"

namespace fernmoor::platform_codec {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t kMaxJsonDepth = 32;
constexpr const char* kValue = "value";
constexpr std::string_view kNull = "null";
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kUnavailableStatus = 503;
constexpr int kFirstServerErrorStatus = 500;

Object::Ptr parseObject(const std::string& body) {
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxJsonDepth);
  return parser.parse(body).extract<Object::Ptr>();
}

/// Runs a reader and turns whatever is wrong with the body into one kind of error.
template <class Reader>
auto readBody(Reader reader) -> Result<decltype(reader())> {
  try {
    return reader();
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kInternal,
                 "the platform's answer doesn't fit its protocol (" + exception.displayText() +
                     "); check that the platform's address and version are the right ones.",
                 RunState::kUnknown, std::nullopt};
  }
}

Var parseValue(const std::string& text) {
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxJsonDepth);
  return parser.parse(text);
}

CollectionRevision revisionOf(const Object& object, const std::string& field) {
  return CollectionRevision(object.getValue<Poco::UInt64>(field));
}

/// Parses an object but for one of its members.
Object::Ptr parseWithout(const std::vector<JsonMember>& members, std::string_view leftOut) {
  std::string text = "{";
  for (const JsonMember& member : members) {
    if (member.name != leftOut) {
      text += text.size() > 1 ? ",\"" : "\"";
      text.append(member.name).append("\":").append(member.value);
    }
  }
  return parseObject(text + "}");
}

/// One object of an answer: its members but for the value, and the text of the value, unread.
struct SplitObject {
  Object::Ptr members;
  std::string valueJson;
};

/// Splits the value off an object, so that one that no parser takes costs nothing but itself.
SplitObject splitValue(std::string_view text) {
  const auto members = splitJsonObject(text);
  if (!members) {
    throw Poco::DataFormatException("an array's element is no object");
  }
  return SplitObject{parseWithout(*members, kValue), std::string(findJsonMember(*members, kValue))};
}

/// Reads the members of an answer beside an array, and the array's elements one by one.
/// @param readElement takes the text of one.
template <class ReadElement>
Object::Ptr readArray(const std::string& body, const char* array, ReadElement readElement) {
  const auto members = splitJsonObject(body);
  const auto elements = members ? splitJsonArray(findJsonMember(*members, array)) : std::nullopt;
  if (!elements) {
    throw Poco::DataFormatException(std::string("no array ") + array);
  }
  for (const std::string_view element : *elements) {
    readElement(element);
  }
  return parseWithout(*members, array);
}

PlatformObject objectFrom(std::string_view text) {
  const SplitObject split = splitValue(text);
  const Object& object = *split.members;
  PlatformObject result;
  result.name = ObjectName(object.getValue<std::string>("name"));
  result.version = revisionOf(object, "version");
  result.valueJson = split.valueJson;
  result.changeId = ChangeId(object.optValue<std::string>("change_id", ""));
  return result;
}

WatchedChange watchedChangeFrom(std::string_view text) {
  const SplitObject split = splitValue(text);
  const Object& object = *split.members;
  WatchedChange change;
  change.version = revisionOf(object, "version");
  change.changeId = ChangeId(object.optValue<std::string>("change_id", ""));
  change.name = ObjectName(object.getValue<std::string>("name"));
  if (!split.valueJson.empty() && split.valueJson != kNull) {
    change.valueJson = split.valueJson;
  }
  return change;
}

MachineKind machineKindFrom(const std::string& name) {
  if (name == "node") {
    return MachineKind::kNode;
  }
  if (name == "engine") {
    return MachineKind::kEngine;
  }
  if (name == "application") {
    return MachineKind::kApplication;
  }
  if (name == "kvstore") {
    return MachineKind::kKvStore;
  }
  throw Poco::DataFormatException("unknown machine kind " + name);
}

Machine machineFrom(const Object& object) {
  Machine machine;
  machine.name = object.getValue<std::string>("name");
  machine.kind = machineKindFrom(object.getValue<std::string>("kind"));
  machine.address.host = object.getValue<std::string>("address");
  machine.address.port = object.getValue<Poco::UInt16>("port");
  machine.zone = ZoneId(object.optValue<std::string>("zone", ""));
  machine.region = RegionId(object.optValue<std::string>("region", ""));
  machine.status = object.optValue<std::string>("status", "live") == "leaving"
                       ? MachineStatus::kLeaving
                       : MachineStatus::kLive;
  machine.node = NodeId(object.optValue<Poco::UInt32>("node_id", 0));
  return machine;
}

Object::Ptr changeObject(const ObjectChange& change) {
  Object::Ptr object = new Object;
  object->set("expected_version", static_cast<Poco::UInt64>(change.expectedVersion.value()));
  object->set("value", change.valueJson ? parseValue(*change.valueJson) : Var());
  return object;
}

std::string textOf(const Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

ErrorKind kindOfStatus(int status, bool mutation) {
  switch (status) {
    case kNotFoundStatus:
      return ErrorKind::kNotFound;
    case kConflictStatus:
      return ErrorKind::kConflict;
    case kTooManyRequestsStatus:
      return ErrorKind::kRateLimited;
    case kUnavailableStatus:
      return ErrorKind::kUnavailable;
    default:
      break;
  }
  if (status < kFirstServerErrorStatus) {
    return ErrorKind::kInvalidRequest;
  }
  return mutation ? ErrorKind::kOutcomeUnknown : ErrorKind::kUnavailable;
}

}  // namespace

std::string writeChange(const ObjectChange& change, const ChangeId& changeId) {
  Object::Ptr object = changeObject(change);
  object->set("change_id", changeId.value());
  return textOf(*object);
}

std::string writeBatch(const ChangeBatch& batch) {
  Array::Ptr changes = new Array;
  for (const ObjectChange& change : batch.changes) {
    Object::Ptr object = changeObject(change);
    object->set("name", change.name.value());
    changes->add(object);
  }
  Object body;
  body.set("change_id", batch.changeId.value());
  body.set("expected_revision",
           batch.expectedRevision ? Var(static_cast<Poco::UInt64>(batch.expectedRevision->value()))
                                  : Var());
  body.set("changes", changes);
  return textOf(body);
}

Result<PlatformObject> readObject(const std::string& body) {
  return readBody([&] { return objectFrom(body); });
}

Result<CollectionSnapshot> readSnapshot(const std::string& body) {
  return readBody([&] {
    CollectionSnapshot snapshot;
    const Object::Ptr rest = readArray(body, "objects", [&](std::string_view element) {
      snapshot.objects.push_back(objectFrom(element));
    });
    snapshot.revision = revisionOf(*rest, "revision");
    return snapshot;
  });
}

Result<WatchBatch> readWatchBatch(const std::string& body) {
  return readBody([&] {
    WatchBatch batch;
    const Object::Ptr rest = readArray(body, "changes", [&](std::string_view element) {
      batch.changes.push_back(watchedChangeFrom(element));
    });
    batch.revision = revisionOf(*rest, "revision");
    batch.compacted = rest->optValue<bool>("compacted", false);
    return batch;
  });
}

Result<std::vector<Machine>> readMachines(const std::string& body) {
  return readBody([&] {
    std::vector<Machine> machines;
    readArray(body, "machines", [&](std::string_view element) {
      try {
        machines.push_back(machineFrom(*parseObject(std::string(element))));
      } catch (const Poco::Exception& exception) {
        logWarning("platform: a machine cannot be read and is left out (" +
                   exception.displayText() + "); correct it in the list of machines");
      }
    });
    return machines;
  });
}

Result<CollectionRevision> readRevision(const std::string& body) {
  return readBody([&] {
    const Object::Ptr object = parseObject(body);
    return revisionOf(*object, object->has("version") ? "version" : "revision");
  });
}

Error readError(int status, const std::string& body, bool mutation) {
  Error error{kindOfStatus(status, mutation), "", RunState::kNotRun, std::nullopt};
  if (error.kind == ErrorKind::kOutcomeUnknown) {
    error.runState = RunState::kUnknown;
  }
  std::string detail;
  try {
    const Object::Ptr object = parseObject(body);
    detail = object->optValue<std::string>("message", "");
    if (mutation && object->optValue<std::string>("run", "") == toString(RunState::kUnknown)) {
      error.kind = ErrorKind::kOutcomeUnknown;
      error.runState = RunState::kUnknown;
    }
  } catch (const Poco::Exception&) {
    detail = "no readable reason was given";
  }
  error.message = "the platform answered " + std::to_string(status) + " (" + detail +
                  "); try again once it is well, or see its status.";
  return error;
}

}  // namespace fernmoor::platform_codec
