#pragma once

#include <string_view>

// Header fields of the callers' interface (docs/API.md) and of back ends (docs/BACKENDS.md).
namespace posthatch::gateway::header {

inline constexpr std::string_view kAuthorization = "Authorization";
inline constexpr std::string_view kContentType = "Content-Type";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kRequestId = "X-Request-Id";

// From the gateway to a back end.
inline constexpr std::string_view kAttempt = "X-Posthatch-Attempt";  // nonce; must be echoed
inline constexpr std::string_view kAttemptNumber = "X-Posthatch-Attempt-Number";
inline constexpr std::string_view kGateway = "X-Posthatch-Gateway";
inline constexpr std::string_view kTenant = "X-Posthatch-Tenant";
inline constexpr std::string_view kDeadlineMs = "X-Posthatch-Deadline-Ms";
inline constexpr std::string_view kCacheSalt = "X-Posthatch-Cache-Salt";
inline constexpr std::string_view kModelRevision = "X-Posthatch-Model-Revision";
inline constexpr std::string_view kKvSource = "X-Posthatch-Kv-Source";
inline constexpr std::string_view kKvBlocks = "X-Posthatch-Kv-Blocks";

// From a worker to the gateway.
inline constexpr std::string_view kWorkerEpoch = "X-Worker-Epoch";
inline constexpr std::string_view kWorkerCachedBlocks = "X-Worker-Cached-Blocks";

}  // namespace posthatch::gateway::header
