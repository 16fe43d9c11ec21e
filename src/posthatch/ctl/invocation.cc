#include "posthatch/ctl/invocation.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <map>
#include <sstream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace posthatch::ctl {
namespace {

bool ReadFile(const std::string& path, std::string* content) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return false;
  std::ostringstream buffer;
  buffer << file.rdbuf();
  *content = buffer.str();
  return true;
}

// Defines the options and subcommands; CLI11 stores their values in `invocation_`.
class CommandLine {
 public:
  CommandLine() : app_("Manages a posthatch fleet through any of its gateways or controllers") {
    app_.require_subcommand(1);
    AddOptions();
    AddConfigCommands();
    AddEvacuationCommands();
    AddModelCommands();
    AddReadCommands();
  }

  ParseOutcome Parse(int argument_count, const char* const* arguments) {
    ParseOutcome outcome;
    try {
      app_.parse(argument_count, arguments);
    } catch (const CLI::ParseError& error) {
      std::ostringstream text;
      const int code = app_.exit(error, text, text);
      outcome.exit_code = code == 0 ? ExitCode::kOk : ExitCode::kUsage;
      outcome.message = text.str();
      return outcome;
    }
    outcome.message = ReadFiles();
    if (outcome.message.empty()) {
      outcome.invocation = invocation_;
    } else {
      outcome.exit_code = ExitCode::kUsage;
    }
    return outcome;
  }

 private:
  CLI::App* AddCommand(CLI::App* parent, const std::string& name, const std::string& help,
                       CommandKind kind) {
    CLI::App* command = parent->add_subcommand(name, help);
    command->callback([this, kind] { invocation_.command = kind; });
    return command;
  }

  void AddOptions() {
    app_.fallthrough();
    app_.add_option("--target", invocation_.targets, "HTTP addresses ip:port, tried in turn")
        ->required()
        ->delimiter(',');
    const std::map<std::string, OutputFormat> formats = {{"json", OutputFormat::kJson},
                                                         {"table", OutputFormat::kTable}};
    app_.add_option("-o,--output", invocation_.output, "json or table (default)")
        ->transform(CLI::CheckedTransformer(formats));
    app_.add_option("--token-file", token_file_, "File with the operators' bearer token");
    app_.add_option(
            "--request-id", invocation_.request_id,
            "Id of the change, 1 to 128 characters: pass the printed one again to resend it")
        ->check([](const std::string& text) {
          return text.empty() || text.size() > 128 ? std::string("1 to 128 characters")
                                                   : std::string();
        });
    app_.add_option("--timeout-ms", invocation_.timeout_ms,
                    "Time-out in milliseconds, for all targets together")
        ->check(CLI::Range(100, 600000));
    app_.add_flag("--yes", invocation_.confirmed,
                  "Skips the check that the selector matches some back ends but not all");
  }

  void AddConfigCommands() {
    CLI::App* config = app_.add_subcommand("config", "The operators' configuration");
    config->require_subcommand(1);
    CLI::App* apply =
        AddCommand(config, "apply", "Puts a configuration in force", CommandKind::kConfigApply);
    apply->add_option("file", file_, "JSON file with a complete configuration")->required();
    apply->add_flag("--patch", invocation_.is_patch, "The file contains a partial change");
    AddExpectedVersion(apply);
    CLI::App* get = AddCommand(config, "get", "Shows a configuration", CommandKind::kConfigGet);
    get->add_option("--version", invocation_.version, "Version to show (default: the newest)");
    AddCommand(config, "history", "Lists the stored versions", CommandKind::kConfigHistory);
    CLI::App* diff = AddCommand(config, "diff", "Lists the differences between two versions",
                                CommandKind::kConfigDiff);
    diff->add_option("from", invocation_.from_version)->required();
    diff->add_option("to", invocation_.to_version, "Default: the newest");
    CLI::App* rollback = AddCommand(config, "rollback", "Creates a new version equal to an old one",
                                    CommandKind::kConfigRollback);
    rollback->add_option("version", invocation_.version)->required()->check(CLI::PositiveNumber);
    AddExpectedVersion(rollback);
  }

  void AddEvacuationCommands() {
    CLI::App* evacuate =
        AddCommand(&app_, "evacuate", "Routes new requests around all matching back ends",
                   CommandKind::kEvacuate);
    evacuate->add_option("name", invocation_.name)->required();
    evacuate
        ->add_option("--selector", invocation_.selector,
                     "Label selector of the back ends, for example zone=eu-1a,!canary")
        ->required();
    CLI::App* lift = AddCommand(&app_, "lift", "Ends an evacuation", CommandKind::kLift);
    lift->add_option("name", invocation_.name)->required();
    CLI::App* drain = app_.add_subcommand(
        "drain",
        "Routes new requests around one back end, by evacuation drain-ID with selector id=ID");
    drain->add_option("id", drain_id_)->required();
    drain->callback([this] {
      invocation_.command = CommandKind::kEvacuate;
      invocation_.name = "drain-" + drain_id_;
      invocation_.selector = "id=" + drain_id_;
    });
    AddCommand(&app_, "evacuations", "Lists the active evacuations", CommandKind::kEvacuations);
  }

  void AddModelCommands() {
    CLI::App* revision =
        AddCommand(&app_, "model-revision", "Sets new weights as a model's newest revision",
                   CommandKind::kModelRevision);
    revision->add_option("model", invocation_.name)->required();
    revision->add_option("weights", invocation_.weights)->required();
    revision->add_option("--expected-revision", invocation_.expected_version,
                         "Rejects the change if this isn't the newest revision");
    AddCommand(&app_, "model-revisions", "Lists the newest revision of each model",
               CommandKind::kModelRevisions);
  }

  void AddReadCommands() {
    AddCommand(&app_, "members", "Lists the processes that the target knows",
               CommandKind::kMembers);
    AddCommand(&app_, "leases", "Lists the worker leases and their holders", CommandKind::kLeases);
    AddCommand(&app_, "inventory", "Lists the back ends", CommandKind::kInventory);
    AddCommand(&app_, "controllers", "Shows the state of the replicated log",
               CommandKind::kControllers);
    CLI::App* index = app_.add_subcommand("index", "The prefix cache index");
    index->require_subcommand(1);
    AddCommand(index, "stats", "Shows sizes and counters of the target's index",
               CommandKind::kIndexStats);
  }

  void AddExpectedVersion(CLI::App* command) {
    command->add_option("--expected-version", invocation_.expected_version,
                        "Rejects the change if this isn't the newest version");
  }

  // Returns the error; empty if there is none.
  std::string ReadFiles() {
    if (!file_.empty() && !ReadFile(file_, &invocation_.file_content)) {
      return "can't read " + file_ + "\n";
    }
    if (token_file_.empty()) return {};
    if (!ReadFile(token_file_, &invocation_.token)) return "can't read " + token_file_ + "\n";
    absl::StripAsciiWhitespace(&invocation_.token);
    return {};
  }

  CLI::App app_;
  Invocation invocation_;
  std::string file_;
  std::string token_file_;
  std::string drain_id_;
};

}  // namespace

ParseOutcome ParseCommandLine(int argument_count, const char* const* arguments) {
  return CommandLine().Parse(argument_count, arguments);
}

}  // namespace posthatch::ctl
