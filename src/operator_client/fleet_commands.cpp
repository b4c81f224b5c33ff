#include "operator_client/fleet_commands.h"

#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include "operator_client/text_table.h"

namespace fernmoor {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// Fetches a path and shows its list as a table, or the whole answer as JSON.
ExitCode showList(CommandContext& context, const std::string& path, const std::string& list,
                  const std::vector<MemberColumn>& columns) {
  const OperatorOutcome outcome = context.connection.get(path);
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    return reportFailure(context, *failure);
  }
  const Object::Ptr body = std::get<Object::Ptr>(outcome);
  if (context.wantsJson()) {
    printJson(context, *body);
  } else {
    printObjects(context.out, body->getArray(list), columns);
  }
  return ExitCode::kOk;
}

void printAttempt(std::ostream& out, const Object& attempt) {
  out << "attempt " << cellText(attempt, "attempt") << " on engine " << cellText(attempt, "engine")
      << ": " << cellText(attempt, "reason") << "; expected " << cellText(attempt, "expected_ms")
      << " ms to the first token; result: " << cellText(attempt, "result") << "\n";
  const Array::Ptr considered = attempt.getArray("considered");
  if (!considered.isNull() && considered->size() > 0) {
    printObjects(out, considered,
                 {{"  CONSIDERED", "engine"},
                  {"MATCHED BLOCKS", "matched_blocks"},
                  {"EXPECTED MS", "expected_ms"}});
  }
}

void printExplanation(std::ostream& out, const Object& body) {
  out << "request " << cellText(body, "request") << " of tenant " << cellText(body, "tenant")
      << " to service " << cellText(body, "service") << "\n"
      << "outcome: " << cellText(body, "outcome") << "; run: " << cellText(body, "run")
      << "; waited " << cellText(body, "queue_ms") << " ms\n";
  if (cellText(body, "refused_by") != "-") {
    out << "refused by: " << cellText(body, "refused_by") << "\n";
  }
  const Array::Ptr attempts = body.getArray("attempts");
  for (size_t i = 0; !attempts.isNull() && i < attempts->size(); ++i) {
    const Object::Ptr attempt = attempts->getObject(static_cast<unsigned>(i));
    if (!attempt.isNull()) {
      printAttempt(out, *attempt);
    }
  }
}

/// A node that is told of a drain.
struct DrainTarget {
  std::string nodeId;
  SocketAddress address;
};

/// @param onlyNode the one node to tell; empty: all, as each chooses engines by itself.
std::vector<DrainTarget> drainTargets(const Object& members, const std::string& onlyNode) {
  std::vector<DrainTarget> targets;
  const Array::Ptr nodes = members.getArray("nodes");
  for (size_t i = 0; !nodes.isNull() && i < nodes->size(); ++i) {
    const Object::Ptr node = nodes->getObject(static_cast<unsigned>(i));
    if (node.isNull() || cellText(*node, "state") == "dead") {
      continue;
    }
    const std::string nodeId = cellText(*node, "node_id");
    const auto address = parseSocketAddress(cellText(*node, "http"));
    if (address && (onlyNode.empty() || onlyNode == nodeId)) {
      targets.push_back({nodeId, *address});
    }
  }
  return targets;
}

ExitCode sendDrain(CommandContext& context, const DrainTarget& target, const Object& order) {
  ClientOptions options = context.options;
  options.node = target.address;
  OperatorConnection connection(options);
  const OperatorOutcome outcome = connection.post("/operator/drain", order);
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    context.err << "node " << target.nodeId << " did not take the order; send it again:\n";
    return reportFailure(context, *failure);
  }
  return ExitCode::kOk;
}

void reportDrain(CommandContext& context, const std::string& name, bool isNode,
                 const std::vector<DrainTarget>& targets) {
  if (context.wantsJson()) {
    Object body;
    Array::Ptr told = new Array;
    for (const DrainTarget& target : targets) {
      told->add(target.nodeId);
    }
    body.set("told_nodes", told);
    printJson(context, body);
    return;
  }
  context.out << (isNode ? "node " : "engine ") << name
              << " takes no new work; what it has goes on to its end. `fernmoorctl "
              << (isNode ? "nodes" : "engines") << "` shows its state.\n";
}

}  // namespace

