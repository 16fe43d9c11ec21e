#include "posthatch/routing/load_report_sender.h"

#include <utility>

namespace posthatch::routing {
namespace {

// Bytes reserved in a datagram for the envelope around the payload.
constexpr size_t kEnvelopeBytes = 200;

}  // namespace

bool HasEntries(const LoadReport& report) {
  return report.loads_size() + report.stores_size() + report.prompt_starts_size() > 0;
}

void MovePrefillStarts(size_t max_starts, std::vector<PrefillStart>* starts, LoadReport* report) {
  for (const PrefillStart& start : *starts) {
    if (static_cast<size_t>(report->prompt_starts_size()) >= max_starts) break;
    PrefillStartEntry* entry = report->add_prompt_starts();
    entry->set_affinity(start.affinity);
    entry->set_revision(start.revision);
    entry->set_worker_id(start.worker_id);
    entry->set_ready_in_ms(static_cast<uint32_t>(runtime::ToMilliseconds(start.ready_in)));
  }
  starts->clear();
}

PrefillStart MakePrefillStart(const PrefillStartEntry& entry) {
  return {entry.affinity(), entry.revision(), entry.worker_id(),
          std::chrono::milliseconds(entry.ready_in_ms())};
}

void LoadReportSender::SetNumber(LoadReport* report) {
  report->set_incarnation(transport_->incarnation());
  report->set_report(++last_report_);
}

void LoadReportSender::Send(const std::vector<std::string>& endpoints, LoadReport report) {
  TrafficMessage message;
  SetNumber(&report);
  *message.mutable_load_report() = std::move(report);
  SendMessage(endpoints, message);
}

void LoadReportSender::SendBatched(const std::vector<std::string>& endpoints,
                                   std::vector<LoadReport> reports) {
  TrafficMessage message;
  for (LoadReport& report : reports) {
    SetNumber(&report);
    const bool fits = message.ByteSizeLong() + report.ByteSizeLong() + kEnvelopeBytes <
                      runtime::kMaxDatagramBytes;
    if (!fits && message.load_reports().reports_size() > 0) {
      SendMessage(endpoints, message);
      message.Clear();
    }
    *message.mutable_load_reports()->add_reports() = std::move(report);
  }
  if (message.load_reports().reports_size() > 0) SendMessage(endpoints, message);
}

void LoadReportSender::SendMessage(const std::vector<std::string>& endpoints,
                                   const TrafficMessage& message) {
  const std::string payload = message.SerializeAsString();
  const auto delivery = payload.size() + kEnvelopeBytes < runtime::kMaxDatagramBytes
                            ? runtime::Delivery::kDatagram
                            : runtime::Delivery::kStream;
  for (const std::string& endpoint : endpoints) {
    transport_->Send(endpoint, runtime::SERVICE_TRAFFIC, payload, delivery);
  }
  bytes_sent_ += (payload.size() + kEnvelopeBytes) * endpoints.size();
}

}  // namespace posthatch::routing
