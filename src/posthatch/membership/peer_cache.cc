#include "posthatch/membership/peer_cache.h"

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

PeerCache::PeerCache(runtime::Runtime* runtime, const GossipOptions* options,
                     std::vector<std::string> seeds)
    : runtime_(runtime), options_(options), seeds_(std::move(seeds)) {}

void PeerCache::Load() {
  if (runtime_->file_system == nullptr) return;
  const absl::StatusOr<std::string> content =
      runtime_->file_system->ReadFile(options_->peers_directory + kFileName);
  if (!content.ok()) return;
  cached_peers_ = absl::StrSplit(*content, '\n', absl::SkipEmpty());
}

void PeerCache::Save(MemberTable* table) {
  if (runtime_->file_system == nullptr || writing_ || table->live_count() == 0) return;
  std::vector<std::string> peers;
  for (const MemberEntry* entry : table->PickLive(kMaxPeers, "")) {
    peers.push_back(entry->member.internal_endpoint);
  }
  std::sort(peers.begin(), peers.end());
  std::string content = absl::StrCat(absl::StrJoin(peers, "\n"), "\n");
  if (content == last_written_) return;
  using Kind = runtime::FileOperation::Kind;
  const std::string& directory = options_->peers_directory;
  std::vector<runtime::FileOperation> operations(5);
  operations[0] = {Kind::kCreateDirectory, directory, "", "", 0};
  operations[1] = {Kind::kFullWrite, directory + kTemporaryName, content, "", 0};
  operations[2] = {Kind::kSync, directory + kTemporaryName, "", "", 0};
  operations[3] = {Kind::kRename, directory + kTemporaryName, "", directory + kFileName, 0};
  operations[4] = {Kind::kSyncDirectory, directory, "", "", 0};
  operations.push_back({Kind::kSyncDirectory, "", "", "", 0});
  writing_ = true;
  runtime_->file_system->Submit(
      std::move(operations),
      lifetime_.Guard([this, content = std::move(content)](const absl::Status& status) {
        writing_ = false;
        if (status.ok()) {
          last_written_ = content;
        } else {
          runtime_->trace->Event(runtime::Severity::kWarning, "PeerCacheWriteFailed",
                                 {{"error", status.ToString()}});
        }
      }));
}

std::vector<std::string> PeerCache::Addresses(const std::string& self_endpoint) const {
  std::vector<std::string> addresses = seeds_;
  addresses.insert(addresses.end(), cached_peers_.begin(), cached_peers_.end());
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  std::erase(addresses, self_endpoint);
  return addresses;
}

}  // namespace posthatch::membership
