/// @file
/// Tests of src/objectstore/http_object_store_client.h against a scripted HTTP server on loopback.
#include "objectstore/http_object_store_client.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <doctest/doctest.h>

#include <mutex>

namespace fernmoor {

namespace {

/// Answers every request with the same status and body and keeps the last request.
class ScriptedServer : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  ScriptedServer(int status, std::string answer) : status_(status), answer_(std::move(answer)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new Handler(*this);
  }
  std::string seen() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }
  bool cutsConnection = false;

 private:
  class Handler : public Poco::Net::HTTPRequestHandler {
   public:
    explicit Handler(ScriptedServer& server) : server_(server) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      std::string body;
      Poco::StreamCopier::copyToString(request.stream(), body);
      {
        const std::lock_guard<std::mutex> lock(server_.mutex_);
        server_.seen_ = request.getMethod() + " " + request.getURI() + " " + body;
      }
      if (server_.cutsConnection) {
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
        return;
      }
      response.setStatus(std::to_string(server_.status_));
      response.sendBuffer(server_.answer_.data(), server_.answer_.size());
    }

   private:
    ScriptedServer& server_;
  };

  const int status_;
  const std::string answer_;
  mutable std::mutex mutex_;
  std::string seen_;
};

struct Fixture {
  Fixture(int status, const std::string& answer, bool cutsConnection = false)
      : script(new ScriptedServer(status, answer)),
        socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        server(script, socket, new Poco::Net::HTTPServerParams),
        client(SocketAddress{"127.0.0.1", socket.address().port()}, Knobs{}) {
    script->cutsConnection = cutsConnection;
    server.start();
  }
  ~Fixture() { server.stopAll(true); }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  Poco::SharedPtr<ScriptedServer> script;
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServer server;
  HttpObjectStoreClient client;
};

const CollectionName kTable("table");

}  // namespace

TEST_CASE("a snapshot of a collection is read") {
  Fixture platform(200, R"({"revision":7,"objects":[
      {"name":"a:t","version":5,"value":{"weight":2},"change_id":"c5"}]})");
  const auto snapshot = platform.client.list(kTable);
  REQUIRE(isOk(snapshot));
  CHECK(valueOf(snapshot).revision == CollectionRevision(7));
  REQUIRE(valueOf(snapshot).objects.size() == 1);
  CHECK(valueOf(snapshot).objects[0].name == ObjectName("a:t"));
  CHECK(valueOf(snapshot).objects[0].valueJson == R"({"weight":2})");
  CHECK(platform.script->seen() == "GET /objects/table ");
}

TEST_CASE("a watch tells sets and deletions in order") {
  Fixture platform(200, R"({"revision":9,"compacted":false,"changes":[
      {"version":8,"change_id":"c8","name":"a:t","value":{}},
      {"version":9,"change_id":"c9","name":"a:t","value":null}]})");
  const auto batch = platform.client.watch(kTable, CollectionRevision(7), Duration(1000000));
  REQUIRE(isOk(batch));
  REQUIRE(valueOf(batch).changes.size() == 2);
  CHECK(valueOf(batch).changes[0].valueJson.has_value());
  CHECK_FALSE(valueOf(batch).changes[1].valueJson.has_value());
  CHECK(platform.script->seen() == "GET /watch/table?after=7&wait_ms=1000 ");
}

TEST_CASE("a batch is sent whole and answered by its revision") {
  Fixture platform(200, R"({"revision":12})");
  ChangeBatch batch;
  batch.changeId = ChangeId("c12");
  batch.expectedRevision = CollectionRevision(11);
  batch.changes = {{ObjectName("a:t"), CollectionRevision(3), std::string("{\"weight\":2}")},
                   {ObjectName("b:t"), CollectionRevision(4), std::nullopt}};
  const auto revision = platform.client.apply(kTable, batch);
  REQUIRE(isOk(revision));
  CHECK(valueOf(revision) == CollectionRevision(12));
  const std::string seen = platform.script->seen();
  CHECK(seen.find("POST /objects/table ") == 0);
  CHECK(seen.find("\"expected_revision\":11") != std::string::npos);
  CHECK(seen.find("\"value\":{\"weight\":2}") != std::string::npos);
  CHECK(seen.find("\"value\":null") != std::string::npos);
}

TEST_CASE("machines are read with their kind and status") {
  Fixture platform(200, R"({"machines":[{"name":"n1","kind":"node","address":"127.0.0.1",
      "port":7001,"zone":"z1","region":"r","status":"leaving","node_id":4}]})");
  const auto machines = platform.client.machines();
  REQUIRE(isOk(machines));
  REQUIRE(valueOf(machines).size() == 1);
  CHECK((valueOf(machines)[0].kind == MachineKind::kNode));
  CHECK((valueOf(machines)[0].status == MachineStatus::kLeaving));
  CHECK(valueOf(machines)[0].node == NodeId(4));
}

TEST_CASE("the status decides the kind of error") {
  const ObjectChange change{ObjectName("a:t"), CollectionRevision(1), std::string("{}")};
  Fixture conflict(409, R"({"kind":"conflict","message":"changed","run":"not_run"})");
  const auto refused = conflict.client.put(kTable, change, ChangeId("c"));
  REQUIRE_FALSE(isOk(refused));
  CHECK((errorOf(refused).kind == ErrorKind::kConflict));
  Fixture down(503, "");
  const auto away = down.client.put(kTable, change, ChangeId("c"));
  REQUIRE_FALSE(isOk(away));
  CHECK((errorOf(away).kind == ErrorKind::kUnavailable));
  CHECK((errorOf(away).runState == RunState::kNotRun));
}

TEST_CASE("a change whose answer is lost has an unknown outcome, a read has not") {
  Fixture platform(200, "", true);
  const ObjectChange change{ObjectName("a:t"), CollectionRevision(1), std::string("{}")};
  const auto lost = platform.client.put(kTable, change, ChangeId("c"));
  REQUIRE_FALSE(isOk(lost));
  CHECK((errorOf(lost).kind == ErrorKind::kOutcomeUnknown));
  CHECK((errorOf(lost).runState == RunState::kUnknown));
  const auto read = platform.client.list(kTable);
  REQUIRE_FALSE(isOk(read));
  CHECK((errorOf(read).kind == ErrorKind::kTimeout));
}

TEST_CASE("an answer that doesn't fit the protocol is an error, not a crash") {
  for (const char* body : {"", "[]", "{}", "{\"revision\":\"x\",\"objects\":[]}",
                           "{\"revision\":1,\"objects\":[3]}"}) {
    CAPTURE(body);
    Fixture platform(200, body);
    CHECK_FALSE(isOk(platform.client.list(kTable)));
  }
}

}  // namespace fernmoor
