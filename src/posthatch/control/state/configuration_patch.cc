#include "posthatch/control/state/configuration_patch.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {
namespace {

template <typename Entries>
int FindByName(const Entries& entries, const std::string& name) {
  for (int position = 0; position < entries.size(); ++position) {
    if (entries[position].name() == name) return position;
  }
  return -1;
}

template <typename Entries, typename Names>
void RemoveByName(const Names& names, const std::string& field, Entries* entries,
                  std::vector<std::string>* errors) {
  for (const std::string& name : names) {
    const int position = FindByName(*entries, name);
    if (position < 0) {
      errors->push_back(absl::StrCat(field, ": no such entry: ", name));
    } else {
      entries->erase(entries->begin() + position);
    }
  }
}

template <typename Entries>
void UpsertByName(const Entries& changed, Entries* entries) {
  for (const auto& entry : changed) {
    const int position = FindByName(*entries, entry.name());
    if (position < 0) {
      *entries->Add() = entry;
    } else {
      *entries->Mutable(position) = entry;
    }
  }
}

template <typename Entries, typename Names>
void CollectChanges(const Entries& from, const Entries& to, Entries* upserts, Names* removals) {
  std::map<std::string, std::string> before;
  for (const auto& entry : from) before[entry.name()] = SerializeDeterministically(entry);
  for (const auto& entry : to) {
    const auto old = before.find(entry.name());
    if (old == before.end() || old->second != SerializeDeterministically(entry)) {
      *upserts->Add() = entry;
    }
    if (old != before.end()) before.erase(old);
  }
  for (const auto& [name, bytes] : before) *removals->Add() = name;
}

template <typename Entries>
void DescribeEntries(const std::string& kind, const Entries& from, const Entries& to,
                     std::vector<std::string>* lines) {
  std::map<std::string, std::string> before;
  for (const auto& entry : from) before[entry.name()] = SerializeDeterministically(entry);
  for (const auto& entry : to) {
    const auto old = before.find(entry.name());
    if (old == before.end()) {
      lines->push_back(absl::StrCat(kind, " ", entry.name(), ": added"));
      continue;
    }
    if (old->second != SerializeDeterministically(entry)) {
      lines->push_back(absl::StrCat(kind, " ", entry.name(), ": changed"));
    }
    before.erase(old);
  }
  for (const auto& [name, bytes] : before) {
    lines->push_back(absl::StrCat(kind, " ", name, ": removed"));
  }
}

}  // namespace

Configuration ApplyPatch(const Configuration& base, const ConfigurationPatch& patch,
                         std::vector<std::string>* errors) {
  Configuration result = base;
  RemoveByName(patch.remove_tenants(), "remove_tenants", result.mutable_tenants(), errors);
  RemoveByName(patch.remove_isolation_rules(), "remove_isolation_rules",
               result.mutable_isolation_rules(), errors);
  RemoveByName(patch.remove_services(), "remove_services", result.mutable_services(), errors);
  RemoveByName(patch.remove_models(), "remove_models", result.mutable_models(), errors);
  UpsertByName(patch.upsert().tenants(), result.mutable_tenants());
  UpsertByName(patch.upsert().isolation_rules(), result.mutable_isolation_rules());
  UpsertByName(patch.upsert().services(), result.mutable_services());
  UpsertByName(patch.upsert().models(), result.mutable_models());
  if (patch.upsert().has_routing()) *result.mutable_routing() = patch.upsert().routing();
  return result;
}

ConfigurationPatch MakePatch(const Configuration& from, const Configuration& to) {
  ConfigurationPatch patch;
  Configuration* upsert = patch.mutable_upsert();
  CollectChanges(from.tenants(), to.tenants(), upsert->mutable_tenants(),
                 patch.mutable_remove_tenants());
  CollectChanges(from.isolation_rules(), to.isolation_rules(), upsert->mutable_isolation_rules(),
                 patch.mutable_remove_isolation_rules());
  CollectChanges(from.services(), to.services(), upsert->mutable_services(),
                 patch.mutable_remove_services());
  CollectChanges(from.models(), to.models(), upsert->mutable_models(),
                 patch.mutable_remove_models());
  if (SerializeDeterministically(from.routing()) != SerializeDeterministically(to.routing())) {
    *upsert->mutable_routing() = to.routing();
  }
  return patch;
}

std::vector<std::string> DescribeDifferences(const Configuration& from, const Configuration& to) {
  std::vector<std::string> lines;
  DescribeEntries("tenant", from.tenants(), to.tenants(), &lines);
  DescribeEntries("isolation rule", from.isolation_rules(), to.isolation_rules(), &lines);
  DescribeEntries("service", from.services(), to.services(), &lines);
  DescribeEntries("model", from.models(), to.models(), &lines);
  if (SerializeDeterministically(from.routing()) != SerializeDeterministically(to.routing())) {
    lines.emplace_back("routing: changed");
  }
  if (lines.size() > kMaxDifferences) lines.resize(kMaxDifferences);
  return lines;
}

}  // namespace posthatch::control
