#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"

// Selectors over labels. The written form, for operators (posthatchctl, docs):
//
//   selector    = "*" | requirement *( "," requirement )
//   requirement = key "=" value | key "==" value | key "!=" value
//               | key " in (" value *( "," value ) ")" | key " notin (" value *( "," value ) ")"
//               | key | "!" key
//   key, value  = 1*( letter | digit | "." | "_" | "-" | "/" | ":" )
//
// All requirements must hold. `key != value` and `notin` also hold where the label is absent.
// "*" matches everything; a selector without requirements matches nothing.
namespace posthatch::control {

using LabelMap = std::map<std::string, std::string>;

bool SelectorMatches(const Selector& selector, const LabelMap& labels);

// Labels of a backend: those of its inventory entry, and "id", "zone", "kind" ("worker", "store",
// "service"), "model" and "service" (where not empty), which entry labels can't override.
LabelMap BackendLabels(const Backend& backend);
// Labels of a tenant: those of its entry, and "name".
LabelMap TenantLabels(const Tenant& tenant);

// Parses the written form. InvalidArgument with the position and the reason of an error.
absl::StatusOr<Selector> ParseSelector(std::string_view text);

// Appends all errors of a selector to `errors`, each line starting with `path`, the path of its
// field.
void ValidateSelector(const Selector& selector, std::string_view path,
                      std::vector<std::string>* errors);

}  // namespace posthatch::control
