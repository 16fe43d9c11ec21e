#include "posthatch/emulator/operator_emulator.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/json_client.h"
#include "posthatch/emulator/state_reader.h"
#include "posthatch/emulator/traffic_mix.h"

namespace posthatch::emulator {

namespace json = boost::json;

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

std::string ProtoJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  // Configurations contain no Any and no invalid enums: printing them can't fail.
  if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok()) text = "{}";
  return text;
}

// A change; all its sends carry the same request id.
struct Change {
  std::string request_id;
  std::string kind;
  std::string path;
  std::string body;
  std::string detail;
  uint64_t expected_version = 0;
  uint32_t sends = 0;
  bool repeating = false;  // sent again after a final response
  OperatorEmulator::ChangeDone done;
};
using ChangePointer = std::shared_ptr<Change>;

ChangeOutcome ReadOutcome(const absl::StatusOr<http::Response>& response) {
  ChangeOutcome outcome;
  if (!response.ok()) return outcome;
  const absl::StatusOr<json::object> body = ParseObject(response->body);
  if (!body.ok()) return outcome;
  outcome.version = NumberField(*body, "version", NumberField(*body, "revision"));
  outcome.acknowledged = response->status == kOk && FlagField(*body, "acknowledged");
  if (outcome.acknowledged) return outcome;
  const json::object* error = ObjectField(*body, "error");
  const json::object& fields = error == nullptr ? *body : *error;
  outcome.code = TextField(fields, "code");
  if (outcome.version == 0) outcome.version = NumberField(fields, "version");
  outcome.refused = response->status >= 400 && response->status < 500;
  return outcome;
}

}  // namespace

class OperatorEmulator::Impl {
 public:
  Impl(runtime::Runtime* runtime, OperatorOptions operator_options,
       fleettest::HistoryRecorder* recorder)
      : options(std::move(operator_options)),
        runtime_(runtime),
        recorder_(recorder),
        rotation_timer_(runtime->timers),
        read_timer_(runtime->timers),
        client_(runtime),
        reader_(runtime, recorder, options.admin_token, options.response_timeout) {}

  void Start();
  void Stop(std::function<void()> done);
  // `fields` holds the other members of the body's JSON object, without braces.
  void Submit(std::string kind, std::string path, const std::string& fields, std::string detail,
              uint64_t expected_version, const std::string& node, ChangeDone done);
  std::string RandomNode(const std::string& except);
  void ReadState(const std::string& node, std::function<void(bool)> done) {
    reader_.Read(node, std::move(done));
  }

  OperatorOptions options;
  uint64_t newest_generation = 0;

 private:
  void Send(const ChangePointer& change, const std::string& node);
  void SendLater(const ChangePointer& change, const std::string& last);
  void OnResponse(const ChangePointer& change, const std::string& node,
                  const absl::StatusOr<http::Response>& response);
  void RecordResponse(const Change& change, const ChangeOutcome& outcome);
  void FinishChange(const ChangePointer& change, const ChangeOutcome& outcome);
  void ScheduleRotation();
  void ScheduleRead();
  void Rotate();
  void SendRotation(uint64_t version);
  void FinishStop();

  runtime::Runtime* const runtime_;
  fleettest::HistoryRecorder* const recorder_;
  uint64_t start_nonce_ = 0;
  uint64_t next_change_ = 1;
  bool generation_acknowledged_ = true;
  uint64_t open_changes_ = 0;
  std::function<void()> on_stopped_;
  bool stopping_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  runtime::Timer rotation_timer_;
  runtime::Timer read_timer_;
  JsonClient client_;
  StateReader reader_;
};

void OperatorEmulator::Impl::Start() {
  ScheduleRotation();
  ScheduleRead();
}

void OperatorEmulator::Impl::Stop(std::function<void()> done) {
  stopping_ = true;
  on_stopped_ = std::move(done);
  rotation_timer_.Cancel();
  read_timer_.Cancel();
  FinishStop();
}

void OperatorEmulator::Impl::FinishStop() {
  if (!stopping_ || open_changes_ > 0 || on_stopped_ == nullptr) return;
  runtime_->timers->Schedule(runtime::Duration::zero(), std::exchange(on_stopped_, nullptr));
}

std::string OperatorEmulator::Impl::RandomNode(const std::string& except) {
  std::vector<std::string> others;
  for (const std::string& node : options.nodes) {
    if (node != except) others.push_back(node);
  }
  if (others.empty()) return except;
  return others[runtime_->random->Uniform(others.size())];
}

// ---------------------------------------------------------------- changes

