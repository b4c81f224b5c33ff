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

/// Every column of both sides, so that none is left out of the comparison.
Object columnsOf(const Object& theirs, const Object& mine) {
  Object all(theirs);
  for (const auto& [column, value] : mine) {
    all.set(column, value);
  }
  return all;
}

/// Shows the columns of one row's conflict in which a side differs from the base, or the sides from
/// each other where the base is not known. A side that is missing has no such row.
void printSides(std::ostream& err, const Object& conflict) {
  const Object none;
  const Object::Ptr basePointer = conflict.getObject("base");
  const Object::Ptr theirsPointer = conflict.getObject("theirs");
  const Object::Ptr minePointer = conflict.getObject("mine");
  const Object& base = basePointer.isNull() ? none : *basePointer;
  const Object& theirs = theirsPointer.isNull() ? none : *theirsPointer;
  const Object& mine = minePointer.isNull() ? none : *minePointer;
  TextTable table({"COLUMN", "BASE", "THEIRS", "MINE"});
  for (const auto& [column, value] : columnsOf(theirs, mine)) {
    const std::string before = cellText(base, column);
    const std::string their = cellText(theirs, column);
    const std::string unchanged = basePointer.isNull() ? their : before;
    const std::string own = mine.has(column) ? cellText(mine, column) : unchanged;
    if (their != unchanged || own != unchanged) {
      table.add({column, before, their, own});
    }
  }
  table.print(err);
}

/// Shows the conflict itself, or each of a list of them.
void printConflicts(std::ostream& err, const Object& detail) {
  const Poco::JSON::Array::Ptr conflicts = detail.getArray("conflicts");
  if (conflicts.isNull()) {
    printSides(err, detail);
    return;
  }
  for (size_t i = 0; i < conflicts->size(); ++i) {
    const Object::Ptr conflict = conflicts->getObject(static_cast<unsigned>(i));
    if (!conflict.isNull()) {
      err << cellText(*conflict, "service") << " of " << cellText(*conflict, "tenant") << ":\n";
      printSides(err, *conflict);
    }
  }
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
  }
  if (failure.exitCode == ExitCode::kConflict && !failure.detail.isNull()) {
    printConflicts(context.err, *failure.detail);
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
