#include "posthatch/emulator/key_probe.h"

#include <boost/json/serialize.hpp>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/json_client.h"
#include "posthatch/emulator/operator_emulator.h"
#include "posthatch/emulator/recorded_call.h"

namespace posthatch::emulator {

namespace json = boost::json;

class KeyProbe::Impl {
 public:
  Impl(runtime::Runtime* runtime, KeyProbeOptions probe_options,
       fleettest::HistoryRecorder* recorder)
      : options(std::move(probe_options)),
        runtime_(runtime),
        recorder_(recorder),
        probe_timer_(runtime->timers) {}

  void Start() {
    start_nonce_ = runtime_->random->Uniform(UINT64_C(1) << 32);
    ProbeAll();
  }
  void Stop();

  KeyProbeOptions options;

 private:
  void ProbeAll();
  void ProbeGateway(const std::string& gateway, uint64_t generation);

  runtime::Runtime* const runtime_;
  fleettest::HistoryRecorder* const recorder_;
  uint64_t start_nonce_ = 0;
  uint64_t next_call_ = 1;
  runtime::Timer probe_timer_;
  std::map<uint64_t, std::unique_ptr<RecordedCall>> calls_;
};

void KeyProbe::Impl::Stop() {
  probe_timer_.Cancel();
  std::vector<RecordedCall*> open;
  for (const auto& [number, call] : calls_) open.push_back(call.get());
  for (RecordedCall* call : open) call->Disconnect();
}

void KeyProbe::Impl::ProbeAll() {
  const uint64_t newest = options.newest_generation ? options.newest_generation() : 0;
  for (const std::string& gateway : options.gateways) {
    if (newest >= 1) ProbeGateway(gateway, newest);
    if (newest >= 2) ProbeGateway(gateway, newest - 1);
  }
  probe_timer_.Start(options.interval, [this] { ProbeAll(); });
}

void KeyProbe::Impl::ProbeGateway(const std::string& gateway, uint64_t generation) {
  const uint64_t number = next_call_++;
  CallPlan plan;
  plan.key = ProbeKey(options.tenant, generation);
  plan.target = "/v1/completions";
  plan.options.head_timeout = options.head_timeout;
  plan.sent.set_call(number);
  plan.sent.set_tenant(options.tenant);
  plan.sent.set_gateway(gateway);
  plan.sent.set_operation("completions");
  plan.sent.set_model(options.model);
  plan.sent.set_nonce(absl::StrCat(options.name, "-", start_nonce_, "-", number));
  plan.sent.set_key_id(ProbeKeyId(options.tenant, generation));
  plan.sent.set_expected_pieces(1);
  plan.sent.set_send(1);
  plan.sent.set_probe(true);
  const std::string prompt = "probe " + plan.sent.nonce();
  plan.sent.set_prompt_bytes(static_cast<uint32_t>(prompt.size()));
  plan.body = json::serialize(
      json::object{{"model", options.model}, {"max_tokens", 1}, {"prompt", prompt}});
  auto call = std::make_unique<RecordedCall>(runtime_, recorder_, std::move(plan),
                                             [this, number](const fleettest::CallEnded&) {
                                               const auto entry = calls_.find(number);
                                               ReleaseLater(runtime_, std::move(entry->second));
                                               calls_.erase(entry);
                                             });
  RecordedCall* started = call.get();
  calls_[number] = std::move(call);
  started->Start();
}

KeyProbe::KeyProbe(runtime::Runtime* runtime, KeyProbeOptions options,
                   fleettest::HistoryRecorder* recorder)
    : impl_(std::make_unique<Impl>(runtime, std::move(options), recorder)) {}

KeyProbe::~KeyProbe() = default;

void KeyProbe::Start() { impl_->Start(); }
void KeyProbe::Stop() { impl_->Stop(); }
void KeyProbe::SetGateways(std::vector<std::string> gateways) {
  impl_->options.gateways = std::move(gateways);
}

}  // namespace posthatch::emulator
