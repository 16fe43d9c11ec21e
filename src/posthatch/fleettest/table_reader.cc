#include "posthatch/fleettest/table_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <limits>

namespace posthatch::fleettest {

namespace {

runtime::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

const toml::node* TableReader::Find(std::string_view key) {
  read_keys_.emplace(key);
  return table_->get(key);
}

void TableReader::Fail(std::string_view key, const std::string& what) {
  const toml::node* node = table_->get(key);
  const uint32_t line = node != nullptr ? node->source().begin.line : table_->source().begin.line;
  const std::string full_key = path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
  errors_->push_back(fmt::format("{}:{}: {}: {}", *file_name_, line, full_key, what));
}

void TableReader::FailType(std::string_view key, std::string_view expected) {
  Fail(key, fmt::format("wrong type (allowed: {})", expected));
}

void TableReader::Read(std::string_view key, uint32_t low, uint32_t high, uint32_t* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto number = node->value_exact<int64_t>();
  if (!number) return FailType(key, "integer");
  if (*number < low || *number > high) {
    return Fail(key, fmt::format("{} is out of range (allowed: {} to {})", *number, low, high));
  }
  *value = static_cast<uint32_t>(*number);
}

void TableReader::Read(std::string_view key, uint64_t* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto number = node->value_exact<int64_t>();
  if (!number) return FailType(key, "integer");
  if (*number < 0) return Fail(key, fmt::format("{} is out of range (allowed: from 0)", *number));
  *value = static_cast<uint64_t>(*number);
}

void TableReader::Read(std::string_view key, double low, double high, double* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  if (!node->is_number()) return FailType(key, "number");
  const double number = node->value<double>().value_or(std::numeric_limits<double>::quiet_NaN());
  if (!(number >= low && number <= high)) {
    return Fail(key, fmt::format("{} is out of range (allowed: {} to {})", number, low, high));
  }
  *value = number;
}

void TableReader::Read(std::string_view key, bool* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto flag = node->value_exact<bool>();
  if (!flag) return FailType(key, "true, false");
  *value = *flag;
}

void TableReader::Read(std::string_view key, std::string* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const auto text = node->value_exact<std::string>();
  if (!text) return FailType(key, "string");
  *value = *text;
}

void TableReader::Read(std::string_view key, std::vector<std::string>* value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  const toml::array* array = node->as_array();
  if (array == nullptr) return FailType(key, "list of strings");
  std::vector<std::string> strings;
  for (const toml::node& element : *array) {
    const auto text = element.value_exact<std::string>();
    if (!text) return FailType(key, "list of strings");
    strings.push_back(*text);
  }
  *value = std::move(strings);
}

void TableReader::ReadChoice(std::string_view key, const std::vector<std::string>& allowed,
                             std::string* value) {
  Read(key, value);
  if (!Has(key) || std::find(allowed.begin(), allowed.end(), *value) != allowed.end()) return;
  Fail(key, fmt::format("unknown \"{}\" (allowed: {})", *value, fmt::join(allowed, ", ")));
}

void TableReader::ReadSeconds(std::string_view key, double low, double high,
                              runtime::Duration* value) {
  double seconds = std::chrono::duration<double>(*value).count();
  Read(key, low, high, &seconds);
  if (Has(key)) *value = FromSeconds(seconds);
}

void TableReader::ReadMilliseconds(std::string_view key, double low, double high,
                                   runtime::Duration* value) {
  double milliseconds = runtime::ToMilliseconds(*value);
  Read(key, low, high, &milliseconds);
  if (Has(key)) *value = FromSeconds(milliseconds / 1000);
}

void TableReader::Require(std::string_view key) {
  if (!Has(key)) Fail(key, "is missing");
}

const toml::table* TableReader::SubTable(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  const toml::table* table = node->as_table();
  if (table == nullptr) FailType(key, "table");
  return table;
}

std::vector<const toml::table*> TableReader::Tables(std::string_view key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) return tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    FailType(key, "list of tables");
    return tables;
  }
  for (const toml::node& element : *array) {
    if (const toml::table* table = element.as_table()) {
      tables.push_back(table);
    } else {
      FailType(key, "list of tables");
    }
  }
  return tables;
}

void TableReader::Finish() {
  for (const auto& [key, node] : *table_) {
    if (read_keys_.count(key.str()) == 0) {
      Fail(key.str(), fmt::format("unknown key (allowed: {})", fmt::join(read_keys_, ", ")));
    }
  }
}

}  // namespace posthatch::fleettest
