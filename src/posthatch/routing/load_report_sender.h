#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/routing.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// Whether the report contains loads, store health or prefill starts.
bool HasEntries(const LoadReport& report);

// Moves prefill starts into a report; those beyond `max_starts` in the report are dropped, since
// they are only hints.
void MovePrefillStarts(size_t max_starts, std::vector<PrefillStart>* starts, LoadReport* report);
PrefillStart MakePrefillStart(const PrefillStartEntry& entry);

// Numbers this process's load reports and sends them: as datagrams, or as stream messages if they
// don't fit into one. The next refresh makes up for lost reports. Owned by LoadReporter; event loop
// thread only.
class LoadReportSender {
 public:
  explicit LoadReportSender(runtime::Transport* transport) : transport_(transport) {}

  void Send(const std::vector<std::string>& endpoints, LoadReport report);
  // Sends the reports in order, as many per message as fit into a datagram.
  void SendBatched(const std::vector<std::string>& endpoints, std::vector<LoadReport> reports);

  // Total bytes of all messages to all endpoints, with an estimate for the envelopes.
  uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  void SetNumber(LoadReport* report);
  void SendMessage(const std::vector<std::string>& endpoints, const TrafficMessage& message);

  runtime::Transport* const transport_;
  uint64_t last_report_ = 0;
  uint64_t bytes_sent_ = 0;
};

}  // namespace posthatch::routing
