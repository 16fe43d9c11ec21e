#include "posthatch/server/settings/setting_tables.h"

namespace posthatch::server {
namespace {

// The field that a row fills, by pointer to member.
template <auto kField>
SettingTarget Target(SettingsDraft* draft) {
  return &(draft->limits.*kField);
}

}  // namespace

std::vector<SettingDescription> LimitsTable() {
  return {
      {.table = "limits",
       .name = "max_header_bytes",
       .kind = SettingKind::kBytes,
       .minimum = kKibibyte,
       .maximum = kMebibyte,
       .target = Target<&http::ServerLimits::max_header_bytes>,
       .help = "Size of the request line and header fields; larger ones are rejected with 431."},
      {.table = "limits",
       .name = "max_body_bytes",
       .kind = SettingKind::kBytes,
       .minimum = kKibibyte,
       .maximum = 256 * kMebibyte,
       .target = Target<&http::ServerLimits::max_body_bytes>,
       .help = "Size of a request body; larger ones are rejected with 413."},
      {.table = "limits",
       .name = "max_connections",
       .kind = SettingKind::kCount,
       .minimum = 1,
       .maximum = 1'000'000,
       .target = Target<&http::ServerLimits::max_connections>,
       .help = "Open connections of callers; further ones are closed at once."},
      {.table = "limits",
       .name = "max_buffered_bytes",
       .kind = SettingKind::kBytes,
       .minimum = 4 * kKibibyte,
       .maximum = 64 * kMebibyte,
       .target = Target<&http::ServerLimits::max_buffered_bytes>,
       .help = "Bytes of one streamed response that are buffered until its caller reads them; "
               "beyond it reading from the back end pauses."},
      {.table = "limits",
       .name = "header_timeout_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = Target<&http::ServerLimits::header_timeout>,
       .help = "Time from the first byte of a request to the end of its header; later ones are "
               "rejected with 408."},
      {.table = "limits",
       .name = "body_timeout_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 10 * kMinuteMs,
       .target = Target<&http::ServerLimits::body_timeout>,
       .help = "Time from the end of a request's header to the end of its body; later ones are "
               "rejected with 408. A caller that reads nothing of its response for as long is "
               "disconnected."},
      {.table = "limits",
       .name = "idle_timeout_ms",
       .kind = SettingKind::kMilliseconds,
       .minimum = 100,
       .maximum = 60 * kMinuteMs,
       .target = Target<&http::ServerLimits::idle_timeout>,
       .help = "Time without a request after which a persistent connection is closed."},
  };
}

}  // namespace posthatch::server
