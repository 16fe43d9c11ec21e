#include "posthatch/control/server/leadership.h"

namespace posthatch::control {

void Leadership::Begin(uint64_t term, runtime::Duration max_previous_lease) {
  active_ = true;
  term_ = term;
  since_ = clock_->Now();
  previous_sessions_expire_at_ = since_ + max_previous_lease;
}

void Leadership::End(uint64_t term) {
  active_ = false;
  term_ = term;
}

}  // namespace posthatch::control
