#include "posthatch/fleettest/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iterator>

namespace posthatch::fleettest {

namespace {

namespace json = boost::json;

const NotExamined* FindExemption(const ScenarioReport& report, const std::string& id) {
  for (const NotExamined& exemption : report.not_examined) {
    if (exemption.check == id) return &exemption;
  }
  return nullptr;
}

bool CheckPassed(const ScenarioReport& report, const CheckResult& check) {
  if (check.violations() > 0) return false;
  return check.examined() > 0 || FindExemption(report, check.id()) != nullptr;
}

json::object PercentilesJson(const Percentiles& percentiles) {
  return {{"count", percentiles.count},
          {"p50", percentiles.p50},
          {"p95", percentiles.p95},
          {"p99", percentiles.p99}};
}

json::object CountsJson(const std::map<std::string, uint64_t>& counts) {
  json::object object;
  for (const auto& [name, count] : counts) object[name.empty() ? "none" : name] = count;
  return object;
}

json::array InvariantsJson(const ScenarioReport& report) {
  json::array invariants;
  for (const CheckResult& check : report.checks) {
    json::object entry = {{"id", check.id()},
                          {"title", check.title()},
                          {"examined", check.examined()},
                          {"violations", check.violations()},
                          {"passed", CheckPassed(report, check)}};
    entry["examples"] = json::array(check.examples().begin(), check.examples().end());
    if (const NotExamined* exemption = FindExemption(report, check.id())) {
      entry["not_examined_because"] = exemption->reason;
    }
    invariants.push_back(std::move(entry));
  }
  return invariants;
}

json::array OutcomesJson(const std::vector<FaultOutcome>& outcomes) {
  json::array entries;
  for (const FaultOutcome& outcome : outcomes) {
    entries.push_back(json::object{{"kind", outcome.kind},
                                   {"target", outcome.target},
                                   {"at_s", outcome.at_s},
                                   {"result", outcome.result}});
  }
  return entries;
}

json::array GoodputJson(const Statistics& statistics) {
  json::array entries;
  for (const Goodput& goodput : statistics.goodput) {
    entries.push_back(json::object{{"fault", goodput.fault},
                                   {"target", goodput.target},
                                   {"at_s", goodput.at_s},
                                   {"sent", goodput.sent},
                                   {"completed", goodput.completed}});
  }
  return entries;
}

json::object ReportObject(const ScenarioReport& report) {
  const Statistics& statistics = report.statistics;
  const RequestCounts& requests = statistics.requests;
  json::object object = {
      {"scenario", report.scenario},
      {"mode", report.mode},
      {"seed", report.seed},
      {"duration_s", report.duration_s},
      {"passed", Passed(report)},
      {"failure", report.failure},
      {"requests", json::object{{"sent", requests.sent},
                                {"completed", requests.completed},
                                {"refused", requests.refused},
                                {"unknown", requests.unknown},
                                {"left", requests.left},
                                {"refused_by_code", CountsJson(requests.refused_by_code)}}},
      {"invariants", InvariantsJson(report)},
      {"latency_ms", PercentilesJson(statistics.latency_ms)},
      {"first_token_ms", PercentilesJson(statistics.first_token_ms)},
      {"token_gap_ms", PercentilesJson(statistics.token_gap_ms)},
      {"prefix_hit_ratio", statistics.prefix_hit_ratio},
      {"prefix_fetch_ratio", statistics.prefix_fetch_ratio},
      {"retry_ratio", statistics.retry_ratio},
      {"config_in_force_ms", PercentilesJson(statistics.config_in_force_ms)},
      {"revision_in_force_ms", PercentilesJson(statistics.revision_in_force_ms)},
      {"revision_served_ms", PercentilesJson(statistics.revision_served_ms)},
      {"faults", OutcomesJson(report.faults)},
      {"operations", OutcomesJson(report.operations)},
      {"goodput_after_faults", GoodputJson(statistics)}};
  if (report.round_robin_hit_ratio) {
    object["round_robin_prefix_hit_ratio"] = *report.round_robin_hit_ratio;
  }
  if (report.mode == "simulate") {
    object["trace_hash"] = fmt::format("{:016x}", report.trace_hash);
    object["behaviour_hash"] = fmt::format("{:016x}", report.behaviour_hash);
    object["deterministic"] = report.deterministic;
  }
  return object;
}

std::string CheckLine(const ScenarioReport& report, const CheckResult& check) {
  const NotExamined* exemption = FindExemption(report, check.id());
  const char* verdict = "ok";
  if (check.violations() > 0) {
    verdict = "VIOLATED";
  } else if (check.examined() == 0) {
    verdict = exemption != nullptr ? "not examined" : "NO CASES";
  }
  std::string line = fmt::format("  {:<4} {:>9} {:>10}  {:<12}  {}\n", check.id(), check.examined(),
                                 check.violations(), verdict, check.title());
  if (check.examined() == 0 && exemption != nullptr) {
    line += fmt::format("         because {}\n", exemption->reason);
  }
  for (const std::string& example : check.examples()) {
    line += fmt::format("         {}\n", example);
  }
  return line;
}

std::string PercentilesLine(const char* name, const Percentiles& percentiles) {
  if (percentiles.count == 0) return fmt::format("  {:<22} not measured\n", name);
  return fmt::format("  {:<22} p50 {:>8.1f}  p95 {:>8.1f}  p99 {:>8.1f}  of {}\n", name,
                     percentiles.p50, percentiles.p95, percentiles.p99, percentiles.count);
}

std::string OutcomesTable(const char* title, const std::vector<FaultOutcome>& outcomes) {
  std::string table;
  if (!outcomes.empty()) table += fmt::format("{}\n", title);
  for (const FaultOutcome& outcome : outcomes) {
    table += fmt::format("  {:>7.2f} s  {:<20} {:<16} {}\n", outcome.at_s, outcome.kind,
                         outcome.target, outcome.result);
  }
  return table;
}

}  // namespace

bool Passed(const ScenarioReport& report) {
  if (!report.failure.empty() || report.checks.empty() || !report.deterministic) return false;
  return std::all_of(report.checks.begin(), report.checks.end(),
                     [&](const CheckResult& check) { return CheckPassed(report, check); });
}

void ExamineHistory(const Scenario& scenario, const RecordedHistory& history,
                    ScenarioReport* report) {
  report->not_examined = scenario.not_examined;
  report->statistics = ComputeStatistics(history);
  for (const std::unique_ptr<Check>& check : AllChecks()) {
    report->checks.push_back(check->Run(history));
  }
}

std::string ReportJson(const ScenarioReport& report) {
  return json::serialize(ReportObject(report)) + "\n";
}

std::string SeedsJson(const std::vector<ScenarioReport>& reports) {
  json::object object;
  json::array seeds;
  for (const ScenarioReport& report : reports) {
    object["scenario"] = report.scenario;
    seeds.push_back(ReportObject(report));
  }
  object["passed"] = !reports.empty() && std::all_of(reports.begin(), reports.end(), Passed);
  object["seeds"] = std::move(seeds);
  return json::serialize(object) + "\n";
}

std::string SummaryTable(const ScenarioReport& report) {
  const Statistics& statistics = report.statistics;
  const RequestCounts& requests = statistics.requests;
  std::string table = fmt::format("\n{} ({}, seed {}, {:.0f} s)\n", report.scenario, report.mode,
                                  report.seed, report.duration_s);
  table += fmt::format(
      "  requests: {} sent, {} completed, {} refused, {} unknown, {} left by callers\n",
      requests.sent, requests.completed, requests.refused, requests.unknown, requests.left);
  for (const auto& [code, count] : requests.refused_by_code) {
    table += fmt::format("    refused as {}: {}\n", code.empty() ? "(no code)" : code, count);
  }
  table += PercentilesLine("latency ms", statistics.latency_ms);
  table += PercentilesLine("first token ms", statistics.first_token_ms);
  table += PercentilesLine("between tokens ms", statistics.token_gap_ms);
  table += PercentilesLine("configuration in force", statistics.config_in_force_ms);
  table += PercentilesLine("revision in force", statistics.revision_in_force_ms);
  table += PercentilesLine("revision served", statistics.revision_served_ms);
  table += fmt::format("  prefix fetch ratio     {:.3f}\n", statistics.prefix_fetch_ratio);
  table += fmt::format("  prefix hit ratio       {:.3f}", statistics.prefix_hit_ratio);
  if (report.round_robin_hit_ratio) {
    table += fmt::format("   round-robin routing over the same traffic: {:.3f}",
                         *report.round_robin_hit_ratio);
  }
  table += fmt::format("\n  retry ratio            {:.3f}\n", statistics.retry_ratio);
  table += OutcomesTable("faults", report.faults);
  table += OutcomesTable("operations", report.operations);
  table += "  id    examined violations  verdict       invariant\n";
  for (const CheckResult& check : report.checks) table += CheckLine(report, check);
  if (!report.failure.empty()) table += fmt::format("FAILURE: {}\n", report.failure);
  if (!report.deterministic) table += "FAILURE: a second run of the seed had another trace hash\n";
  return table + (Passed(report) ? "PASSED\n" : "FAILED\n");
}

std::string SeedLine(const ScenarioReport& report) {
  std::string findings;
  for (const CheckResult& check : report.checks) {
    if (CheckPassed(report, check)) continue;
    findings += check.violations() > 0
                    ? fmt::format(" {}:{} violations", check.id(), check.violations())
                    : fmt::format(" {}:no cases", check.id());
  }
  if (!report.failure.empty()) findings += " failure: " + report.failure;
  if (!report.deterministic) findings += " not deterministic";
  const RequestCounts& requests = report.statistics.requests;
  return fmt::format(
      "seed {:>5}  {}  trace {:016x}  behaviour {:016x}  sent {:>6} completed {:>6}{}\n",
      report.seed, Passed(report) ? "passed" : "FAILED", report.trace_hash, report.behaviour_hash,
      requests.sent, requests.completed, findings);
}

absl::Status WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  return file ? absl::OkStatus() : absl::UnavailableError(path + ": can't be written");
}

}  // namespace posthatch::fleettest