void OperatorEmulator::Impl::Submit(std::string kind, std::string path, const std::string& fields,
                                    std::string detail, uint64_t expected_version,
                                    const std::string& node, ChangeDone done) {
  if (start_nonce_ == 0) start_nonce_ = 1 + runtime_->random->Uniform(UINT64_C(1) << 32);
  auto change = std::make_shared<Change>();
  change->request_id = absl::StrCat(options.name, "-", start_nonce_, "-", next_change_++);
  change->kind = std::move(kind);
  change->path = std::move(path);
  change->body = absl::StrCat("{\"request_id\":\"", change->request_id, "\",", fields, "}");
  change->detail = std::move(detail);
  change->expected_version = expected_version;
  change->done = std::move(done);
  ++open_changes_;
  Send(change, node);
}

void OperatorEmulator::Impl::Send(const ChangePointer& change, const std::string& node) {
  ++change->sends;
  fleettest::HistoryEvent event;
  fleettest::ChangeSent* sent = event.mutable_change_sent();
  sent->set_request_id(change->request_id);
  sent->set_kind(change->kind);
  sent->set_expected_version(change->expected_version);
  sent->set_detail(change->detail);
  sent->set_target(node);
  recorder_->Record(std::move(event));
  http::Request request = JsonRequest("POST", change->path, change->body);
  if (!options.admin_token.empty()) {
    request.headers.Add("Authorization", "Bearer " + options.admin_token);
  }
  http::CallOptions call_options;
  call_options.head_timeout = options.response_timeout;
  client_.Send(node, std::move(request), call_options,
               [this, change, node](const absl::StatusOr<http::Response>& response) {
                 OnResponse(change, node, response);
               });
}

void OperatorEmulator::Impl::SendLater(const ChangePointer& change, const std::string& last) {
  std::weak_ptr<bool> alive = alive_;
  runtime_->timers->Schedule(options.resend_delay, [this, alive, change, last] {
    if (!alive.expired()) Send(change, RandomNode(last));
  });
}

void OperatorEmulator::Impl::OnResponse(const ChangePointer& change, const std::string& node,
                                        const absl::StatusOr<http::Response>& response) {
  const ChangeOutcome outcome = ReadOutcome(response);
  const bool is_final = outcome.acknowledged || outcome.refused;
  if (is_final || (response.ok() && response->status == kServiceUnavailable)) {
    RecordResponse(*change, outcome);
  }
  const bool may_send = change->sends < options.max_sends;
  if (!is_final && may_send) {
    SendLater(change, node);
  } else if (is_final && may_send && !change->repeating &&
             runtime_->random->Chance(options.repeated_share)) {
    change->repeating = true;
    SendLater(change, node);
  } else {
    FinishChange(change, outcome);
  }
}

void OperatorEmulator::Impl::RecordResponse(const Change& change, const ChangeOutcome& outcome) {
  fleettest::HistoryEvent event;
  fleettest::ChangeAnswered* change_response = event.mutable_change_answered();
  change_response->set_request_id(change.request_id);
  change_response->set_acknowledged(outcome.acknowledged);
  change_response->set_refused(outcome.refused);
  change_response->set_code(outcome.code);
  change_response->set_version(outcome.version);
  recorder_->Record(std::move(event));
}

void OperatorEmulator::Impl::FinishChange(const ChangePointer& change,
                                          const ChangeOutcome& outcome) {
  --open_changes_;
  if (change->done != nullptr) change->done(outcome);
  FinishStop();
}

// ---------------------------------------------------------------- rotations and reads

void OperatorEmulator::Impl::ScheduleRotation() {
  if (options.rotation_interval <= runtime::Duration::zero() || stopping_) return;
  rotation_timer_.Start(options.rotation_interval, [this] { Rotate(); });
}

void OperatorEmulator::Impl::ScheduleRead() {
  if (options.read_interval <= runtime::Duration::zero() || stopping_) return;
  read_timer_.Start(options.read_interval,
                    [this] { reader_.Read(RandomNode(""), [this](bool) { ScheduleRead(); }); });
}

// The next generation follows only once the previous one is acknowledged, so that only the newest
// two can be applied anywhere.
void OperatorEmulator::Impl::Rotate() {
  http::Request request = JsonRequest("GET", "/admin/v1/configuration", "");
  if (!options.admin_token.empty()) {
    request.headers.Add("Authorization", "Bearer " + options.admin_token);
  }
  http::CallOptions call_options;
  call_options.head_timeout = options.response_timeout;
  client_.Send(RandomNode(""), std::move(request), call_options,
               [this](const absl::StatusOr<http::Response>& response) {
                 if (!response.ok() || response->status != kOk) {
                   ScheduleRotation();
                   return;
                 }
                 const absl::StatusOr<json::object> body = ParseObject(response->body);
                 SendRotation(body.ok() ? NumberField(*body, "version") : 0);
               });
}

