#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace posthatch::routing {

// Frames a stream of server-sent events: relays complete events only, since a worker's stream may
// be truncated within one. Tracks the events' ids, so that a stream can be resumed at another
// worker with no event lost or repeated. One per response; not thread-safe.
class SseFramer {
 public:
  // Appends `bytes` to the stream; returns all events that are complete by now, except those whose
  // numeric id is not above that of the last event.
  std::string Feed(std::string_view bytes);

  // Drops the incomplete event: the stream resumes at another worker after last_event_id().
  void DiscardPartial() { pending_.clear(); }

  // Whether no incomplete event is buffered.
  bool at_event_boundary() const { return pending_.empty(); }
  // Id of the last relayed event that had an id, or the id given to SetLastEventId; empty if there
  // is none.
  const std::string& last_event_id() const { return last_event_id_; }
  // Number of events relayed so far.
  uint64_t events() const { return events_; }

  // The caller already has the events up to this id.
  void SetLastEventId(std::string_view id);

 private:
  void AppendEvent(std::string_view event, std::string* out);

  std::string pending_;
  std::string last_event_id_;
  std::optional<uint64_t> last_number_;
  uint64_t events_ = 0;
};

}  // namespace posthatch::routing
