#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace posthatch::emulator {

// Result of checking every byte of a response body. Strict: `fault` names the first deviation from
// docs/API.md and docs/BACKENDS.md.
struct ResponseFindings {
  std::vector<uint32_t> chunks;         // chunk numbers in order of arrival
  std::vector<std::string> chunk_runs;  // distinct runs
  std::string run;
  std::string echoed_nonce;  // the first that differs from the request's, else the request's
  bool done = false;         // streams: [DONE] was received
  bool intact = false;       // every byte is what the run must have sent
  std::string code;          // code of an error response or event
  std::string executed;
  std::string fault;
};

// Reads a stream of server-sent events as it arrives. Not thread-safe.
class StreamReader {
 public:
  StreamReader(std::string nonce, uint32_t expected_chunks);

  // Parses the next bytes; returns how many chunks they completed.
  uint32_t Feed(std::string_view bytes);
  // Ends the check, once the body has ended cleanly or not: truncation and extra bytes are faults.
  void End();
  const ResponseFindings& findings() const { return findings_; }

 private:
  void ParseEvent(std::string_view event);
  void ParseChunk(const boost::json::object& chunk);
  void Fault(std::string text);

  const std::string nonce_;
  const uint32_t expected_chunks_;
  std::string pending_;
  uint32_t complete_chunks_ = 0;
  bool text_intact_ = true;
  ResponseFindings findings_;
};

// Reads a complete response of a worker (`expected_chunks` > 0) or a service, or a rejection.
ResponseFindings ReadCompleteResponse(int status, std::string_view body, const std::string& nonce,
                                      uint32_t expected_chunks);

}  // namespace posthatch::emulator
