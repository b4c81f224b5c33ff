#include "standin/object_service.h"

#include "common/time.h"
#include "standin/http_service.h"

namespace fernmoor::standin {

namespace {

constexpr Duration kLongestWatch{30000000};
constexpr size_t kNameSegment = 2;  ///< Of /objects/<collection>/<name>.

Error failure(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message), RunState::kNotRun, std::nullopt};
}

/// Names may contain slashes.
std::string nameOf(const HttpExchange& exchange) {
  std::string name;
  for (size_t place = kNameSegment; place < exchange.segments().size(); ++place) {
    name += (name.empty() ? "" : "/") + exchange.segments()[place];
  }
  return name;
}

std::optional<uint64_t> optionalNumber(const JsonObject::Ptr& object, const std::string& name) {
  const Poco::Dynamic::Var value = object->get(name);
  if (!value.isNumeric()) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(numberField(object, name));
}

/// An empty value, which stands for a deletion, is written as null.
JsonObject::Ptr recordJson(const ObjectRecord& record) {
  JsonObject::Ptr body = newObject();
  body->set("name", record.name);
  body->set("version", record.version);
  body->set("change_id", record.changeId);
  body->set("value", record.value);
  return body;
}

JsonArray::Ptr recordsJson(const std::vector<ObjectRecord>& records) {
  JsonArray::Ptr list = new JsonArray;
  for (const ObjectRecord& record : records) {
    list->add(recordJson(record));
  }
  return list;
}

JsonObject::Ptr conflictJson(const ObjectConflict& conflict) {
  JsonObject::Ptr body = toJson(conflict.error);
  body->set("current_revision", conflict.revision);
  body->set("current", conflict.current ? Poco::Dynamic::Var(recordJson(*conflict.current))
                                        : Poco::Dynamic::Var());
  return body;
}

Result<ObjectWrite> parseSingle(const HttpExchange& exchange, const JsonObject::Ptr& body) {
  ObjectWrite write;
  write.changeId = textField(body, "change_id");
  ObjectChange change;
  change.name = nameOf(exchange);
  change.expectedVersion = optionalNumber(body, "expected_version");
  if (!change.expectedVersion) {
    return failure(ErrorKind::kInvalidRequest,
                   "\"expected_version\" is missing. Send the version read, or 0 for a new one.");
  }
  if (exchange.method() == "PUT") {
    change.value = body->get("value");
    if (change.value.isEmpty()) {
      return failure(ErrorKind::kInvalidRequest, "\"value\" is missing. Send one, or use DELETE.");
    }
  }
  write.changes.push_back(std::move(change));
  return write;
}

Result<ObjectWrite> parseBatch(const JsonObject::Ptr& body) {
  ObjectWrite write;
  write.changeId = textField(body, "change_id");
  write.expectedRevision = optionalNumber(body, "expected_revision");
  const JsonArray::Ptr changes = body->getArray("changes");
  if (changes.isNull() || changes->size() == 0) {
    return failure(ErrorKind::kInvalidRequest, "\"changes\" is empty. Send at least one.");
  }
  for (size_t place = 0; place < changes->size(); ++place) {
    const JsonObject::Ptr item = changes->getObject(static_cast<unsigned>(place));
    if (item.isNull() || textField(item, "name").empty()) {
      return failure(ErrorKind::kInvalidRequest, "A change has no \"name\". Name its object.");
    }
    write.changes.push_back(ObjectChange{
        textField(item, "name"), optionalNumber(item, "expected_version"), item->get("value")});
  }
  return write;
}

Result<ObjectWrite> parseWrite(const HttpExchange& exchange) {
  const auto body = parseObject(exchange.body());
  if (!isOk(body)) {
    return errorOf(body);
  }
  return exchange.method() == "POST" ? parseBatch(valueOf(body))
                                     : parseSingle(exchange, valueOf(body));
}

}  // namespace

bool ObjectService::isWrite(const HttpExchange& exchange) {
  return exchange.method() != "GET" && exchange.path().rfind("/objects/", 0) == 0;
}

ObjectService::Collection& ObjectService::collectionOf(const HttpExchange& exchange) {
  return collections_.try_emplace(exchange.segments()[1], keptChanges_).first->second;
}

