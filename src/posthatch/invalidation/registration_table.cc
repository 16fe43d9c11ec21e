#include "posthatch/invalidation/registration_table.h"

namespace posthatch::invalidation {

Registration* RegistrationTable::Find(const std::string& channel,
                                      const std::string& endpoint) const {
  const auto found = registrations_.find(Key(channel, endpoint));
  return found == registrations_.end() ? nullptr : found->second.get();
}

void RegistrationTable::Add(std::unique_ptr<Registration> registration) {
  const Key key(registration->channel, registration->endpoint);
  heartbeat_schedule_.insert({registration->next_heartbeat_at, key});
  ++count_by_channel_[registration->channel];
  registrations_[key] = std::move(registration);
}

void RegistrationTable::Erase(const std::string& channel, const std::string& endpoint) {
  const Key key(channel, endpoint);
  const auto found = registrations_.find(key);
  if (found == registrations_.end()) return;
  heartbeat_schedule_.erase({found->second->next_heartbeat_at, key});
  const auto count = count_by_channel_.find(channel);
  if (--count->second == 0) count_by_channel_.erase(count);
  registrations_.erase(found);
}

void RegistrationTable::ScheduleHeartbeat(Registration* registration,
                                          runtime::MonotonicTime next_heartbeat_at) {
  const Key key(registration->channel, registration->endpoint);
  heartbeat_schedule_.erase({registration->next_heartbeat_at, key});
  registration->next_heartbeat_at = next_heartbeat_at;
  heartbeat_schedule_.insert({next_heartbeat_at, key});
}

Registration* RegistrationTable::NextHeartbeat() const {
  if (heartbeat_schedule_.empty()) return nullptr;
  return registrations_.find(heartbeat_schedule_.begin()->second)->second.get();
}

std::vector<Registration*> RegistrationTable::FindByChannel(const std::string& channel) const {
  std::vector<Registration*> found;
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    found.push_back(it->second.get());
  }
  return found;
}

size_t RegistrationTable::CountByChannel(const std::string& channel) const {
  const auto count = count_by_channel_.find(channel);
  return count == count_by_channel_.end() ? 0 : count->second;
}

}  // namespace posthatch::invalidation
