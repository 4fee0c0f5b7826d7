#include "mangospan/wire/internal/fields.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mangospan::wire::internal {

using nlohmann::json;

namespace {

// The library converts numbers freely; a wrong type is an error here.
template<typename Number>
void
Take(const json& aFields, const char* aKey, Number& aOut)
{
  const json& value = aFields.at(aKey);
  if (!value.is_number_unsigned()) {
    throw json::type_error::create(
      302, std::string(aKey) + " must be an unsigned number", &value);
  }
  aOut = static_cast<Number>(value.get<std::uint64_t>());
}

void
Take(const json& aFields, const char* aKey, std::string& aOut)
{
  aOut = aFields.at(aKey).get_ref<const std::string&>();
}

void
Take(const json& aFields, const char* aKey, bool& aOut)
{
  aOut = aFields.at(aKey).get_ref<const bool&>();
}

template<typename Tag>
void
Take(const json& aFields, const char* aKey, name<Tag>& aOut)
{
  Take(aFields, aKey, aOut.mValue);
}

void
Take(const json& aFields, const char* aKey, boot_id& aOut)
{
  Take(aFields, aKey, aOut.mValue);
}

void
Take(const json& aFields, const char* aKey, std::chrono::microseconds& aOut)
{
  std::uint64_t count = 0;
  Take(aFields, aKey, count);
  aOut = std::chrono::microseconds(count);
}

template<typename Enum>
void
TakeEnum(const json& aFields, const char* aKey, Enum aLast, Enum& aOut)
{
  std::uint64_t value = 0;
  Take(aFields, aKey, value);
  if (value > static_cast<std::uint64_t>(aLast)) {
    throw json::out_of_range::create(
      401, std::string(aKey) + " is out of range", &aFields);
  }
  aOut = static_cast<Enum>(value);
}

// The items of lists and nested values.
json
Write(const view::version& aItem);
void
Read(const json& aFields, view::version& aOut);
json
Write(const view::entry_id& aItem);
void
Read(const json& aFields, view::entry_id& aOut);
json
Write(const view::slot_share& aItem);
void
Read(const json& aFields, view::slot_share& aOut);
json
Write(const view::endpoint& aItem);
void
Read(const json& aFields, view::endpoint& aOut);
json
Write(const view::entry_member& aItem);
void
Read(const json& aFields, view::entry_member& aOut);
json
Write(const held_share& aItem);
void
Read(const json& aFields, held_share& aOut);
json
Write(const class_demand& aItem);
void
Read(const json& aFields, class_demand& aOut);
json
Write(const emptied_host& aItem);
void
Read(const json& aFields, emptied_host& aOut);
json
Write(const host_name& aItem);
void
Read(const json& aFields, host_name& aOut);

template<typename Item>
json
WriteList(const std::vector<Item>& aItems)
{
  json out = json::array();
  for (const Item& each : aItems) {
    out.push_back(Write(each));
  }
  return out;
}

template<typename Item>
void
TakeList(const json& aFields, const char* aKey, std::vector<Item>& aOut)
{
  const auto& items = aFields.at(aKey).get_ref<const json::array_t&>();
  aOut.reserve(items.size());
  for (const json& each : items) {
    Item item;
    Read(each, item);
    aOut.push_back(std::move(item));
  }
}

json
Write(const view::version& aVersion)
{
  return { { "term", aVersion.mTerm }, { "seq", aVersion.mSequence } };
}

void
Read(const json& aFields, view::version& aOut)
{
  Take(aFields, "term", aOut.mTerm);
  Take(aFields, "seq", aOut.mSequence);
}

json
Write(const view::entry_id& aId)
{
  return { { "host", aId.mHost.Str() }, { "boot", aId.mBoot.mValue } };
}

void
Read(const json& aFields, view::entry_id& aOut)
{
  Take(aFields, "host", aOut.mHost);
  Take(aFields, "boot", aOut.mBoot);
}

json
Write(const view::slot_share& aShare)
{
  return { { "entry", Write(aShare.mEntry) }, { "slots", aShare.mSlots } };
}

void
Read(const json& aFields, view::slot_share& aOut)
{
  Read(aFields.at("entry"), aOut.mEntry);
  Take(aFields, "slots", aOut.mSlots);
}

json
Write(const view::endpoint& aEndpoint)
{
  return { { "host", aEndpoint.mHost.Str() },
           { "addr", aEndpoint.mAddress },
           { "pool", aEndpoint.mPool.Str() },
           { "service", aEndpoint.mService.Str() },
           { "state", static_cast<std::uint64_t>(aEndpoint.mState) },
           { "epoch", aEndpoint.mEpoch },
           { "shares", WriteList(aEndpoint.mShares) } };
}

void
Read(const json& aFields, view::endpoint& aOut)
{
  Take(aFields, "host", aOut.mHost);
  Take(aFields, "addr", aOut.mAddress);
  Take(aFields, "pool", aOut.mPool);
  Take(aFields, "service", aOut.mService);
  TakeEnum(aFields, "state", view::endpoint_state::kDraining, aOut.mState);
  Take(aFields, "epoch", aOut.mEpoch);
  TakeList(aFields, "shares", aOut.mShares);
}

json
Write(const view::entry_member& aMember)
{
  return { { "id", Write(aMember.mId) }, { "addr", aMember.mPeerAddress } };
}

void
Read(const json& aFields, view::entry_member& aOut)
{
  Read(aFields.at("id"), aOut.mId);
  Take(aFields, "addr", aOut.mPeerAddress);
}

json
Write(const held_share& aShare)
{
  return { { "host", aShare.mHost.Str() },
           { "epoch", aShare.mEpoch },
           { "slots", aShare.mSlots } };
}

void
Read(const json& aFields, held_share& aOut)
{
  Take(aFields, "host", aOut.mHost);
  Take(aFields, "epoch", aOut.mEpoch);
  Take(aFields, "slots", aOut.mSlots);
}

json
Write(const class_demand& aDemand)
{
  return { { "class", aDemand.mClass.Str() },
           { "arrivals", aDemand.mArrivals },
           { "answered", aDemand.mAnswered },
           { "late", aDemand.mLate },
           { "refused", aDemand.mRefused },
           { "busy_us", static_cast<std::uint64_t>(aDemand.mBusy.count()) },
           { "queued", aDemand.mQueued } };
}

void
Read(const json& aFields, class_demand& aOut)
{
  Take(aFields, "class", aOut.mClass);
  Take(aFields, "arrivals", aOut.mArrivals);
  Take(aFields, "answered", aOut.mAnswered);
  Take(aFields, "late", aOut.mLate);
  Take(aFields, "refused", aOut.mRefused);
  Take(aFields, "busy_us", aOut.mBusy);
  Take(aFields, "queued", aOut.mQueued);
}

json
Write(const emptied_host& aHost)
{
  return { { "host", aHost.mHost.Str() }, { "epoch", aHost.mEpoch } };
}

void
Read(const json& aFields, emptied_host& aOut)
{
  Take(aFields, "host", aOut.mHost);
  Take(aFields, "epoch", aOut.mEpoch);
}

json
Write(const host_name& aHost)
{
  return aHost.Str();
}

void
Read(const json& aField, host_name& aOut)
{
  aOut.mValue = aField.get_ref<const std::string&>();
}

} // namespace

