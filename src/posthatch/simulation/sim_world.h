#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/runtime/runtime.h"

// The deterministic simulator: many hosts in one thread, in virtual time, from one seed. Equal
// seeds and equal calls give equal trace hashes.
namespace posthatch::simulation {

class ProcessorModel;
class SimHost;
class SimHostImpl;
struct WorldCore;

// Random faults of the network, drawn from the world's seed.
struct NetworkBehaviour {
  runtime::Duration min_delay = std::chrono::microseconds(200);
  runtime::Duration max_delay = std::chrono::milliseconds(2);
  // Probability that a message is lost. A lost datagram is dropped; a lost stream message waits
  // 200 ms for its retransmission, and one in ten breaks the connection instead.
  double loss = 0.0;
  double duplication = 0.0;  // probability per datagram
  double reordering = 0.0;   // probability per datagram
};

// Responses that an HTTP server sends too often: a copy of a complete response follows it, in the
// place of the response to the next request on the connection.
struct ResponseCopies {
  double share = 0.0;  // probability that a copy follows a response, and that another follows it
  runtime::Duration min_delay = std::chrono::microseconds(100);
  runtime::Duration max_delay = std::chrono::milliseconds(5);
};

class SimWorld {
 public:
  static constexpr uint16_t kDefaultInternalPort = 7000;
  static constexpr uint16_t kDefaultHttpPort = 8080;

  explicit SimWorld(uint64_t seed);
  ~SimWorld();
  SimWorld(const SimWorld&) = delete;
  SimWorld& operator=(const SimWorld&) = delete;

  // Adds one process with its own disk, on the machine with address `ip`; `name` is its node id.
  // Hosts may share an IP address if their ports differ or they don't run at once (the one that
  // runs listens on the shared endpoints). A process may listen on any port of its IP address.
  SimHost* AddHost(const std::string& name, const std::string& zone, const std::string& ip,
                   uint16_t internal_port = kDefaultInternalPort,
                   uint16_t http_port = kDefaultHttpPort);
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
  // Hash of all trace events, message deliveries and disk completions so far.
  uint64_t trace_hash() const;
  // Like trace_hash, but without the text of trace events: unchanged when an event is renamed.
  uint64_t behaviour_hash() const;
  // Trace events as text lines, newest last, at most the last 10,000.
  std::vector<std::string> RecentTrace() const;

  void SetNetwork(const NetworkBehaviour& behaviour);
  // Partitions one host from another, in this direction only. Connections stall; they continue if
  // the partition is healed in time, and break after 8 to 16 s otherwise. Unknown names abort the
  // program: a scenario that names them is wrong.
  void Partition(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  void HealAll();
  // Delays every message from one host to another by `extra_delay` more; zero removes the delay.
  void SlowLink(const std::string& from, const std::string& to, runtime::Duration extra_delay);

 private:
  uint32_t NumberOf(const std::string& host_name) const;

  std::unique_ptr<WorldCore> core_;
  std::vector<std::unique_ptr<SimHostImpl>> owned_hosts_;
  std::vector<SimHost*> hosts_;
  std::map<std::string, SimHost*> hosts_by_name_;
};

class SimHost {
 public:
  // Builds the host's process on its runtime; the returned object is the process and is destroyed
  // at a crash. Called at each start. The runtime outlives the process and ignores calls after its
  // end.
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

  // The process ends immediately. Connections break, which some peers see with a delay; the
  // operating system keeps written files and refuses new connections. May be called by the process
  // itself; it then ends when the running callback returns.
  virtual void Crash() = 0;
  // Like Crash, but the machine is off: peers get no response until the next Start, and every write
  // not synced is lost, file contents and folder entries alike; a random prefix of a file's
  // unsynced tail may remain.
  virtual void PowerLoss() = 0;
  // Empties the data folder; ignored while the process is running.
  virtual void LoseDisk() = 0;
  // No callback of this host runs until Thaw. Its clock continues; stream messages wait as in a
  // real kernel, and datagrams beyond a small buffer are lost.
  virtual void Freeze() = 0;
  virtual void Thaw() = 0;
  virtual void JumpWallClock(runtime::Duration delta) = 0;
  virtual void SetDiskDelay(runtime::Duration per_sync) = 0;  // default 1 ms
  virtual void SetDiskFull(bool full) = 0;
  // Null, the default: the process needs no processor time. Must be set while it isn't running.
  virtual void SetProcessor(ProcessorModel* processor) = 0;
  // Applies to the HTTP servers of this host.
  virtual void SetResponseCopies(const ResponseCopies& copies) = 0;
};

}  // namespace posthatch::simulation
