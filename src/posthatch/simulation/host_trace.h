#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "posthatch/runtime/trace.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// Writes the trace events of one host to the world's trace log, as lines
// "seconds severity host type key=value ...".
class HostTrace : public runtime::TraceSink {
 public:
  HostTrace(WorldCore* core, std::string host_name)
      : core_(core), host_name_(std::move(host_name)) {}

  void Event(runtime::Severity severity, std::string_view type,
             std::initializer_list<runtime::TraceField> fields) override;

 private:
  WorldCore* const core_;
  const std::string host_name_;
};

}  // namespace posthatch::simulation
