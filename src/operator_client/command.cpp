#include "operator_client/command.h"

#include "http/json_text.h"
#include "operator_client/text_table.h"

namespace fernmoor {

namespace {

using Poco::JSON::Object;

/// Shows the cells that were not taken.
void printProblems(std::ostream& err, const Object& detail) {
  const Poco::JSON::Array::Ptr problems = detail.getArray("problems");
  if (problems.isNull() || problems->size() == 0) {
    return;
  }
  printObjects(err, problems,
               {{"ROW", "row"}, {"COLUMN", "column"}, {"FOUND", "found"}, {"REMEDY", "remedy"}});
}

/// Shows the columns of a conflict in which the sides differ.
void printSides(std::ostream& err, const Object& detail) {
  const Object::Ptr base = detail.getObject("base");
  const Object::Ptr theirs = detail.getObject("theirs");
  const Object::Ptr mine = detail.getObject("mine");
  if (theirs.isNull() || mine.isNull()) {
    return;
  }
  TextTable table({"COLUMN", "BASE", "THEIRS", "MINE"});
  Object all(*theirs);
  for (const auto& [column, value] : *mine) {
    all.set(column, value);
  }
  for (const auto& [column, value] : all) {
    const std::string before = base.isNull() ? "-" : cellText(*base, column);
    const std::string their = cellText(*theirs, column);
    const std::string own = mine->has(column) ? cellText(*mine, column) : before;
    if (their != before || own != before) {
      table.add({column, before, their, own});
    }
  }
  table.print(err);
}

}  // namespace

ExitCode usageError(CommandContext& context, const std::string& message) {
  context.err << message << "\nfernmoorctl help shows all commands with examples.\n";
  return ExitCode::kUsage;
}

ExitCode reportFailure(CommandContext& context, const OperatorFailure& failure) {
  context.err << failure.message << "\n";
  if (!failure.detail.isNull()) {
    printProblems(context.err, *failure.detail);
    printSides(context.err, *failure.detail);
  }
  if (!context.wantsJson()) {
    return failure.exitCode;
  }
  Object body;
  if (failure.detail.isNull()) {
    body.set("kind", "unavailable");
    body.set("message", failure.message);
  }
  printJson(context, failure.detail.isNull() ? body : *failure.detail);
  return failure.exitCode;
}

void printJson(CommandContext& context, const Object& object) {
  context.out << toText(object) << "\n";
}

}  // namespace fernmoor