json
Write(const sender& aSender)
{
  return { { "role", static_cast<std::uint64_t>(aSender.mRole) },
           { "host", aSender.mHost.Str() },
           { "zone", aSender.mZone.Str() },
           { "boot", aSender.mBoot.mValue },
           { "term", aSender.mTerm } };
}

void
Read(const json& aFields, sender& aSender)
{
  TakeEnum(aFields, "role", process_role::kFleet, aSender.mRole);
  Take(aFields, "host", aSender.mHost);
  Take(aFields, "zone", aSender.mZone);
  Take(aFields, "boot", aSender.mBoot);
  Take(aFields, "term", aSender.mTerm);
}

json
Write(const hello& aMessage)
{
  return { { "addr", aMessage.mPeerAddress },
           { "view", Write(aMessage.mView) },
           { "config", aMessage.mConfigRevision },
           { "shares", WriteList(aMessage.mShares) },
           { "term_heard", aMessage.mTermHeard } };
}

void
Read(const json& aFields, hello& aMessage)
{
  Take(aFields, "addr", aMessage.mPeerAddress);
  Read(aFields.at("view"), aMessage.mView);
  Take(aFields, "config", aMessage.mConfigRevision);
  TakeList(aFields, "shares", aMessage.mShares);
  Take(aFields, "term_heard", aMessage.mTermHeard);
}

json
Write(const heartbeat& aMessage)
{
  return { { "view", Write(aMessage.mView) },
           { "config", aMessage.mConfigRevision },
           { "registered", aMessage.mRegistered } };
}

