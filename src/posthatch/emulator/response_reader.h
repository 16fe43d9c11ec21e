#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace posthatch::emulator {

// What a caller finds in a response's body, byte by byte. Strict: anything that docs/API.md and
// docs/BACKENDS.md don't allow is named in `fault` (the first one).
struct ResponseFindings {
  std::vector<uint32_t> pieces;         // numbers in order of arrival
  std::vector<std::string> piece_runs;  // distinct runs
  std::string run;
  std::string echoed_nonce;  // the first that differs from the request's, else the request's
  bool done = false;         // streams: [DONE] came
  bool intact = false;       // every byte is what the run must have said
  std::string code;          // of an error
  std::string executed;
  std::string fault;
};

// Reads a stream of server-sent events as it arrives. Not thread-safe.
class StreamReader {
 public:
  StreamReader(std::string nonce, uint32_t expected_pieces);

  // Takes the next bytes; returns how many chunks became complete.
  uint32_t Feed(std::string_view bytes);
  // The body has ended (properly or not): it must be complete, and nothing may be left over.
  void End();
  const ResponseFindings& findings() const { return findings_; }

 private:
  void ParseEvent(std::string_view event);
  void ParseChunk(const boost::json::object& piece);
  void Fault(std::string text);

  const std::string nonce_;
  const uint32_t expected_pieces_;
  std::string pending_;
  uint32_t complete_chunks_ = 0;
  bool text_intact_ = true;
  ResponseFindings findings_;
};

// Reads a complete response of a worker (`expected_pieces` > 0) or a service, or a rejection.
ResponseFindings ReadCompleteResponse(int status, std::string_view body, const std::string& nonce,
                                      uint32_t expected_pieces);

}  // namespace posthatch::emulator
