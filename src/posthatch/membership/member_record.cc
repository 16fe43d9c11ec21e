#include "posthatch/membership/member_record.h"

namespace posthatch::membership {

RecordState ToRecordState(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return RECORD_ALIVE;
    case MemberState::kSuspect:
      return RECORD_SUSPECT;
    case MemberState::kDead:
      return RECORD_DEAD;
    case MemberState::kLeft:
      return RECORD_LEFT;
  }
  return RECORD_DEAD;
}

MemberState FromRecordState(RecordState state) {
  switch (state) {
    case RECORD_ALIVE:
      return MemberState::kAlive;
    case RECORD_SUSPECT:
      return MemberState::kSuspect;
    case RECORD_LEFT:
      return MemberState::kLeft;
    default:
      return MemberState::kDead;
  }
}

MemberRecord MakeRecord(const Member& member, uint32_t version, bool with_details) {
  MemberRecord record;
  record.set_node_id(member.node_id);
  record.set_incarnation(member.incarnation);
  record.set_version(version);
  record.set_state(ToRecordState(member.state));
  if (!with_details) return record;
  MemberDetails* details = record.mutable_details();
  details->set_role(member.role == MemberRole::kController ? RECORD_CONTROLLER : RECORD_GATEWAY);
  details->set_zone(member.zone);
  details->set_region(member.region);
  details->set_internal_endpoint(member.internal_endpoint);
  details->set_http_endpoint(member.http_endpoint);
  return record;
}

Member MakeMember(const MemberRecord& record) {
  Member member;
  member.node_id = record.node_id();
  member.incarnation = record.incarnation();
  member.state = FromRecordState(record.state());
  member.role =
      record.details().role() == RECORD_CONTROLLER ? MemberRole::kController : MemberRole::kGateway;
  member.zone = record.details().zone();
  member.region = record.details().region();
  member.internal_endpoint = record.details().internal_endpoint();
  member.http_endpoint = record.details().http_endpoint();
  return member;
}

bool Supersedes(const MemberRecord& record, uint32_t version, uint64_t incarnation,
                MemberState state) {
  if (record.version() != version) return record.version() > version;
  if (record.incarnation() != incarnation) return record.incarnation() > incarnation;
  return record.state() > ToRecordState(state);
}

}  // namespace posthatch::membership
