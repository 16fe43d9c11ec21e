#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace posthatch::ctl {

// Exit codes of posthatchctl; docs/operations/posthatchctl.md explains them.
enum class ExitCode {
  kOk = 0,         // done; a change is in force at every gateway with a lease
  kRefused = 1,    // rejected by the fleet, or not confirmed; nothing was changed
  kUsage = 2,      // the command line or a file can't be read; nothing was sent
  kUncertain = 3,  // no final response: send it again with the same --request-id
};

enum class OutputFormat { kTable, kJson };

// The commands of posthatchctl (docs/operations/posthatchctl.md).
enum class CommandKind {
  kConfigApply,
  kConfigGet,
  kConfigHistory,
  kConfigDiff,
  kConfigRollback,
  kEvacuate,
  kLift,
  kEvacuations,
  kModelRevision,
  kModelRevisions,
  kMembers,
  kLeases,
  kInventory,
  kControllers,
  kIndexStats,
};

// A validated command line of posthatchctl.
struct Invocation {
  std::vector<std::string> targets;  // "ip:port", tried in turn
  OutputFormat output = OutputFormat::kTable;
  std::string token;
  std::string request_id;  // empty: a random one is generated
  uint32_t timeout_ms = 30000;
  bool confirmed = false;  // --yes

  CommandKind command = CommandKind::kMembers;
  std::string file_content;  // config apply: content of the JSON file
  bool is_patch = false;
  uint64_t expected_version = 0;
  uint64_t version = 0;  // config get, rollback: 0 for the newest
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  std::string name;  // name of an evacuation or a model
  std::string selector;
  std::string weights;
};

// Result of ParseCommandLine.
struct ParseOutcome {
  // The command to run. Empty after --help or an error: print `message`, exit with `exit_code`.
  std::optional<Invocation> invocation;
  ExitCode exit_code = ExitCode::kOk;
  std::string message;
};

// Parses a command line and reads the files that it names.
ParseOutcome ParseCommandLine(int argument_count, const char* const* arguments);

}  // namespace posthatch::ctl
