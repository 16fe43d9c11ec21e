#include "posthatch/emulator/state_reader.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

namespace json = boost::json;

namespace {

constexpr int kOk = 200;
// Paths in reading order, the history last: a change acknowledged before the first read is in all.
constexpr std::array<std::string_view, 3> kPaths = {
    "/admin/v1/evacuations", "/admin/v1/model-revisions", "/admin/v1/configuration/history"};

void ParseEvacuations(const json::object& body, fleettest::StateRead* state) {
  const json::array* evacuations = ArrayField(body, "evacuations");
  if (evacuations == nullptr) return;
  for (const json::value& entry : *evacuations) {
    if (const json::object* fields = entry.if_object()) {
      state->add_evacuations(TextField(*fields, "name"));
    }
  }
}

void ParseRevisions(const json::object& body, fleettest::StateRead* state) {
  const json::array* revisions = ArrayField(body, "revisions");
  if (revisions == nullptr) return;
  for (const json::value& entry : *revisions) {
    const json::object* fields = entry.if_object();
    if (fields == nullptr) continue;
    (*state->mutable_model_revisions())[TextField(*fields, "model")] =
        NumberField(*fields, "revision");
  }
}

void ParseHistory(const json::object& body, fleettest::StateRead* state) {
  const json::array* versions = ArrayField(body, "versions");
  if (versions == nullptr) return;
  for (const json::value& entry : *versions) {
    const json::object* fields = entry.if_object();
    if (fields == nullptr) continue;
    const uint64_t version = NumberField(*fields, "version");
    state->set_configuration_version(std::max(state->configuration_version(), version));
    if (state->oldest_version() == 0 || version < state->oldest_version()) {
      state->set_oldest_version(version);
    }
    state->add_request_ids(TextField(*fields, "request_id"));
  }
}

}  // namespace

struct StateReader::Reading {
  std::string node;
  size_t next_path = 0;
  fleettest::StateRead state;
  std::function<void(bool)> done;
};

StateReader::StateReader(runtime::Runtime* runtime, fleettest::HistoryRecorder* recorder,
                         std::string admin_token, runtime::Duration response_timeout)
    : clock_(runtime->clock),
      recorder_(recorder),
      admin_token_(std::move(admin_token)),
      response_timeout_(response_timeout),
      client_(runtime) {}

void StateReader::Read(const std::string& node, std::function<void(bool)> done) {
  auto reading = std::make_shared<Reading>();
  reading->node = node;
  reading->state.set_target(node);
  reading->state.set_started_ns(runtime::ToNanoseconds(clock_->Now()));
  reading->done = std::move(done);
  SendNextRead(reading);
}

void StateReader::SendNextRead(const ReadingPointer& reading) {
  http::Request request = JsonRequest("GET", kPaths[reading->next_path], "");
  if (!admin_token_.empty()) request.headers.Add("Authorization", "Bearer " + admin_token_);
  http::CallOptions options;
  options.head_timeout = response_timeout_;
  client_.Send(reading->node, std::move(request), options,
               [this, reading](const absl::StatusOr<http::Response>& response) {
                 if (!response.ok() || !ParseResponse(reading.get(), *response)) {
                   reading->done(false);
                 } else if (++reading->next_path < kPaths.size()) {
                   SendNextRead(reading);
                 } else {
                   fleettest::HistoryEvent event;
                   *event.mutable_state_read() = std::move(reading->state);
                   recorder_->Record(std::move(event));
                   reading->done(true);
                 }
               });
}

bool StateReader::ParseResponse(Reading* reading, const http::Response& response) {
  const absl::StatusOr<json::object> body = ParseObject(response.body);
  if (response.status != kOk || !body.ok()) return false;
  ParseEvacuations(*body, &reading->state);
  ParseRevisions(*body, &reading->state);
  ParseHistory(*body, &reading->state);
  return true;
}

}  // namespace posthatch::emulator
