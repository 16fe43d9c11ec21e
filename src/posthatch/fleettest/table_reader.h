#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/fleettest/scenario_names.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::fleettest {

// Reads typed values from one TOML table and collects errors. A missing key leaves the value
// unchanged; Finish() reports the keys that were not read.
class TableReader {
 public:
  // `path` names the table in errors; all pointers outlive the reader.
  TableReader(const toml::table* table, std::string path, const std::string* file_name,
              std::vector<std::string>* errors)
      : table_(table), path_(std::move(path)), file_name_(file_name), errors_(errors) {}

  void Read(std::string_view key, uint32_t low, uint32_t high, uint32_t* value);
  void Read(std::string_view key, uint64_t* value);
  void Read(std::string_view key, double low, double high, double* value);
  void Read(std::string_view key, bool* value);
  void Read(std::string_view key, std::string* value);
  void Read(std::string_view key, std::vector<std::string>* value);
  // Reads a string that must be one of `allowed`.
  void ReadChoice(std::string_view key, const std::vector<std::string>& allowed,
                  std::string* value);
  // Times are numbers in the unit that the key's suffix names.
  void ReadSeconds(std::string_view key, double low, double high, runtime::Duration* value);
  void ReadMilliseconds(std::string_view key, double low, double high, runtime::Duration* value);

  template <typename Value, size_t kSize>
  void ReadName(std::string_view key, const NameTable<Value, kSize>& names, Value* value) {
    std::string name;
    Read(key, &name);
    if (name.empty()) return;
    if (const auto found = FromName(names, name)) {
      *value = *found;
    } else {
      Fail(key, "unknown \"" + name + "\" (allowed: " + AllowedNames(names) + ")");
    }
  }

  // Reports an error if the key is missing.
  void Require(std::string_view key);
  // The sub-table, or null if there is none; a value of another type is an error.
  const toml::table* SubTable(std::string_view key);
  // The tables of the array [[key]].
  std::vector<const toml::table*> Tables(std::string_view key);
  TableReader Inner(const toml::table* table, const std::string& path) const {
    return {table, path, file_name_, errors_};
  }

  void Fail(std::string_view key, const std::string& what);
  bool Has(std::string_view key) const { return table_->contains(key); }
  void Finish();

 private:
  const toml::node* Find(std::string_view key);
  void FailType(std::string_view key, std::string_view expected);

  const toml::table* table_;
  std::string path_;
  const std::string* file_name_;
  std::vector<std::string>* errors_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace posthatch::fleettest
