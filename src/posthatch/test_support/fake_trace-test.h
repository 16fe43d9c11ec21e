#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/runtime/trace.h"

namespace posthatch::test_support {

// Records the types and fields of trace events.
class FakeTrace : public runtime::TraceSink {
 public:
  void Event(runtime::Severity, std::string_view type,
             std::initializer_list<runtime::TraceField> fields) override {
    events.emplace_back(type);
    field_lists.emplace_back(fields);
  }
  // Value of a field of the newest event of `type`; empty if there is none.
  std::string Field(std::string_view type, std::string_view key) const {
    for (size_t i = events.size(); i > 0; --i) {
      if (events[i - 1] != type) continue;
      for (const runtime::TraceField& field : field_lists[i - 1]) {
        if (field.key == key) return field.value;
      }
    }
    return "";
  }

  std::vector<std::string> events;
  std::vector<std::vector<runtime::TraceField>> field_lists;
};

}  // namespace posthatch::test_support
