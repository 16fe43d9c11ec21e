#include "posthatch/gateway/stream_relay.h"

#include <utility>

#include "posthatch/gateway/header_names.h"

namespace posthatch::gateway {

absl::Status StreamRelay::Feed(std::string chunk) {
  absl::StatusOr<std::string> events = checker_.Feed(std::move(chunk));
  if (!events.ok()) return events.status();
  if (events->empty()) return absl::OkStatus();
  if (!response_started_) StartResponse();
  writer_->WriteChunk(*std::move(events));
  return absl::OkStatus();
}

absl::Status StreamRelay::Finish() {
  if (absl::Status status = checker_.Finish(); !status.ok()) return status;
  writer_->WriteChunk(std::string(SseStreamChecker::kDoneEvent));
  writer_->FinishStream();
  return absl::OkStatus();
}

void StreamRelay::AbortWithError(const ApiError& error) {
  writer_->WriteChunk(MakeErrorEvent(error));
  writer_->Abort();
}

void StreamRelay::StartResponse() {
  response_started_ = true;
  http::Response head;
  head.status = 200;
  head.headers.Add(header::kContentType, "text/event-stream");
  head.headers.Add("Cache-Control", "no-store");
  head.headers.Add(header::kRequestId, request_id_);
  writer_->StartStream(std::move(head));
}

}  // namespace posthatch::gateway
