#include "posthatch/net/json_trace_sink.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

using runtime::Severity;

constexpr size_t kMaxQueuedLines = 8192;
constexpr std::array<std::string_view, 4> kSeverityNames = {"debug", "info", "warning", "error"};

boost::json::string_view ToJsonView(std::string_view text) { return {text.data(), text.size()}; }

class SpdlogTraceSink : public JsonTraceSink {
 public:
  SpdlogTraceSink(spdlog::sink_ptr sink, std::string node_id, Severity level)
      : node_id_(std::move(node_id)),
        level_(level),
        threads_(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1)),
        logger_(std::make_shared<spdlog::async_logger>(
            "trace", std::move(sink), threads_, spdlog::async_overflow_policy::overrun_oldest)) {
    logger_->set_pattern("%v");
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::info);
  }

  ~SpdlogTraceSink() override { logger_->flush(); }

  void Event(Severity severity, std::string_view type,
             std::initializer_list<runtime::TraceField> fields) override {
    if (severity < level()) return;
    boost::json::object line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
    line["severity"] = ToJsonView(SeverityName(severity));
    line["node"] = node_id_;
    line["type"] = ToJsonView(type);
    for (const runtime::TraceField& field : fields) line[field.key] = field.value;
    logger_->log(spdlog::level::info, spdlog::string_view_t(boost::json::serialize(line)));
  }

  void SetLevel(Severity level) override { level_.store(level, std::memory_order_relaxed); }
  Severity level() const override { return level_.load(std::memory_order_relaxed); }

 private:
  const std::string node_id_;
  std::atomic<Severity> level_;
  const std::shared_ptr<spdlog::details::thread_pool> threads_;
  const std::shared_ptr<spdlog::async_logger> logger_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<JsonTraceSink>> JsonTraceSink::Open(const std::string& log_file,
                                                                   const std::string& node_id,
                                                                   Severity level) {
  spdlog::sink_ptr sink;
  if (log_file.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    try {
      sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(log_file);
    } catch (const spdlog::spdlog_ex& error) {
      return absl::InternalError(absl::StrCat("log file: ", error.what()));
    }
  }
  return std::make_unique<SpdlogTraceSink>(std::move(sink), node_id, level);
}

std::string_view SeverityName(Severity severity) {
  return kSeverityNames[static_cast<size_t>(severity)];
}

absl::StatusOr<Severity> ParseSeverity(std::string_view name) {
  for (size_t index = 0; index < kSeverityNames.size(); ++index) {
    if (kSeverityNames[index] == name) return static_cast<Severity>(index);
  }
  return absl::InvalidArgumentError(
      absl::StrCat("no level: ", util::ToAbsl(name), " (debug, info, warning, error)"));
}

}  // namespace posthatch::net
