#include "mangospan/ctl/internal/overview.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {

namespace {

constexpr std::string_view kZonesPrefix = "zones/";

status
ReadLeader(const platform::record& aRecord, zone_overview& aInto)
{
  BOOST_OUTCOME_TRY(leader, fleet::ParseLeader(aRecord.mValue, aRecord.mKey));
  aInto.mLeader = leader;
  return boost::outcome_v2::success();
}

template<typename Record,
         Record zone_overview::*Member,
         result<Record> (*Parse)(std::string_view, std::string_view)>
status
ReadInto(const platform::record& aRecord, zone_overview& aInto)
{
  BOOST_OUTCOME_TRY(parsed, Parse(aRecord.mValue, aRecord.mKey));
  aInto.*Member = parsed;
  return boost::outcome_v2::success();
}

struct zone_record
{
  std::string_view mName;
  status (*mRead)(const platform::record&, zone_overview&);
};

// Records of other kinds belong to other readers.
constexpr zone_record kZoneRecords[] = {
  { "leader", ReadLeader },
  { "hosts",
    ReadInto<fleet::hosts_record, &zone_overview::mHosts, fleet::ParseHosts> },
  { "entries",
    ReadInto<fleet::entries_record,
             &zone_overview::mEntries,
             fleet::ParseEntries> },
  { "status",
    ReadInto<fleet::status_record,
             &zone_overview::mStatus,
             fleet::ParseStatus> },
};

bool
Contains(const std::vector<host_name>& aHosts, const host_name& aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

} // namespace

result<overview>
ReadOverview(session& aSession)
{
  BOOST_OUTCOME_TRY(records, aSession.List(std::string(kZonesPrefix)));
  return ParseOverview(records);
}

result<overview>
ParseOverview(const std::vector<platform::record>& aRecords)
{
  overview zones;
  for (const platform::record& record : aRecords) {
    const std::string_view key = record.mKey;
    const std::size_t slash = key.rfind('/');
    if (key.substr(0, kZonesPrefix.size()) != kZonesPrefix ||
        slash <= kZonesPrefix.size()) {
      continue;
    }
    const std::string_view zone =
      key.substr(kZonesPrefix.size(), slash - kZonesPrefix.size());
    for (const zone_record& known : kZoneRecords) {
      if (key.substr(slash + 1) == known.mName) {
        BOOST_OUTCOME_TRY(
          known.mRead(record, zones[zone_name(std::string(zone))]));
      }
    }
  }
  return zones;
}

const char*
Name(zone_progress aProgress)
{
  switch (aProgress) {
    case zone_progress::kInForce:
      return "in-force";
    case zone_progress::kWaiting:
      return "waiting";
    case zone_progress::kRefused:
      return "refused";
    case zone_progress::kSilent:
      return "silent";
  }
  return "waiting";
}

zone_force
ForceIn(const zone_overview& aZone, platform::revision aRevision)
{
  zone_force force;
  const fleet::status_record& said = aZone.mStatus;
  const bool adopted = said.mConfigRevision >= aRevision;
  for (const view::entry_member& entry : aZone.mEntries.mEntries) {
    const host_name& host = entry.mId.mHost;
    const bool heard = !Contains(said.mUnresponsiveEntries, host);
    if (!adopted || !heard || !Contains(said.mConfiguredEntries, host)) {
      force.mMissing.push_back(host);
    }
  }
  if (!aZone.mLeader) {
    force.mProgress = zone_progress::kSilent;
  } else if (!adopted && !said.mConfigError.empty()) {
    force.mProgress = zone_progress::kRefused;
  } else if (adopted && force.mMissing.empty()) {
    force.mProgress = zone_progress::kInForce;
  }
  return force;
}

} // namespace mangospan::ctl
