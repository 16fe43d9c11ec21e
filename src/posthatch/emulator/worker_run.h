#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/emulator/run_request.h"
#include "posthatch/emulator/worker_state.h"
#include "posthatch/http/http.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::emulator {

// One run at an emulated worker, from its start to its end: looks up cached blocks, fetches missing
// ones from the peer or store that the request names, prefills the rest, decodes and responds.
// Owned by WorkerEmulator; runs no callback after its destruction. Event loop thread only.
class WorkerRun {
 public:
  // `on_ended` runs once, as the last step; the run may be destroyed after it returns, not within.
  WorkerRun(WorkerState* state, std::string run_id, RunRequest request,
            runtime::MonotonicTime arrived, std::shared_ptr<http::ResponseWriter> writer,
            std::function<void()> on_ended);

  void Start();
  // Ends the run early; RunEnded records `reason`. `abort` also breaks the connection.
  void Cancel(const std::string& reason, bool abort);

 private:
  void Fetch();
  void OnFetched(const absl::StatusOr<http::Response>& response);
  void Prefill();
  void RecordStart();
  void StoreBlocks();
  void PushToStore();
  void BeginResponse();
  void ScheduleToken();
  void MakeToken();
  void WriteChunk(uint32_t chunk);
  void FinishResponse();
  void SendCompleteResponse();
  http::Response Head() const;
  std::string CompleteBody() const;
  uint32_t reused_blocks() const { return local_blocks_ + fetched_blocks_; }
  void End(bool completed, const std::string& reason);

  WorkerState* const state_;
  const std::string run_id_;
  const RunRequest request_;
  const runtime::MonotonicTime arrived_;
  const std::shared_ptr<http::ResponseWriter> writer_;
  const std::function<void()> on_ended_;
  runtime::Timer timer_;

  std::vector<index::BlockHash> chain_;
  std::vector<BlockMaker> makers_;  // makers of the reused blocks: local ones, then fetched ones
  uint32_t local_blocks_ = 0;
  uint32_t fetched_blocks_ = 0;
  std::string fetched_from_;
  JsonClient fetch_client_;

  ResponseIdentity response_;
  uint32_t next_chunk_ = 0;
  uint32_t truncate_at_ = UINT32_MAX;
  bool truncate_cleanly_ = false;
  uint32_t repeated_chunk_ = UINT32_MAX;
  uint32_t skipped_chunk_ = UINT32_MAX;
  bool started_ = false;  // whether RunStarted was recorded
  bool finished_ = false;
};

}  // namespace posthatch::emulator
