#include "objectstore/object_store_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <limits>
#include <sstream>

namespace fernmoor::platform_codec {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr size_t kMaxJsonDepth = 32;
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
auto readBody(const std::string& body, Reader reader) -> Result<decltype(reader(Object::Ptr()))> {
  try {
    return reader(parseObject(body));
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kInternal,
                 "the platform's answer doesn't fit its protocol (" + exception.displayText() +
                     "); check that the platform's address and version are the right ones.",
                 RunState::kUnknown, std::nullopt};
  }
}

std::string toJsonText(const Var& value) {
  std::ostringstream out;
  Poco::JSON::Stringifier::stringify(value, out);
  return out.str();
}

Var parseValue(const std::string& text) {
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxJsonDepth);
  return parser.parse(text);
}

CollectionRevision revisionOf(const Object& object, const std::string& field) {
  return CollectionRevision(object.getValue<Poco::UInt64>(field));
}

Array::Ptr arrayOf(const Object& object, const std::string& field) {
  Array::Ptr array = object.getArray(field);
  if (array.isNull()) {
    throw Poco::DataFormatException("no array " + field);
  }
  return array;
}

Object::Ptr elementOf(const Array& array, size_t index) {
  Object::Ptr element = array.getObject(static_cast<unsigned>(index));
  if (element.isNull()) {
    throw Poco::DataFormatException("an array's element is no object");
  }
  return element;
}

PlatformObject objectFrom(const Object& object) {
  PlatformObject result;
  result.name = ObjectName(object.getValue<std::string>("name"));
  result.version = revisionOf(object, "version");
  result.valueJson = toJsonText(object.get("value"));
  result.changeId = ChangeId(object.optValue<std::string>("change_id", ""));
  return result;
}

WatchedChange watchedChangeFrom(const Object& object) {
  WatchedChange change;
  change.version = revisionOf(object, "version");
  change.changeId = ChangeId(object.optValue<std::string>("change_id", ""));
  change.name = ObjectName(object.getValue<std::string>("name"));
  if (object.has("value") && !object.isNull("value")) {
    change.valueJson = toJsonText(object.get("value"));
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
  return readBody(body, [](const Object::Ptr& object) { return objectFrom(*object); });
}

Result<CollectionSnapshot> readSnapshot(const std::string& body) {
  return readBody(body, [](const Object::Ptr& object) {
    CollectionSnapshot snapshot;
    snapshot.revision = revisionOf(*object, "revision");
    const Array::Ptr objects = arrayOf(*object, "objects");
    snapshot.objects.reserve(objects->size());
    for (size_t index = 0; index < objects->size(); ++index) {
      snapshot.objects.push_back(objectFrom(*elementOf(*objects, index)));
    }
    return snapshot;
  });
}

Result<WatchBatch> readWatchBatch(const std::string& body) {
  return readBody(body, [](const Object::Ptr& object) {
    WatchBatch batch;
    batch.revision = revisionOf(*object, "revision");
    batch.compacted = object->optValue<bool>("compacted", false);
    const Array::Ptr changes = arrayOf(*object, "changes");
    for (size_t index = 0; index < changes->size(); ++index) {
      batch.changes.push_back(watchedChangeFrom(*elementOf(*changes, index)));
    }
    return batch;
  });
}

Result<std::vector<Machine>> readMachines(const std::string& body) {
  return readBody(body, [](const Object::Ptr& object) {
    std::vector<Machine> machines;
    const Array::Ptr entries = arrayOf(*object, "machines");
    for (size_t index = 0; index < entries->size(); ++index) {
      machines.push_back(machineFrom(*elementOf(*entries, index)));
    }
    return machines;
  });
}

Result<CollectionRevision> readRevision(const std::string& body) {
  return readBody(body, [](const Object::Ptr& object) {
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
