#pragma once

#include <cstdint>
#include <string>

#include "posthatch/emulator/block_cache.h"
#include "posthatch/emulator/json_client.h"
#include "posthatch/emulator/kv_event_log.h"
#include "posthatch/emulator/response_mixer.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::emulator {

// State shared by the runs of one emulated worker. Owned by WorkerEmulator, outlives its runs.
struct WorkerState {
  WorkerState(runtime::Runtime* owner_runtime, WorkerSettings worker_settings,
              fleettest::HistoryRecorder* history_recorder)
      : runtime(owner_runtime),
        settings(std::move(worker_settings)),
        recorder(history_recorder),
        cache(settings.cache_blocks),
        events(owner_runtime, settings.kept_events),
        mixer(owner_runtime->random),
        client(owner_runtime) {}

  // A time of the timing model, multiplied by the worker's slow factor.
  runtime::Duration Slowed(runtime::Duration duration) const {
    return runtime::Duration(
        static_cast<int64_t>(static_cast<double>(duration.count()) * behaviour.slow_factor));
  }

  runtime::Runtime* const runtime;
  const WorkerSettings settings;
  fleettest::HistoryRecorder* const recorder;
  WorkerBehaviour behaviour;
  BlockCache cache;
  KvEventLog events;
  ResponseMixer mixer;
  JsonClient client;
  uint64_t epoch = 0;
  uint64_t model_revision = 0;
  runtime::MonotonicTime started_at;
  uint32_t running = 0;  // runs in progress
};

}  // namespace posthatch::emulator
