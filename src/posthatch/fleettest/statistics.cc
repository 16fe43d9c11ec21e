#include "posthatch/fleettest/statistics.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr int64_t kGoodputWindowNs = 10 * kSecondNs;
constexpr uint32_t kUnauthorized = 401;

double Milliseconds(int64_t nanoseconds) { return static_cast<double>(nanoseconds) / 1e6; }

bool Completed(const CallRecord& call) { return call.succeeded() && call.ended->complete(); }

void CountRequest(const CallRecord& call, RequestCounts* counts) {
  ++counts->sent;
  if (call.ended != nullptr && call.ended->caller_left()) {
    ++counts->left;
  } else if (Completed(call)) {
    ++counts->completed;
  } else if (call.ended != nullptr && call.ended->status() >= 300) {
    ++counts->refused;
    ++counts->refused_by_code[call.ended->code()];
  } else {
    ++counts->unknown;
  }
}

void MeasureCalls(const RecordedHistory& history, Statistics* statistics) {
  std::vector<double> latencies;
  std::vector<double> first_tokens;
  std::vector<double> gaps;
  for (const CallRecord& call : history.calls()) {
    if (call.sent->probe()) continue;
    CountRequest(call, &statistics->requests);
    if (!Completed(call)) continue;
    latencies.push_back(Milliseconds(call.ended_ns - call.sent_ns));
    if (!call.sent->stream()) continue;
    if (call.ended->first_token_ns() > 0) {
      first_tokens.push_back(Milliseconds(call.ended->first_token_ns()));
    }
    for (const int64_t gap_ns : call.ended->token_gaps_ns()) gaps.push_back(Milliseconds(gap_ns));
  }
  statistics->latency_ms = PercentilesOf(std::move(latencies));
  statistics->first_token_ms = PercentilesOf(std::move(first_tokens));
  statistics->token_gap_ms = PercentilesOf(std::move(gaps));
}

void MeasureRuns(const RecordedHistory& history, Statistics* statistics) {
  uint64_t blocks = 0;
  uint64_t cached = 0;
  uint64_t fetched = 0;
  uint64_t firsts = 0;
  uint64_t retries = 0;
  for (const RunRecord& record : history.runs()) {
    ++(record.run->attempt_number() > 1 ? retries : firsts);
    blocks += record.run->prompt_blocks();
    for (const ReusedBlocks& reused : record.run->reused()) {
      (reused.fetched_from().empty() ? cached : fetched) += reused.blocks();
    }
  }
  if (blocks > 0) {
    statistics->prefix_hit_ratio = static_cast<double>(cached) / static_cast<double>(blocks);
    statistics->prefix_fetch_ratio = static_cast<double>(fetched) / static_cast<double>(blocks);
  }
  if (firsts > 0) {
    statistics->retry_ratio = static_cast<double>(retries) / static_cast<double>(firsts);
  }
}

// Measures how long after the acknowledgement a revoked key was last accepted; 0 if it never was.
void MeasureConfiguration(const RecordedHistory& history, Statistics* statistics) {
  std::vector<double> delays;
  for (const ChangeRecord& change : history.changes()) {
    if (!change.acknowledged()) continue;
    for (const std::string& key : change.Details("revoke")) {
      int64_t last_ns = change.acknowledged_ns();
      bool probed = false;
      for (const CallRecord& call : history.calls()) {
        const bool after = call.sent->key_id() == key && call.sent_ns >= change.acknowledged_ns();
        if (!after || call.ended == nullptr) continue;
        probed = probed || call.ended->status() == kUnauthorized;
        if (call.succeeded()) last_ns = std::max(last_ns, call.sent_ns);
      }
      if (probed) delays.push_back(Milliseconds(last_ns - change.acknowledged_ns()));
    }
  }
  statistics->config_in_force_ms = PercentilesOf(std::move(delays));
}

// Measures how long after the acknowledgement the last run under an older revision started.
void MeasureRevisions(const RecordedHistory& history, Statistics* statistics) {
  std::vector<double> delays;
  for (const ChangeRecord& change : history.changes()) {
    if (change.kind != "model_revision" || !change.acknowledged()) continue;
    for (const std::string& model : change.Details("model")) {
      int64_t last_ns = change.acknowledged_ns();
      bool served = false;
      for (const RunRecord& record : history.runs()) {
        if (record.run->model() != model || record.started_ns < change.acknowledged_ns()) continue;
        const bool old = record.run->model_revision() < change.acknowledged_version();
        served = served || !old;
        if (old) last_ns = std::max(last_ns, record.started_ns);
      }
      if (served) delays.push_back(Milliseconds(last_ns - change.acknowledged_ns()));
    }
  }
  statistics->revision_in_force_ms = PercentilesOf(std::move(delays));
}

// Measures how long after the acknowledgement each worker began to serve the new revision.
void MeasureRevisionServing(const RecordedHistory& history, Statistics* statistics) {
  std::vector<double> delays;
  for (const ChangeRecord& change : history.changes()) {
    if (change.kind != "model_revision" || !change.acknowledged()) continue;
    std::set<std::string> workers;
    for (const HistoryEvent& event : history.events()) {
      const RevisionServed& served = event.revision_served();
      const bool counts = event.has_revision_served() &&
                          change.HasDetail("model", served.model()) &&
                          served.revision() >= change.acknowledged_version();
      if (!counts || !workers.insert(served.worker()).second) continue;
      delays.push_back(Milliseconds(event.time_ns() - change.acknowledged_ns()));
    }
  }
  statistics->revision_served_ms = PercentilesOf(std::move(delays));
}

void MeasureGoodput(const RecordedHistory& history, Statistics* statistics) {
  if (history.calls().empty()) return;
  const int64_t first_ns = history.calls().front().sent_ns;
  for (const FaultPeriod& fault : history.faults()) {
    Goodput goodput;
    goodput.fault = fault.kind;
    goodput.target = fault.target;
    goodput.at_s = Seconds(fault.period.from_ns - first_ns);
    const Period window{fault.period.from_ns, fault.period.from_ns + kGoodputWindowNs};
    for (const CallRecord& call : history.calls()) {
      const bool left = call.ended != nullptr && call.ended->caller_left();
      if (call.sent->probe() || left || !window.Contains(call.sent_ns)) continue;
      ++goodput.sent;
      if (Completed(call)) ++goodput.completed;
    }
    statistics->goodput.push_back(std::move(goodput));
  }
}

}  // namespace

Percentiles PercentilesOf(std::vector<double> milliseconds) {
  Percentiles percentiles;
  percentiles.count = milliseconds.size();
  if (milliseconds.empty()) return percentiles;
  std::sort(milliseconds.begin(), milliseconds.end());
  const auto at = [&](double share) {
    const double rank = std::ceil(share * static_cast<double>(milliseconds.size()));
    return milliseconds[static_cast<size_t>(std::max(rank, 1.0)) - 1];
  };
  percentiles.p50 = at(0.50);
  percentiles.p95 = at(0.95);
  percentiles.p99 = at(0.99);
  return percentiles;
}

Statistics ComputeStatistics(const RecordedHistory& history) {
  Statistics statistics;
  MeasureCalls(history, &statistics);
  MeasureRuns(history, &statistics);
  MeasureConfiguration(history, &statistics);
  MeasureRevisions(history, &statistics);
  MeasureRevisionServing(history, &statistics);
  MeasureGoodput(history, &statistics);
  return statistics;
}

}  // namespace posthatch::fleettest
