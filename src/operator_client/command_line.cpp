#include "operator_client/command_line.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "common/knobs.h"
#include "operator_client/fleet_commands.h"
#include "operator_client/table_commands.h"
#include "operator_client/text_table.h"

namespace fernmoor {

namespace {

using CommandFunction = ExitCode (*)(CommandContext&, const CommandWords&);

struct CommandEntry {
  const char* name;
  CommandFunction run;
};

const CommandEntry kCommands[] = {
    {"table", runTableCommand},  {"nodes", showNodes}, {"engines", showEngines}, {"drain", drain},
    {"explain", explainRequest}, {"top", showTop},     {"version", showVersion},
};

std::string numberText(double value) {
  std::ostringstream text;
  text << std::setprecision(15) << value;
  return text.str();
}

void printKnobs(std::ostream& out) {
  TextTable table({"KNOB", "DEFAULT", "FROM", "TO", "UNIT", "REASON"});
  for (const KnobDescription& knob : knobDescriptions()) {
    table.add({knob.name, numberText(knob.defaultValue), numberText(knob.minimum),
               numberText(knob.maximum), knob.unit, knob.reason});
  }
  table.print(out);
}

void printHelp(const CommandWords& words, std::ostream& out) {
  const bool knobs = words.size() > 1 && words[1] == "knobs";
  if (knobs) {
    printKnobs(out);
    return;
  }
  out << helpText();
}

}  // namespace

std::string helpText() {
  return R"(fernmoorctl COMMAND [--node=http://IP:PORT] [--key=KEY] [--output=text|json]

Commands:
  table get [SERVICE [TENANT]]          show rows, or one row with all its columns
  table set SERVICE TENANT COL=VALUE... change cells of a row, or make the row
  table delete SERVICE TENANT           remove a row
  table diff FILE                       what FILE would change
  table apply FILE                      change the rows in FILE (.json or .toml)
  table history [--after=VERSION]       changes after a version
  nodes                                 nodes, their states and table versions
  engines                               engines, their load and cache views
  drain NODE|ENGINE                     give it no new work; what it has goes on
  explain REQUEST_ID                    why a request went where it went, or was refused
  top                                   rates of each service and tenant
  version                               version of the node and of its table
  help [knobs]                          this text, or all tunables of the settings file

Flags:
  --node     any node; default: FERNMOOR_NODE, else http://127.0.0.1:8080
  --key      operator key; default: FERNMOOR_KEY (better: others can read a command line)
  --output   text (default) or json
  --timeout  seconds to wait for an answer, default 30
  --base_version  table version that a change is based on; default: the file's "version", else
                  the one in force
  --change_id     ask again for the outcome of a change whose answer was lost

Examples:
  export FERNMOOR_NODE=http://127.0.0.1:8080 FERNMOOR_KEY=...
  fernmoorctl table get
  fernmoorctl table set short-answers coast-office priority=0 rate_per_second=50
  fernmoorctl table get --output=json > rows.json   # edit rows.json, then:
  fernmoorctl table diff rows.json
  fernmoorctl table apply rows.json
  fernmoorctl explain 0af3-17
  fernmoorctl drain engine-a-3

Exit codes: 0 done; 1 refused, or stored and not yet in force everywhere, or diff found changes;
2 wrong usage, nothing was sent; 3 no answer; 4 conflict with another change.
)";
}

ExitCode runCommand(const ClientOptions& options, const CommandWords& words, std::ostream& out,
                    std::ostream& err) {
  if (!words.empty() && words.front() == "help") {
    printHelp(words, out);
    return ExitCode::kOk;
  }
  OperatorConnection connection(options);
  CommandContext context{options, connection, out, err};
  if (words.empty()) {
    return usageError(context, "no command was given.");
  }
  const auto* const found =
      std::find_if(std::begin(kCommands), std::end(kCommands),
                   [&](const CommandEntry& entry) { return words.front() == entry.name; });
  if (found == std::end(kCommands)) {
    return usageError(context, "there is no command \"" + words.front() + "\".");
  }
  return found->run(context, CommandWords(words.begin() + 1, words.end()));
}

}  // namespace fernmoor
