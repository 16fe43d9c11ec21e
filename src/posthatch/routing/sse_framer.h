#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace posthatch::routing {

// Cuts a stream of server-sent events into whole events: a part of an event is never passed on,
// since a worker may break off in the middle of one. Follows the events' ids, so that a stream can
// go on at another worker without an event missing or coming twice. One per answer.
class SseFramer {
 public:
  // Takes bytes; returns those of all events that are whole by now, without events whose id is not
  // above the last one's.
  std::string Feed(std::string_view bytes);

  // A new worker goes on after last_event_id(): what is left of a broken event is dropped.
  void DiscardPartial() { pending_.clear(); }

  // True if no part of an event is waiting.
  bool at_event_boundary() const { return pending_.empty(); }
  // Id of the last event that was passed on; empty if it had none.
  const std::string& last_event_id() const { return last_event_id_; }
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