void ObjectService::handle(HttpExchange& exchange, const Arrival& arrival) {
  const auto& segments = exchange.segments();
  const size_t parts = segments.size();
  const bool reads = exchange.method() == "GET";
  if (parts < kNameSegment) {
    return;
  }
  if (segments[0] == "watch" && reads) {
    watch(exchange, arrival.outages);
  } else if (segments[0] == "changes" && reads && parts > kNameSegment) {
    findChange(exchange);
  } else if (segments[0] == "objects" && reads && parts > kNameSegment) {
    get(exchange);
  } else if (segments[0] == "objects" && reads) {
    list(exchange);
  } else if (segments[0] == "objects" && (exchange.method() == "POST") != (parts > kNameSegment)) {
    write(exchange, arrival.loseAnswer);
  }
}

void ObjectService::get(HttpExchange& exchange) {
  std::optional<ObjectRecord> record;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (const ObjectRecord* found = collectionOf(exchange).objects.find(nameOf(exchange))) {
      record = *found;
    }
  }
  if (record) {
    exchange.respond(recordJson(*record));
  } else {
    exchange.respond(failure(ErrorKind::kNotFound, "There is no such object. Create it first."));
  }
}

void ObjectService::list(HttpExchange& exchange) {
  JsonObject::Ptr body = newObject();
  std::vector<ObjectRecord> records;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const ObjectCollection& objects = collectionOf(exchange).objects;
    body->set("revision", objects.revision());
    records = objects.all();
  }
  body->set("objects", recordsJson(records));
  exchange.respond(body);
}

void ObjectService::write(HttpExchange& exchange, bool loseAnswer) {
  const auto parsed = parseWrite(exchange);
  if (!isOk(parsed)) {
    exchange.respond(errorOf(parsed));
    return;
  }
  WriteOutcome outcome;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    outcome = collectionOf(exchange).objects.write(valueOf(parsed));
    changed_.notify_all();
  }
  if (loseAnswer) {
    exchange.cut();
  } else if (const auto* conflict = std::get_if<ObjectConflict>(&outcome)) {
    exchange.respond(httpStatus(ErrorKind::kConflict), conflictJson(*conflict));
  } else {
    const uint64_t revision = std::get<uint64_t>(outcome);
    JsonObject::Ptr body = newObject();
    body->set("version", revision);
    body->set("revision", revision);
    exchange.respond(body);
  }
}

void ObjectService::findChange(HttpExchange& exchange) {
  std::optional<uint64_t> version;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    version = collectionOf(exchange).objects.findChange(nameOf(exchange));
  }
  if (!version) {
    exchange.respond(failure(ErrorKind::kNotFound, "No such change was applied. Write it again."));
    return;
  }
  JsonObject::Ptr body = newObject();
  body->set("version", *version);
  exchange.respond(body);
}

void ObjectService::watch(HttpExchange& exchange, uint64_t outagesBefore) {
  const SystemClock clock;
  const auto after = static_cast<uint64_t>(exchange.queryNumber("after", 0));
  const Time deadline = clock.now() + exchange.queryWait("wait_ms", kLongestWatch);
  ObjectHistory history;
  bool broken = false;
  {
    std::unique_lock<std::mutex> lock(mutex_);
    Collection& collection = collectionOf(exchange);
    if (collection.watches >= watchesPerCollection_) {
      lock.unlock();
      exchange.respond(failure(ErrorKind::kRateLimited,
                               "Too many watches. Let a few readers watch and pass it on."));
      return;
    }
    ++collection.watches;
    while (true) {
      history = collection.objects.changesAfter(after);
      broken = outagesBefore != outages_ || stopping_;
      if (broken || history.compacted || !history.changes.empty() || clock.now() >= deadline) {
        break;
      }
      changed_.wait_until(lock, toSteady(deadline));
    }
    --collection.watches;
  }
  if (broken) {
    exchange.respond(failure(ErrorKind::kUnavailable, "The platform is down. Try again later."));
    return;
  }
  JsonObject::Ptr body = newObject();
  body->set("revision", history.revision);
  body->set("compacted", history.compacted);
  body->set("changes", recordsJson(history.changes));
  exchange.respond(body);
}

uint64_t ObjectService::outages() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return outages_;
}

void ObjectService::breakWatches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++outages_;
  changed_.notify_all();
}

void ObjectService::stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

}  // namespace fernmoor::standin
