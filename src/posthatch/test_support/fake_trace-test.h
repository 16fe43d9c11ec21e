#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/runtime/trace.h"

namespace posthatch::test_support {

// Records the types of trace events.
class FakeTrace : public runtime::TraceSink {
 public:
  void Event(runtime::Severity, std::string_view type,
             std::initializer_list<runtime::TraceField>) override {
    events.emplace_back(type);
  }

  std::vector<std::string> events;
};

}  // namespace posthatch::test_support
