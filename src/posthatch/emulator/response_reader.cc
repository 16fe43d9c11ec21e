#include "posthatch/emulator/response_reader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/response_mixer.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

namespace json = boost::json;

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

void ParseError(const json::object& body, ResponseFindings* findings) {
  const json::object* error = ObjectField(body, "error");
  if (error == nullptr) return;
  findings->code = TextField(*error, "code");
  findings->executed = TextField(*error, "executed");
}

std::string FirstChoiceText(const json::object& body) {
  const json::array* choices = ArrayField(body, "choices");
  if (choices == nullptr || choices->size() != 1) return {};
  const json::object* choice = choices->front().if_object();
  return choice == nullptr ? std::string() : TextField(*choice, "text");
}

}  // namespace

StreamReader::StreamReader(std::string nonce, uint32_t expected_chunks)
    : nonce_(std::move(nonce)), expected_chunks_(expected_chunks) {}

uint32_t StreamReader::Feed(std::string_view bytes) {
  const uint32_t before = complete_chunks_;
  pending_ += bytes;
  size_t start = 0;
  for (;;) {
    const size_t end = pending_.find(kEventEnd, start);
    if (end == std::string::npos) break;
    ParseEvent(std::string_view{pending_}.substr(start, end - start));
    start = end + kEventEnd.size();
  }
  pending_.erase(0, start);
  return complete_chunks_ - before;
}

void StreamReader::ParseEvent(std::string_view event) {
  std::string type;
  std::string data;
  for (const absl::string_view line : absl::StrSplit(util::ToAbsl(event), '\n')) {
    absl::string_view value = line;
    if (absl::StartsWith(line, ":")) continue;  // a comment keeps the connection alive
    if (absl::ConsumePrefix(&value, "event: ")) {
      type = std::string{util::ToStd(value)};
    } else if (absl::ConsumePrefix(&value, "data: ")) {
      data += util::ToStd(value);
    } else {
      Fault("line that is neither data nor event");
    }
  }
  if (findings_.done) Fault("event after [DONE]");
  if (data.empty()) return;
  if (data == kDone) {
    findings_.done = true;
    return;
  }
  const absl::StatusOr<json::object> body = ParseObject(data);
  if (!body.ok()) {
    Fault("event that is not a JSON object");
  } else if (type == "error") {
    ParseError(*body, &findings_);
  } else {
    ParseChunk(*body);
  }
}

void StreamReader::ParseChunk(const json::object& chunk) {
  const uint64_t number = NumberField(chunk, "piece", UINT64_MAX);
  const std::string run = TextField(chunk, "id");
  if (number > UINT32_MAX || run.empty()) {
    Fault("piece without number or run");
    return;
  }
  if (number != findings_.chunks.size()) {
    Fault(absl::StrCat("piece ", number, " in place ", findings_.chunks.size()));
  }
  findings_.chunks.push_back(static_cast<uint32_t>(number));
  auto& runs = findings_.chunk_runs;
  if (std::find(runs.begin(), runs.end(), run) == runs.end()) runs.push_back(run);
  if (runs.size() > 1) Fault("pieces of two runs");
  if (findings_.run.empty()) findings_.run = run;
  const std::string echoed = TextField(chunk, "request_id");
  if (findings_.echoed_nonce.empty() || echoed != nonce_) findings_.echoed_nonce = echoed;
  if (echoed != nonce_) Fault("another request's id");
  if (FirstChoiceText(chunk) != ChunkText(run, static_cast<uint32_t>(number))) {
    text_intact_ = false;
    Fault("text is not what the run said");
  }
  ++complete_chunks_;
}

void StreamReader::End() {
  if (!pending_.empty()) Fault("event cut in the middle");
  if (!findings_.done && findings_.code.empty()) Fault("end without [DONE]");
  if (findings_.done && findings_.chunks.size() != expected_chunks_) {
    Fault(absl::StrCat(findings_.chunks.size(), " pieces of ", expected_chunks_));
  }
  findings_.intact = text_intact_ && findings_.done && findings_.fault.empty();
}

void StreamReader::Fault(std::string text) {
  if (findings_.fault.empty()) findings_.fault = std::move(text);
}

ResponseFindings ReadCompleteResponse(int status, std::string_view body, const std::string& nonce,
                                      uint32_t expected_chunks) {
  ResponseFindings findings;
  const absl::StatusOr<json::object> parsed = ParseObject(body);
  if (!parsed.ok()) {
    findings.fault = std::string(util::ToStd(parsed.status().message()));
    return findings;
  }
  if (status != 200) {
    ParseError(*parsed, &findings);
    if (findings.code.empty()) findings.fault = "refusal without a code";
    return findings;
  }
  const bool worker = expected_chunks > 0;
  findings.run = TextField(*parsed, worker ? "id" : "run");
  findings.echoed_nonce = TextField(*parsed, "request_id");
  const std::string text = worker ? FirstChoiceText(*parsed) : TextField(*parsed, "result");
  if (findings.echoed_nonce != nonce) findings.fault = "another request's id";
  findings.intact = TextField(*parsed, "checksum") == Checksum(text);
  if (worker && text != ResponseText(findings.run, expected_chunks)) findings.intact = false;
  if (!findings.intact && findings.fault.empty()) findings.fault = "text is not what the run said";
  return findings;
}

}  // namespace posthatch::emulator
