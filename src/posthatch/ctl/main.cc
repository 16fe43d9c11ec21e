// posthatchctl: the command line program of operators (docs/operations/posthatchctl.md).
#include <cstdio>
#include <memory>

#include "absl/strings/str_cat.h"
#include "posthatch/ctl/command_runner.h"
#include "posthatch/ctl/invocation.h"
#include "posthatch/net/asio_runtime.h"

namespace {

int Run(const posthatch::ctl::Invocation& invocation) {
  posthatch::net::AsioRuntimeOptions options;
  options.node_id = "posthatchctl";
  options.log_level = posthatch::runtime::Severity::kError;
  auto runtime = posthatch::net::AsioRuntime::Create(options);
  if (!runtime.ok()) {
    std::fprintf(stderr, "%s\n", absl::StrCat(runtime.status().message()).c_str());
    return static_cast<int>(posthatch::ctl::ExitCode::kUncertain);
  }
  posthatch::ctl::CommandRunner runner((*runtime)->runtime(), invocation);
  bool finished = false;
  posthatch::ctl::RunResult result;
  runner.Run([&](posthatch::ctl::RunResult run_result) {
    result = std::move(run_result);
    finished = true;
    (*runtime)->Stop();
  });
  if (!finished) (*runtime)->Run();
  std::fputs(result.output.c_str(), stdout);
  std::fputs(result.notes.c_str(), stderr);
  return static_cast<int>(result.exit_code);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const posthatch::ctl::ParseOutcome outcome =
      posthatch::ctl::ParseCommandLine(argument_count, arguments);
  if (outcome.invocation.has_value()) return Run(*outcome.invocation);
  std::fputs(outcome.message.c_str(),
             outcome.exit_code == posthatch::ctl::ExitCode::kOk ? stdout : stderr);
  return static_cast<int>(outcome.exit_code);
}
