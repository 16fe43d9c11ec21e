#include "posthatch/control/admin/operator_api.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::control {
namespace {

// Lifting an evacuation that is already lifted is reported as a success.
bool AlreadyLifted(const Command& command, const CommandResult& result) {
  return command.set_evacuation().lifted() && result.code() == CommandResult::NOT_FOUND;
}

}  // namespace

OperatorApi::OperatorApi(runtime::Runtime* runtime, OperatorApiOptions options,
                         const OperatorFormat* format, const EvacuationSet* evacuations,
                         ControlClient* control_client, QueryClient* query_client)
    : runtime_(runtime),
      options_(options),
      format_(format),
      control_client_(control_client),
      query_client_(query_client),
      arrivals_(runtime, options.arrivals),
      evacuation_proposer_(runtime, options.evacuations, evacuations, &arrivals_, control_client) {}

bool OperatorApi::HandleRequest(const http::Request& request,
                                std::shared_ptr<http::ResponseWriter> writer) {
  OperatorRequest parsed = format_->ParseRequest(request);
  switch (parsed.kind) {
    case OperatorRequest::Kind::kNone:
      return false;
    case OperatorRequest::Kind::kMalformed:
      writer->SendResponse(format_->RenderMalformed(parsed.error));
      return true;
    case OperatorRequest::Kind::kChange:
      HandleChange(std::move(parsed.command), request, writer);
      return true;
    case OperatorRequest::Kind::kReadConfiguration:
      HandleRead(std::move(writer));
      return true;
  }
  return false;
}

void OperatorApi::HandleChange(Command command, const http::Request& request,
                               const std::shared_ptr<http::ResponseWriter>& writer) {
  // Each call gets a new request id, since a resend and a new order look alike.
  command.set_request_id(
      absl::StrCat("op-", absl::Hex(runtime_->transport->incarnation()), "-", ++last_change_id_));
  runtime_->trace->Event(
      runtime::Severity::kInfo, "OperatorRequestReceived",
      {{"request_id", command.request_id()},
       {"kind", static_cast<int>(command.command_case())},
       {"evacuation", command.set_evacuation().evacuation().name()},
       {"lifted", command.set_evacuation().lifted()},
       {"sent_within_ms", runtime::ToMilliseconds(runtime_->clock->Now() - request.sent_after)}});
  const auto respond = [this, command,
                        writer](const absl::StatusOr<CommandResult>& proposal_result) {
    Respond(command, proposal_result, writer.get());
  };
  if (command.has_set_evacuation()) {
    evacuation_proposer_.Propose(command, request, writer, respond);
  } else {
    control_client_->Propose(command, options_.change_timeout, /*until_in_force=*/false, respond);
  }
}

void OperatorApi::Respond(const Command& command,
                          const absl::StatusOr<CommandResult>& proposal_result,
                          http::ResponseWriter* writer) {
  if (!proposal_result.ok()) {
    writer->SendResponse(format_->RenderUnavailable());
    return;
  }
  CommandResult result = *proposal_result;
  if (AlreadyLifted(command, result)) result.set_code(CommandResult::OK);
  runtime_->trace->Event(runtime::Severity::kInfo, "OperatorChangeCompleted",
                         {{"request_id", command.request_id()},
                          {"kind", static_cast<int>(command.command_case())},
                          {"code", static_cast<int>(result.code())},
                          {"version", result.version()},
                          {"index", result.log_index()}});
  writer->SendResponse(format_->RenderResult(command, result));
}

void OperatorApi::HandleRead(std::shared_ptr<http::ResponseWriter> writer) {
  query_client_->Query(
      "traffic", "", options_.query_timeout,
      [this, writer = std::move(writer)](const absl::StatusOr<QueryResponse>& response) {
        TrafficConfiguration configuration;
        const bool is_valid = response.ok() && configuration.ParseFromString(response->payload()) &&
                              configuration.version() > 0;
        writer->SendResponse(is_valid ? format_->RenderConfiguration(configuration)
                                      : format_->RenderUnavailable());
      });
}

}  // namespace posthatch::control
