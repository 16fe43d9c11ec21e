#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/runtime/runtime.h"

// The deterministic simulator: many hosts in one thread, in virtual time, from one seed. Equal seed
// and equal calls give an equal trace hash.
namespace posthatch::simulation {

class SimHost;

// Random faults of the network, drawn from the world's seed.
struct NetworkBehaviour {
  runtime::Duration min_delay = std::chrono::microseconds(200);
  runtime::Duration max_delay = std::chrono::milliseconds(2);
  double loss = 0.0;         // of datagrams; for streams, the chance that a connection breaks
  double duplication = 0.0;  // of datagrams
  double reordering = 0.0;   // of datagrams
};

class SimWorld {
 public:
  explicit SimWorld(uint64_t seed);
  ~SimWorld();
  SimWorld(const SimWorld&) = delete;
  SimWorld& operator=(const SimWorld&) = delete;

  // A machine with its own disk. `ip` is its address; any port of it may be used.
  SimHost* AddHost(const std::string& name, const std::string& zone, const std::string& ip);
  SimHost* FindHost(const std::string& name) const;  // null if unknown
  const std::vector<SimHost*>& hosts() const;

  runtime::MonotonicTime Now() const;
  // Runs events until `duration` has passed.
  void RunFor(runtime::Duration duration);
  // Runs events until `condition` holds (checked after each event) or `limit` has passed; returns
  // whether it held.
  bool RunUntil(const std::function<bool()>& condition, runtime::Duration limit);
  // Runs `action` at a time from now, outside every host (for fault timelines).
  void At(runtime::Duration delay, std::function<void()> action);

  runtime::Random* random();
  // Hash over every trace event, message delivery and disk completion so far.
  uint64_t trace_hash() const;
  // Trace events as text lines, newest last, at most the last 10,000.
  std::vector<std::string> RecentTrace() const;

  void SetNetwork(const NetworkBehaviour& behaviour);
  // Cuts messages and connections from one host to another, in that direction only.
  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  void HealAll();
  // Extra delay on everything from one host to another; zero takes it away.
  void SlowLink(const std::string& from, const std::string& to, runtime::Duration extra_delay);

 private:
  friend class SimHost;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

class SimHost {
 public:
  // Builds the host's process on its runtime; the returned object is the process and is destroyed
  // at a crash. Called anew at each start.
  using Boot = std::function<std::shared_ptr<void>(runtime::Runtime*)>;

  virtual ~SimHost() = default;
  virtual const std::string& name() const = 0;
  virtual const std::string& zone() const = 0;
  virtual const std::string& ip() const = 0;
  // Internal endpoint (transport) of the process; default port 7000.
  virtual std::string internal_endpoint() const = 0;
  virtual std::string http_endpoint() const = 0;  // default port 8080

  virtual void SetBoot(Boot boot) = 0;
  virtual void Start() = 0;
  virtual bool running() const = 0;
  // Valid while running; for tests that talk to components directly.
  virtual runtime::Runtime* runtime() = 0;

  // The process ends at once; connections break; the operating system keeps what was written.
  virtual void Crash() = 0;
  // As Crash, and every write not synced is lost, file contents and folder entries alike; a file
  // being written may keep any prefix of its unsynced tail, by seed.
  virtual void PowerLoss() = 0;
  virtual void LoseDisk() = 0;  // only while not running: the data folder is empty at next start
  // No callback of this host runs until Thaw; its clock goes on; messages wait or are lost as by
  // a real kernel (streams wait, datagrams beyond a small buffer are lost).
  virtual void Freeze() = 0;
  virtual void Thaw() = 0;
  virtual void JumpWallClock(runtime::Duration delta) = 0;
  virtual void SetDiskDelay(runtime::Duration per_sync) = 0;  // default 1 ms
  virtual void SetDiskFull(bool full) = 0;
};

}  // namespace posthatch::simulation
