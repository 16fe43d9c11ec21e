#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace posthatch::runtime {

enum class Severity { kDebug, kInfo, kWarning, kError };

struct TraceField {
  TraceField(std::string_view field_key, std::string_view text) : key(field_key), value(text) {}
  TraceField(std::string_view field_key, const char* text) : key(field_key), value(text) {}
  TraceField(std::string_view field_key, const std::string& text) : key(field_key), value(text) {}
  TraceField(std::string_view field_key, bool flag)
      : key(field_key), value(flag ? "true" : "false") {}
  template <typename Number>
  TraceField(std::string_view field_key, Number number)
      : key(field_key), value(std::to_string(number)) {}

  std::string key;
  std::string value;
};

// Structured events: a type in CamelCase and key/value pairs. Real processes write them as JSON
// lines through spdlog; the simulator hashes them, so that runs of equal seeds can be compared.
// Keys, tokens and prompts must never be traced.
class TraceSink {
 public:
  virtual ~TraceSink() = default;
  virtual void Event(Severity severity, std::string_view type,
                     std::initializer_list<TraceField> fields) = 0;
};

}  // namespace posthatch::runtime