void OperatorEmulator::Impl::SendRotation(uint64_t version) {
  if (stopping_) return;
  if (generation_acknowledged_) ++newest_generation;
  generation_acknowledged_ = false;
  control::ConfigurationPatch patch;
  control::Tenant* tenant = patch.mutable_upsert()->add_tenants();
  tenant->set_name(options.probe_tenant);
  tenant->add_key_sha256(KeySha256(ProbeKey(options.probe_tenant, newest_generation)));
  const std::string version_field = absl::StrCat("\"expected_version\":", version);
  const std::string node = RandomNode("");
  Submit("configuration", "/admin/v1/configuration",
         absl::StrCat(version_field, ",\"patch\":", ProtoJson(patch)),
         ProbeKeyId(options.probe_tenant, newest_generation), version, node,
         [this](const ChangeOutcome& outcome) {
           generation_acknowledged_ = outcome.acknowledged;
           ScheduleRotation();
         });
  if (version == 0 || !runtime_->random->Chance(options.racing_share)) return;
  control::ConfigurationPatch racing_patch;
  racing_patch.mutable_upsert()->add_tenants()->set_name(options.probe_tenant + "-rival");
  Submit("configuration", "/admin/v1/configuration",
         absl::StrCat(version_field, ",\"patch\":", ProtoJson(racing_patch)), "rival", version,
         RandomNode(node), nullptr);
}

// ---------------------------------------------------------------- public interface

OperatorEmulator::OperatorEmulator(runtime::Runtime* runtime, OperatorOptions options,
                                   fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(options), recorder)) {}

OperatorEmulator::~OperatorEmulator() = default;

void OperatorEmulator::Start() { impl_->Start(); }
void OperatorEmulator::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

void OperatorEmulator::SetConfiguration(const control::Configuration& configuration,
                                        uint64_t expected_version, ChangeDone done) {
  impl_->Submit("configuration", "/admin/v1/configuration",
                absl::StrCat("\"expected_version\":", expected_version,
                             ",\"configuration\":", ProtoJson(configuration)),
                "whole", expected_version, impl_->RandomNode(""), std::move(done));
}

void OperatorEmulator::PatchConfiguration(const control::ConfigurationPatch& patch,
                                          uint64_t expected_version, std::string detail,
                                          ChangeDone done) {
  impl_->Submit(
      "configuration", "/admin/v1/configuration",
      absl::StrCat("\"expected_version\":", expected_version, ",\"patch\":", ProtoJson(patch)),
      std::move(detail), expected_version, impl_->RandomNode(""), std::move(done));
}

void OperatorEmulator::Evacuate(const std::string& name, const std::string& zone, bool lifted,
                                ChangeDone done) {
  control::Selector selector;
  control::Requirement* requirement = selector.add_requirements();
  requirement->set_key("zone");
  requirement->set_operator_(control::Requirement::IN);
  requirement->add_values(zone);
  const json::value name_text(name);
  impl_->Submit(lifted ? "lift" : "evacuate", "/admin/v1/evacuations",
                absl::StrCat("\"name\":", json::serialize(name_text), ",\"selector\":",
                             ProtoJson(selector), ",\"lifted\":", lifted ? "true" : "false"),
                zone, 0, impl_->RandomNode(""), std::move(done));
}

void OperatorEmulator::SetModelRevision(const std::string& model, const std::string& weights,
                                        ChangeDone done) {
  const json::value model_text(model);
  const json::value weights_text(weights);
  impl_->Submit("model_revision", "/admin/v1/model-revisions",
                absl::StrCat("\"model\":", json::serialize(model_text), ",\"weights\":",
                             json::serialize(weights_text), ",\"expected_revision\":0"),
                model, 0, impl_->RandomNode(""), std::move(done));
}

void OperatorEmulator::ReadState(const std::string& node, std::function<void(bool)> done) {
  impl_->ReadState(node, std::move(done));
}

void OperatorEmulator::SetNodes(std::vector<std::string> nodes) {
  impl_->options.nodes = std::move(nodes);
}

uint64_t OperatorEmulator::newest_generation() const { return impl_->newest_generation; }

std::string ProbeKey(const std::string& tenant, uint64_t generation) {
  return absl::StrCat("key-of-", tenant, "-", generation);
}

std::string ProbeKeyId(const std::string& tenant, uint64_t generation) {
  return absl::StrCat(tenant, "/", generation);
}

}  // namespace posthatch::emulator
