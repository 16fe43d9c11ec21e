#include "posthatch/ctl/output.h"

#include <algorithm>
#include <boost/json.hpp>
#include <vector>

#include "absl/strings/str_cat.h"

namespace posthatch::ctl {
namespace {

using Row = std::vector<std::string>;

std::string RenderCell(const boost::json::value& value) {
  if (value.is_string()) return {value.get_string().data(), value.get_string().size()};
  return boost::json::serialize(value);
}

// Whether `value` is rendered as columns: a non-empty list of objects.
bool IsTable(const boost::json::value& value) {
  return value.is_array() && !value.get_array().empty() &&
         std::all_of(value.get_array().begin(), value.get_array().end(),
                     [](const boost::json::value& entry) { return entry.is_object(); });
}

// Returns the keys of all entries, in order of their first appearance.
Row Columns(const boost::json::array& entries) {
  Row columns;
  for (const boost::json::value& entry : entries) {
    for (const auto& field : entry.get_object()) {
      const std::string key(field.key().data(), field.key().size());
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) columns.push_back(key);
    }
  }
  return columns;
}

// Aligns the columns of `rows`, of which there is at least one.
std::string RenderRows(const std::vector<Row>& rows) {
  std::vector<size_t> widths(rows.front().size(), 0);
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const Row& row : rows) {
    for (size_t i = 0; i + 1 < row.size(); ++i) {
      absl::StrAppend(&text, row[i], std::string(widths[i] - row[i].size() + 2, ' '));
    }
    absl::StrAppend(&text, row.back(), "\n");
  }
  return text;
}

std::string RenderTable(const boost::json::array& entries) {
  std::vector<Row> rows = {Columns(entries)};
  if (rows.front().empty()) return {};
  const Row columns = rows.front();
  for (const boost::json::value& entry : entries) {
    Row& row = rows.emplace_back();
    for (const std::string& column : columns) {
      const boost::json::value* value = entry.get_object().if_contains(column);
      row.push_back(value == nullptr ? "" : RenderCell(*value));
    }
  }
  return RenderRows(rows);
}

}  // namespace

std::string RenderOutput(const std::string& json, OutputFormat format) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(json, error);
  if (error || !value.is_object() || format == OutputFormat::kJson) return json + "\n";
  std::string text;
  std::string lists;
  for (const auto& field : value.get_object()) {
    const std::string key(field.key().data(), field.key().size());
    if (IsTable(field.value())) {
      absl::StrAppend(&lists, RenderTable(field.value().get_array()));
    } else if (field.value().is_array()) {
      for (const boost::json::value& entry : field.value().get_array()) {
        absl::StrAppend(&lists, key, ": ", RenderCell(entry), "\n");
      }
    } else {
      absl::StrAppend(&text, key, ": ", RenderCell(field.value()), "\n");
    }
  }
  return text + lists;
}

}  // namespace posthatch::ctl