ExitCode showNodes(CommandContext& context, const CommandWords& words) {
  if (!words.empty()) {
    return usageError(context, "nodes takes no words.");
  }
  return showList(context, "/operator/nodes", "nodes",
                  {{"NODE", "node_id"},
                   {"STATE", "state"},
                   {"ZONE", "zone"},
                   {"REGION", "region"},
                   {"PEER ADDRESS", "peer"},
                   {"HTTP ADDRESS", "http"},
                   {"TABLE VERSION", "table_version"},
                   {"INCARNATION", "incarnation"}});
}

ExitCode showEngines(CommandContext& context, const CommandWords& words) {
  if (!words.empty()) {
    return usageError(context, "engines takes no words.");
  }
  return showList(context, "/operator/engines", "engines",
                  {{"ENGINE", "id"},
                   {"STATUS", "status"},
                   {"ZONE", "zone"},
                   {"ADDRESS", "address"},
                   {"MODEL", "model"},
                   {"WEIGHTS", "weights_version"},
                   {"OWNER", "owner"},
                   {"QUEUED TOKENS", "queued_prefill_tokens"},
                   {"STREAMS", "running_streams"},
                   {"MAX STREAMS", "max_streams"},
                   {"VIEW BLOCKS", "view_blocks"},
                   {"VIEW AGE MS", "view_age_ms"}});
}

ExitCode drain(CommandContext& context, const CommandWords& words) {
  if (words.size() != 1) {
    return usageError(context, "drain needs one node number or engine name.");
  }
  unsigned number = 0;
  const bool isNode = Poco::NumberParser::tryParseUnsigned(words[0], number);
  const OperatorOutcome outcome = context.connection.get("/operator/nodes");
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    return reportFailure(context, *failure);
  }
  const std::vector<DrainTarget> targets =
      drainTargets(*std::get<Object::Ptr>(outcome), isNode ? words[0] : "");
  if (targets.empty()) {
    return reportFailure(context, OperatorFailure{ExitCode::kRefused,
                                                  "there is no live node " + words[0] +
                                                      "; `fernmoorctl nodes` lists them.",
                                                  nullptr});
  }
  Object order;
  order.set("kind", isNode ? "node" : "engine");
  order.set("id", words[0]);
  for (const DrainTarget& target : targets) {
    const ExitCode code = sendDrain(context, target, order);
    if (code != ExitCode::kOk) {
      return code;
    }
  }
  reportDrain(context, words[0], isNode, targets);
  return ExitCode::kOk;
}

ExitCode explainRequest(CommandContext& context, const CommandWords& words) {
  if (words.size() != 1) {
    return usageError(context, "explain needs one request id (header X-Request-Id of the answer).");
  }
  std::string id;
  Poco::URI::encode(words[0], "?#/&", id);
  const OperatorOutcome outcome = context.connection.get("/operator/explain/" + id);
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    return reportFailure(context, *failure);
  }
  const Object::Ptr body = std::get<Object::Ptr>(outcome);
  if (context.wantsJson()) {
    printJson(context, *body);
  } else {
    printExplanation(context.out, *body);
  }
  return ExitCode::kOk;
}

ExitCode showTop(CommandContext& context, const CommandWords& words) {
  if (!words.empty()) {
    return usageError(context, "top takes no words.");
  }
  return showList(context, "/operator/top", "classes",
                  {{"SERVICE", "service"},
                   {"TENANT", "tenant"},
                   {"REQUESTS/S", "requests_per_second"},
                   {"REFUSED/S", "refused_per_second"},
                   {"HIT RATE", "hit_rate"},
                   {"TTFT P50 MS", "ttft_p50_ms"},
                   {"TTFT P95 MS", "ttft_p95_ms"},
                   {"RECOMPUTED TOKENS/S", "recomputed_tokens_per_second"}});
}

ExitCode showVersion(CommandContext& context, const CommandWords& words) {
  if (!words.empty()) {
    return usageError(context, "version takes no words.");
  }
  const OperatorOutcome outcome = context.connection.get("/operator/version");
  if (const auto* failure = std::get_if<OperatorFailure>(&outcome)) {
    return reportFailure(context, *failure);
  }
  const Object::Ptr body = std::get<Object::Ptr>(outcome);
  if (context.wantsJson()) {
    printJson(context, *body);
    return ExitCode::kOk;
  }
  context.out << "node " << cellText(*body, "node_id") << ": fernmoord "
              << cellText(*body, "version") << ", incarnation " << cellText(*body, "incarnation")
              << ", table version " << cellText(*body, "table_version") << "\n";
  return ExitCode::kOk;
}

}  // namespace fernmoor
