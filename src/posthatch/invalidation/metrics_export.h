#pragma once

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

// Exports a component's plain numbers as Prometheus gauges, updated once a second. Exports nothing
// if the runtime has no metrics registry. Owned by the component whose numbers it reads; event loop
// thread only.
class MetricsExport {
 public:
  explicit MetricsExport(runtime::Runtime* runtime) : runtime_(runtime), timer_(runtime->timers) {}

  // `read` is called at each update, from Start on; `help` documents the metric.
  void Add(const std::string& name, const std::string& help, std::function<double()> read) {
    if (runtime_->metrics == nullptr) return;
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(*runtime_->metrics);
    exported_gauges_.emplace_back(&family.Add({}), std::move(read));
  }
  void Start() {
    for (const auto& [gauge, read] : exported_gauges_) gauge->Set(read());
    if (!exported_gauges_.empty()) timer_.Start(kRefreshInterval, [this] { Start(); });
  }

 private:
  static constexpr runtime::Duration kRefreshInterval = std::chrono::seconds(1);

  runtime::Runtime* const runtime_;
  std::vector<std::pair<prometheus::Gauge*, std::function<double()>>> exported_gauges_;
  runtime::Timer timer_;
};

}  // namespace posthatch::invalidation
