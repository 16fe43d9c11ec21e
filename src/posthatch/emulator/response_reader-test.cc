#include "posthatch/emulator/response_reader.h"

#include <gtest/gtest.h>

#include <string>

#include "absl/strings/match.h"
#include "posthatch/emulator/json_body.h"
#include "posthatch/emulator/response_mixer.h"

namespace posthatch::emulator {
namespace {

std::string ChunkEvent(uint32_t number, const std::string& run = "r",
                       const std::string& nonce = "n") {
  return R"(data: {"id":")" + run + R"(","request_id":")" + nonce + R"(","piece":)" +
         std::to_string(number) + R"(,"choices":[{"index":0,"text":")" + ChunkText(run, number) +
         "\"}]}\n\n";
}

constexpr char kEnd[] = "data: [DONE]\n\n";

ResponseFindings Read(const std::string& stream, size_t feed_size, uint32_t expected = 3) {
  StreamReader reader("n", expected);
  for (size_t start = 0; start < stream.size(); start += feed_size) {
    reader.Feed(std::string_view{stream}.substr(start, feed_size));
  }
  reader.End();
  return reader.findings();
}

TEST(StreamReaderTest, IntactForAnyChunking) {
  const std::string stream = ChunkEvent(0) + ": comment\n\n" + ChunkEvent(1) + ChunkEvent(2) + kEnd;
  for (size_t feed_size = 1; feed_size <= stream.size(); ++feed_size) {
    const ResponseFindings findings = Read(stream, feed_size);
    EXPECT_TRUE(findings.intact) << findings.fault;
    EXPECT_TRUE(findings.done);
    EXPECT_EQ(findings.chunks, (std::vector<uint32_t>{0, 1, 2}));
    EXPECT_EQ(findings.chunk_runs, std::vector<std::string>{"r"});
    EXPECT_EQ(findings.echoed_nonce, "n");
  }
}

struct BrokenStream {
  const char* name;
  std::string stream;
  std::string fault;
};

class BrokenStreamTest : public ::testing::TestWithParam<BrokenStream> {};

TEST_P(BrokenStreamTest, NamesFault) {
  for (const size_t feed_size : {1u, 7u, 10000u}) {
    const ResponseFindings findings = Read(GetParam().stream, feed_size);
    EXPECT_FALSE(findings.intact);
    EXPECT_EQ(findings.fault, GetParam().fault);
  }
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

INSTANTIATE_TEST_SUITE_P(
    All, BrokenStreamTest,
    ::testing::Values(
        BrokenStream{"Skipped", ChunkEvent(0) + ChunkEvent(2) + kEnd, "piece 2 in place 1"},
        BrokenStream{"Repeated", ChunkEvent(0) + ChunkEvent(0) + kEnd, "piece 0 in place 1"},
        BrokenStream{"Joined", ChunkEvent(0) + ChunkEvent(1, "s") + ChunkEvent(2, "s") + kEnd,
                     "pieces of two runs"},
        BrokenStream{"Crossed", ChunkEvent(0, "s", "m") + kEnd, "another request's id"},
        BrokenStream{"TruncatedAfterChunk", ChunkEvent(0) + ChunkEvent(1), "end without [DONE]"},
        BrokenStream{"TruncatedInChunk", ChunkEvent(0) + ChunkEvent(1).substr(0, 20),
                     "event cut in the middle"},
        BrokenStream{"LastChunkMissing", ChunkEvent(0) + ChunkEvent(1) + kEnd, "2 pieces of 3"},
        BrokenStream{"ChunkAfterEnd", ChunkEvent(0) + kEnd + ChunkEvent(1), "event after [DONE]"},
        BrokenStream{"TextChanged", Replaced(ChunkEvent(0), "r.0", "r.9") + kEnd,
                     "text is not what the run said"},
        BrokenStream{"NotJson", std::string("data: {\n\n") + kEnd,
                     "event that is not a JSON object"},
        BrokenStream{"StrayLine", std::string("hello\n\n") + kEnd,
                     "line that is neither data nor event"}),
    [](const auto& info) { return info.param.name; });

TEST(StreamReaderTest, ErrorEventEndsStream) {
  const ResponseFindings findings =
      Read(ChunkEvent(0) +
               "event: error\ndata: {\"error\":{\"code\":\"backend_failed\",\"executed\":"
               "\"unknown\"}}\n\n",
           5);
  EXPECT_EQ(findings.code, "backend_failed");
  EXPECT_EQ(findings.executed, "unknown");
  EXPECT_FALSE(findings.intact);
  EXPECT_FALSE(findings.done);
}

TEST(CompleteResponseTest, ChecksChecksumNonceAndLength) {
  const auto body = [](const std::string& text, const std::string& checked) {
    return R"({"id":"r","request_id":"n","choices":[{"index":0,"text":")" + text +
           R"("}],"checksum":")" + Checksum(checked) + "\"}";
  };
  const std::string text = ResponseText("r", 3);
  EXPECT_TRUE(ReadCompleteResponse(200, body(text, text), "n", 3).intact);
  EXPECT_FALSE(ReadCompleteResponse(200, body(text + "x", text), "n", 3).intact);
  EXPECT_FALSE(ReadCompleteResponse(200, body(text, text), "n", 4).intact);
  EXPECT_EQ(ReadCompleteResponse(200, body(text, text), "m", 3).fault, "another request's id");
  EXPECT_NE(ReadCompleteResponse(200, body(text, text).substr(0, 30), "n", 3).fault, "");
}

TEST(CompleteResponseTest, RejectionsCarryCodeAndExecuted) {
  const http::Response rejection = NotExecuted(503, "no_lease", "text");
  const ResponseFindings findings = ReadCompleteResponse(503, rejection.body, "n", 3);
  EXPECT_EQ(findings.code, "no_lease");
  EXPECT_EQ(findings.executed, "no");
  EXPECT_EQ(ReadCompleteResponse(503, "{}", "n", 3).fault, "refusal without a code");
}

}  // namespace
}  // namespace posthatch::emulator