void
Read(const json& aFields, heartbeat& aMessage)
{
  Read(aFields.at("view"), aMessage.mView);
  Take(aFields, "config", aMessage.mConfigRevision);
  Take(aFields, "registered", aMessage.mRegistered);
}

json
Write(const view_push& aMessage)
{
  const view::zone_view& pushed = aMessage.mView;
  return { { "version", Write(pushed.mVersion) },
           { "zone", pushed.mZone.Str() },
           { "endpoints", WriteList(pushed.mEndpoints) },
           { "entries", WriteList(pushed.mEntries) } };
}

void
Read(const json& aFields, view_push& aMessage)
{
  view::zone_view& pushed = aMessage.mView;
  Read(aFields.at("version"), pushed.mVersion);
  Take(aFields, "zone", pushed.mZone);
  TakeList(aFields, "endpoints", pushed.mEndpoints);
  TakeList(aFields, "entries", pushed.mEntries);
}

json
Write(const config_push& aMessage)
{
  return { { "revision", aMessage.mRevision },
           { "base", aMessage.mBaseRevision },
           { "text", aMessage.mText } };
}

void
Read(const json& aFields, config_push& aMessage)
{
  Take(aFields, "revision", aMessage.mRevision);
  Take(aFields, "base", aMessage.mBaseRevision);
  Take(aFields, "text", aMessage.mText);
}

json
Write(const state_request& /*aMessage*/)
{
  return json::object();
}

void
Read(const json& /*aFields*/, state_request& /*aMessage*/)
{
}

json
Write(const entry_report& aMessage)
{
  return { { "view", Write(aMessage.mView) },
           { "config", aMessage.mConfigRevision },
           { "demand", WriteList(aMessage.mDemand) },
           { "emptied", WriteList(aMessage.mEmptied) },
           { "ejected", WriteList(aMessage.mEjected) } };
}

void
Read(const json& aFields, entry_report& aMessage)
{
  Read(aFields.at("view"), aMessage.mView);
  Take(aFields, "config", aMessage.mConfigRevision);
  TakeList(aFields, "demand", aMessage.mDemand);
  TakeList(aFields, "emptied", aMessage.mEmptied);
  TakeList(aFields, "ejected", aMessage.mEjected);
}

json
Write(const goodbye& /*aMessage*/)
{
  return json::object();
}

void
Read(const json& /*aFields*/, goodbye& /*aMessage*/)
{
}

json
Write(const grant_request& aMessage)
{
  return { { "ticket", aMessage.mTicket },
           { "attempt", aMessage.mAttempt },
           { "fingerprint", aMessage.mFingerprint } };
}

void
Read(const json& aFields, grant_request& aMessage)
{
  Take(aFields, "ticket", aMessage.mTicket);
  Take(aFields, "attempt", aMessage.mAttempt);
  Take(aFields, "fingerprint", aMessage.mFingerprint);
}

json
Write(const grant_reply& aMessage)
{
  return { { "ticket", aMessage.mTicket },
           { "attempt", aMessage.mAttempt },
           { "verdict", static_cast<std::uint64_t>(aMessage.mVerdict) },
           { "status", static_cast<std::uint64_t>(aMessage.mStatus) },
           { "type", aMessage.mContentType },
           { "body", aMessage.mBody } };
}

void
Read(const json& aFields, grant_reply& aMessage)
{
  Take(aFields, "ticket", aMessage.mTicket);
  Take(aFields, "attempt", aMessage.mAttempt);
  TakeEnum(aFields, "verdict", grant_verdict::kMismatch, aMessage.mVerdict);
  Take(aFields, "status", aMessage.mStatus);
  Take(aFields, "type", aMessage.mContentType);
  Take(aFields, "body", aMessage.mBody);
}

json
Write(const ticket_report& aMessage)
{
  return { { "ticket", aMessage.mTicket },
           { "attempt", aMessage.mAttempt },
           { "outcome", static_cast<std::uint64_t>(aMessage.mOutcome) },
           { "status", static_cast<std::uint64_t>(aMessage.mStatus) },
           { "type", aMessage.mContentType },
           { "body", aMessage.mBody } };
}

void
Read(const json& aFields, ticket_report& aMessage)
{
  Take(aFields, "ticket", aMessage.mTicket);
  Take(aFields, "attempt", aMessage.mAttempt);
  TakeEnum(aFields, "outcome", ticket_outcome::kUnknown, aMessage.mOutcome);
  Take(aFields, "status", aMessage.mStatus);
  Take(aFields, "type", aMessage.mContentType);
  Take(aFields, "body", aMessage.mBody);
}

} // namespace mangospan::wire::internal
