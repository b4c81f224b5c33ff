#include "objectstore/http_object_store_client.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

#include <utility>

#include "objectstore/object_store_codec.h"

namespace fernmoor {

namespace {

using Poco::Net::HTTPRequest;

std::string escape(const std::string& segment) {
  std::string escaped;
  Poco::URI::encode(segment, "/?#%", escaped);
  return escaped;
}

std::string objectPath(const CollectionName& collection, const ObjectName& name) {
  return "/objects/" + escape(collection.value()) + "/" + escape(name.value());
}

std::string collectionPath(const CollectionName& collection) {
  return "/objects/" + escape(collection.value());
}

Error unreachable(const SocketAddress& address, const std::string& reason) {
  return Error{ErrorKind::kUnavailable,
               "the platform at " + address.host + ":" + std::to_string(address.port) +
                   " can't be reached (" + reason + "); check its address and whether it is up.",
               RunState::kNotRun, std::nullopt};
}

Error answerLost(const std::string& reason, bool mutation) {
  if (!mutation) {
    return Error{ErrorKind::kTimeout,
                 "the platform gave no whole answer (" + reason + "); try again.",
                 RunState::kNotRun, std::nullopt};
  }
  return Error{ErrorKind::kOutcomeUnknown,
               "the platform's answer to a change was lost (" + reason +
                   "); look the change up by its id, or send it again with the same id.",
               RunState::kUnknown, std::nullopt};
}

Error tooLarge(int64_t limit) {
  return Error{ErrorKind::kTooLarge,
               "the platform's answer is larger than " + std::to_string(limit) +
                   " bytes; raise the knob platformMaxAnswerBytes or remove objects.",
               RunState::kUnknown, std::nullopt};
}

}  // namespace

HttpObjectStoreClient::HttpObjectStoreClient(SocketAddress address, const Knobs& knobs)
    : address_(std::move(address)), knobs_(knobs) {}

HttpObjectStoreClient::Call HttpObjectStoreClient::read(const std::string& path) const {
  return Call{HTTPRequest::HTTP_GET, path, "", knobs_.platformTimeout, false};
}

HttpObjectStoreClient::Call HttpObjectStoreClient::change(const std::string& method,
                                                          const std::string& path,
                                                          std::string body) const {
  return Call{method, path, std::move(body), knobs_.platformTimeout, true};
}

Result<std::string> HttpObjectStoreClient::perform(const Call& call) const {
  HttpCall request;
  request.address = address_;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  request.timeout = call.receiveTimeout;
  request.connectTimeout = knobs_.platformConnectTimeout;
  request.mostAnswerBytes = static_cast<size_t>(knobs_.platformMaxAnswerBytes);
  HttpClient client;
  const HttpOutcome outcome = client.call(request);
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return failedCall(*failure, call.mutation);
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status != Poco::Net::HTTPResponse::HTTP_OK) {
    return platform_codec::readError(answer.status, answer.body, call.mutation);
  }
  return answer.body;
}

Error HttpObjectStoreClient::failedCall(const HttpFailure& failure, bool mutation) const {
  if (failure.progress == CallProgress::kNotSent) {
    return unreachable(address_, failure.detail);
  }
  return failure.isTooLong ? tooLarge(knobs_.platformMaxAnswerBytes)
                           : answerLost(failure.detail, mutation);
}

namespace {

/// Reads the body of a call that succeeded.
template <class Reader>
auto readAnswer(const Result<std::string>& answer, Reader reader) -> decltype(reader("")) {
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  return reader(valueOf(answer));
}

}  // namespace

Result<PlatformObject> HttpObjectStoreClient::get(const CollectionName& collection,
                                                  const ObjectName& name) {
  return readAnswer(perform(read(objectPath(collection, name))), platform_codec::readObject);
}

Result<CollectionRevision> HttpObjectStoreClient::put(const CollectionName& collection,
                                                      const ObjectChange& objectChange,
                                                      const ChangeId& changeId) {
  const std::string& method =
      objectChange.valueJson ? HTTPRequest::HTTP_PUT : HTTPRequest::HTTP_DELETE;
  return readAnswer(perform(change(method, objectPath(collection, objectChange.name),
                                   platform_codec::writeChange(objectChange, changeId))),
                    platform_codec::readRevision);
}

Result<CollectionRevision> HttpObjectStoreClient::apply(const CollectionName& collection,
                                                        const ChangeBatch& batch) {
  return readAnswer(perform(change(HTTPRequest::HTTP_POST, collectionPath(collection),
                                   platform_codec::writeBatch(batch))),
                    platform_codec::readRevision);
}

Result<CollectionSnapshot> HttpObjectStoreClient::list(const CollectionName& collection) {
  return readAnswer(perform(read(collectionPath(collection))), platform_codec::readSnapshot);
}

Result<WatchBatch> HttpObjectStoreClient::watch(const CollectionName& collection,
                                                CollectionRevision after, Duration wait) {
  const int64_t waitMilliseconds = duration_cast<std::chrono::milliseconds>(wait).count();
  Call call =
      read("/watch/" + escape(collection.value()) + "?after=" + std::to_string(after.value()) +
           "&wait_ms=" + std::to_string(waitMilliseconds));
  call.receiveTimeout = wait + knobs_.platformTimeout;
  return readAnswer(perform(call), platform_codec::readWatchBatch);
}

Result<CollectionRevision> HttpObjectStoreClient::findChange(const CollectionName& collection,
                                                             const ChangeId& changeId) {
  const std::string path =
      "/changes/" + escape(collection.value()) + "/" + escape(changeId.value());
  return readAnswer(perform(read(path)), platform_codec::readRevision);
}

Result<std::vector<Machine>> HttpObjectStoreClient::machines() {
  return readAnswer(perform(read("/machines")), platform_codec::readMachines);
}

}  // namespace fernmoor
