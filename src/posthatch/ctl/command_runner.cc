#include "posthatch/ctl/command_runner.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/ctl/admin_request.h"
#include "posthatch/ctl/output.h"

namespace posthatch::ctl {
namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstErrorStatus = 300;

}  // namespace

CommandRunner::CommandRunner(runtime::Runtime* runtime, Invocation invocation)
    : runtime_(runtime),
      invocation_(std::move(invocation)),
      caller_(runtime, invocation_.targets, std::chrono::milliseconds(invocation_.timeout_ms)) {
  if (IsChange(invocation_.command) && invocation_.request_id.empty()) {
    invocation_.request_id =
        absl::StrCat("ctl-", absl::Hex((*runtime_->random)(), absl::kZeroPad16),
                     absl::Hex((*runtime_->random)(), absl::kZeroPad16));
  }
}

void CommandRunner::Run(Done done) {
  done_ = std::move(done);
  if (invocation_.command == CommandKind::kEvacuate && !invocation_.confirmed) {
    CheckSelector();
  } else {
    SendCommand();
  }
}

void CommandRunner::CheckSelector() {
  Invocation inventory = invocation_;
  inventory.command = CommandKind::kInventory;
  caller_.Call(*MakeRequest(inventory), [this](const CallOutcome& outcome) {
    if (!outcome.has_final_response || outcome.response.status != kStatusOk) {
      done_({ExitCode::kRefused, "",
             "can't read the inventory to check the selector; --yes skips the check\n"});
      return;
    }
    const absl::StatusOr<MatchCount> count =
        CountMatches(invocation_.selector, outcome.response.body);
    if (!count.ok()) {
      done_({ExitCode::kUsage, "", absl::StrCat(absl::StrCat(count.status().message()), "\n")});
    } else if (count->matching == 0 || count->matching == count->all) {
      done_({ExitCode::kRefused, "",
             absl::StrCat("the selector matches ", count->matching, " of ", count->all,
                          " back ends; --yes confirms it\n")});
    } else {
      SendCommand();
    }
  });
}

void CommandRunner::SendCommand() {
  absl::StatusOr<http::Request> request = MakeRequest(invocation_);
  if (!request.ok()) {
    done_({ExitCode::kUsage, "", absl::StrCat(absl::StrCat(request.status().message()), "\n")});
    return;
  }
  caller_.Call(*std::move(request), [this](const CallOutcome& outcome) { OnOutcome(outcome); });
}

void CommandRunner::OnOutcome(const CallOutcome& outcome) {
  RunResult result;
  const bool is_change = IsChange(invocation_.command);
  if (is_change) result.notes = absl::StrCat("request id: ", invocation_.request_id, "\n");
  if (outcome.has_final_response) {
    result.output = RenderOutput(outcome.response.body, invocation_.output);
    result.exit_code =
        outcome.response.status < kFirstErrorStatus ? ExitCode::kOk : ExitCode::kRefused;
    done_(std::move(result));
    return;
  }
  result.exit_code = ExitCode::kUncertain;
  absl::StrAppend(&result.notes, "no final response: ", outcome.error, "\n");
  if (is_change && outcome.may_be_applied) {
    absl::StrAppend(&result.notes,
                    "the change may have been applied: send it again with --request-id ",
                    invocation_.request_id, "\n");
  }
  done_(std::move(result));
}

}  // namespace posthatch::ctl
