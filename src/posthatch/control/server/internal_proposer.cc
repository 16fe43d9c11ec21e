#include "posthatch/control/server/internal_proposer.h"

#include <string>
#include <utility>

#include "absl/status/statusor.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {

void InternalProposer::Propose(const Command& command, Done done) {
  log_->Propose(SerializeDeterministically(command),
                lifetime_.Guard([this, term = leadership_->term(), done = std::move(done)](
                                    const absl::StatusOr<std::string>& serialized_result) {
                  if (!leadership_->active() || term != leadership_->term()) return;
                  CommandResult result;
                  done(serialized_result.ok() && result.ParseFromString(*serialized_result) &&
                       result.code() == CommandResult::OK);
                }));
}

}  // namespace posthatch::control
