#include "posthatch/simulation/host_trace.h"

#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace posthatch::simulation {

void HostTrace::Event(runtime::Severity severity, std::string_view type,
                      std::initializer_list<runtime::TraceField> fields) {
  static constexpr std::string_view kSeverityLetters = "DIWE";
  std::string line;
  fmt::format_to(std::back_inserter(line), "{:.6f} {} {} {}",
                 runtime::ToMilliseconds(core_->queue.now().time_since_epoch()) / 1000,
                 kSeverityLetters[static_cast<size_t>(severity)], host_name_, type);
  for (const runtime::TraceField& field : fields) {
    fmt::format_to(std::back_inserter(line), " {}={}", field.key, field.value);
  }
  core_->trace.AddLine(core_->queue.now(), host_name_, std::move(line));
}

}  // namespace posthatch::simulation
