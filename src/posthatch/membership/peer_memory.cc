#include "posthatch/membership/peer_memory.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace posthatch::membership {
namespace {

constexpr char kFileName[] = "/peers";
constexpr char kTemporaryName[] = "/peers.new";

}  // namespace

PeerMemory::PeerMemory(runtime::Runtime* runtime, const GossipOptions* options,
                       std::vector<std::string> seeds)
    : runtime_(runtime), options_(options), seeds_(std::move(seeds)) {}

void PeerMemory::Load() {
  if (runtime_->file_system == nullptr) return;
  const absl::StatusOr<std::string> content =
      runtime_->file_system->ReadFile(options_->peers_folder + kFileName);
  if (!content.ok()) return;
  remembered_ = absl::StrSplit(*content, '\n', absl::SkipEmpty());
}

void PeerMemory::Save(MemberTable* table) {
  if (runtime_->file_system == nullptr || writing_ || table->live_count() == 0) return;
  std::vector<std::string> peers;
  for (const MemberEntry* entry : table->PickLive(kMaxPeers, "")) {
    peers.push_back(entry->member.internal_endpoint);
  }
  std::sort(peers.begin(), peers.end());
  std::string content = absl::StrCat(absl::StrJoin(peers, "\n"), "\n");
  if (content == written_) return;
  using Kind = runtime::FileOperation::Kind;
  const std::string& folder = options_->peers_folder;
  std::vector<runtime::FileOperation> operations(5);
  operations[0] = {Kind::kCreateDirectory, folder, "", "", 0};
  operations[1] = {Kind::kWriteWhole, folder + kTemporaryName, content, "", 0};
  operations[2] = {Kind::kSync, folder + kTemporaryName, "", "", 0};
  operations[3] = {Kind::kRename, folder + kTemporaryName, "", folder + kFileName, 0};
  operations[4] = {Kind::kSyncDirectory, folder, "", "", 0};
  operations.push_back({Kind::kSyncDirectory, "", "", "", 0});
  writing_ = true;
  runtime_->file_system->Submit(
      std::move(operations), [this, alive = std::weak_ptr<bool>(alive_),
                              content = std::move(content)](const absl::Status& status) {
        if (alive.expired()) return;
        writing_ = false;
        if (status.ok()) {
          written_ = content;
        } else {
          runtime_->trace->Event(runtime::Severity::kWarning, "PeersNotWritten",
                                 {{"error", status.ToString()}});
        }
      });
}

std::vector<std::string> PeerMemory::Addresses(const std::string& self_endpoint) const {
  std::vector<std::string> addresses = seeds_;
  addresses.insert(addresses.end(), remembered_.begin(), remembered_.end());
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  std::erase(addresses, self_endpoint);
  return addresses;
}

}  // namespace posthatch::membership
