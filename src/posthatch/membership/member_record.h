#pragma once

#include <string>

#include "posthatch/membership/membership.h"
#include "posthatch/membership/membership.pb.h"

namespace posthatch::membership {

// Conversions between Member and its wire form, MemberRecord.

RecordState ToRecordState(MemberState state);
MemberState FromRecordState(RecordState state);

// Makes the wire form of `member`. Without details, the receiver must already know this incarnation
// of the member.
MemberRecord MakeRecord(const Member& member, uint32_t version, bool with_details);
// Inverse of MakeRecord; the record must have details.
Member MakeMember(const MemberRecord& record);

// Whether a record is newer than what is known at (`version`, `incarnation`, `state`).
bool Supersedes(const MemberRecord& record, uint32_t version, uint64_t incarnation,
                MemberState state);

}  // namespace posthatch::membership
