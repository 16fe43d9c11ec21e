#include "posthatch/fleettest/history/recorders.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::fleettest {
namespace {

// Removes an incomplete last line. The killed process that left it had not yet done what the event
// records, and a line appended after it would make it look malformed.
absl::Status TruncatePartialLine(const std::string& path) {
  std::error_code error;
  const uintmax_t size = std::filesystem::file_size(path, error);
  if (error) return absl::OkStatus();  // no file yet
  std::ifstream file(path, std::ios::binary);
  uintmax_t end = size;
  for (char last = 0; end > 0; --end) {
    file.seekg(static_cast<std::streamoff>(end - 1));
    if (!file.get(last)) return absl::UnavailableError(absl::StrCat("can't read ", path));
    if (last == '\n') break;
  }
  if (end == size) return absl::OkStatus();
  std::filesystem::resize_file(path, end, error);
  return error ? absl::UnavailableError(absl::StrCat("can't truncate ", path)) : absl::OkStatus();
}

}  // namespace

absl::StatusOr<std::unique_ptr<JsonlHistoryRecorder>> JsonlHistoryRecorder::Open(
    const runtime::Clock* clock, std::string recorder_name, const std::string& path) {
  if (absl::Status truncated = TruncatePartialLine(path); !truncated.ok()) return truncated;
  std::FILE* file = std::fopen(path.c_str(), "ae");
  if (file == nullptr) {
    return absl::UnavailableError(
        absl::StrCat("can't append to history ", path, ": ", std::strerror(errno)));
  }
  // Unbuffered, so that each line is written by one call.
  if (std::setvbuf(file, nullptr, _IONBF, 0) != 0) {
    std::fclose(file);
    return absl::UnavailableError(absl::StrCat("can't write history ", path, " unbuffered"));
  }
  return std::unique_ptr<JsonlHistoryRecorder>(
      new JsonlHistoryRecorder(clock, std::move(recorder_name), file));
}

JsonlHistoryRecorder::JsonlHistoryRecorder(const runtime::Clock* clock, std::string recorder_name,
                                           std::FILE* file)
    : clock_(clock), recorder_name_(std::move(recorder_name)), file_(file) {}

JsonlHistoryRecorder::~JsonlHistoryRecorder() { std::fclose(file_); }

void JsonlHistoryRecorder::Record(HistoryEvent event) {
  event.set_time_ns(runtime::ToNanoseconds(clock_->Now()));
  event.set_recorder(recorder_name_);
  std::string line;
  if (!google::protobuf::util::MessageToJsonString(event, &line).ok()) {
    ++lost_events_;
    return;
  }
  line.push_back('\n');
  if (std::fwrite(line.data(), 1, line.size(), file_) != line.size()) ++lost_events_;
}

MemoryHistoryRecorder::MemoryHistoryRecorder(const runtime::Clock* clock, std::string recorder_name,
                                             std::vector<HistoryEvent>* events)
    : clock_(clock), recorder_name_(std::move(recorder_name)), events_(events) {}

void MemoryHistoryRecorder::Record(HistoryEvent event) {
  event.set_time_ns(runtime::ToNanoseconds(clock_->Now()));
  event.set_recorder(recorder_name_);
  events_->push_back(std::move(event));
}

absl::StatusOr<LoadedHistory> LoadHistory(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return absl::NotFoundError(absl::StrCat("no history at ", path));
  LoadedHistory history;
  std::string line;
  size_t line_number = 0;
  while (std::getline(file, line)) {
    ++line_number;
    const bool complete = !file.eof();
    HistoryEvent event;
    const bool parsed = google::protobuf::util::JsonStringToMessage(line, &event).ok();
    if (!complete) {
      history.truncated_end = true;
      break;
    }
    if (!parsed) {
      return absl::DataLossError(absl::StrCat("malformed event at ", path, ":", line_number));
    }
    history.events.push_back(std::move(event));
  }
  return history;
}

void SortByTime(std::vector<HistoryEvent>* events) {
  std::stable_sort(events->begin(), events->end(),
                   [](const HistoryEvent& left, const HistoryEvent& right) {
                     return left.time_ns() < right.time_ns();
                   });
}

}  // namespace posthatch::fleettest
