#include "mangospan/node/pool_link.h"

#include <nlohmann/json.hpp>

namespace mangospan::node {

using nlohmann::json;

namespace {

constexpr unsigned kRunsKnownFlag = 1;
constexpr unsigned kUnschedulableFlag = 2;
constexpr unsigned kCanGetRunsFlag = 4;
constexpr unsigned kCordonedFlag = 8;

unsigned
Flags(const runner_state& aState)
{
  return (aState.mAreRunsKnown ? kRunsKnownFlag : 0) |
         (aState.mIsUnschedulable ? kUnschedulableFlag : 0) |
         (aState.mCanGetRuns ? kCanGetRunsFlag : 0) |
         (aState.mIsCordoned ? kCordonedFlag : 0);
}

template<typename Names>
json
NamesOf(const Names& aNames)
{
  json out = json::array();
  for (const jobs::runner_name& each : aNames) {
    out.push_back(each.Str());
  }
  return out;
}

std::vector<jobs::runner_name>
NamesFrom(const json& aNames)
{
  std::vector<jobs::runner_name> out;
  for (const json& each : aNames) {
    out.emplace_back(each.get<std::string>());
  }
  return out;
}

// The keys of the messages on customers' caps.
constexpr const char* kQuotaKey = "quota";
constexpr const char* kTermKey = "term";
constexpr const char* kSequenceKey = "sequence";
constexpr const char* kSharesKey = "shares";
constexpr const char* kUsageKey = "usage";
constexpr const char* kConfigKey = "config";

json
QuotaToJson(const customers::quota_instructions& aQuota)
{
  json shares = json::object();
  for (const auto& [customer, share] : aQuota.mShares) {
    shares[customer.Str()] = share;
  }
  return { { kSequenceKey, aQuota.mVersion.mSequence },
           { kSharesKey, std::move(shares) } };
}

customers::quota_instructions
QuotaFromJson(const json& aValue, std::uint64_t aFleetTerm)
{
  customers::quota_instructions out;
  out.mVersion = { aFleetTerm, aValue.at(kSequenceKey).get<std::uint64_t>() };
  for (const auto& [customer, share] : aValue.at(kSharesKey).items()) {
    out.mShares.emplace(customer_name{ customer },
                        share.get<customers::cap_part>());
  }
  return out;
}

json
ReportToJson(const customers::quota_report& aReport)
{
  json usage = json::object();
  for (const auto& [customer, each] : aReport.mUsage) {
    usage[customer.Str()] = { each.mShare, each.mUsed, each.mWanted };
  }
  return { { kTermKey, aReport.mApplied.mFleetTerm },
           { kSequenceKey, aReport.mApplied.mSequence },
           { kConfigKey, aReport.mConfigVersion },
           { kUsageKey, std::move(usage) } };
}

customers::quota_report
ReportFromJson(const json& aValue)
{
  customers::quota_report out;
  out.mApplied = { aValue.at(kTermKey).get<std::uint64_t>(),
                   aValue.at(kSequenceKey).get<std::uint64_t>() };
  out.mConfigVersion = aValue.at(kConfigKey).get<std::uint64_t>();
  for (const auto& [customer, each] : aValue.at(kUsageKey).items()) {
    out.mUsage.emplace(
      customer_name{ customer },
      customers::quota_usage{ each.at(0).get<customers::cap_part>(),
                              each.at(1).get<customers::cap_part>(),
                              each.at(2).get<customers::cap_part>() });
  }
  return out;
}

error
DecodeError(const char* aStep, const std::exception& aFailure)
{
  return error{ error_code::kInvalidArgument, aStep, "", aFailure.what() };
}

} // namespace

std::string
Encode(const pool_instructions& aInstructions)
{
  json out{ { "fleet_term", aInstructions.mFleetTerm },
            { "closed", NamesOf(aInstructions.mCordoned) },
            { "evict", NamesOf(aInstructions.mEvictFrom) },
            { "dead", NamesOf(aInstructions.mDeadRunners) } };
  if (aInstructions.mQuota) {
    out[kQuotaKey] = QuotaToJson(*aInstructions.mQuota);
  }
  return out.dump();
}

result<pool_instructions>
DecodePoolInstructions(std::string_view aText)
{
  try {
    const json body = json::parse(aText);
    pool_instructions out;
    out.mFleetTerm = body.at("fleet_term").get<std::uint64_t>();
    for (jobs::runner_name& each : NamesFrom(body.at("closed"))) {
      out.mCordoned.insert(std::move(each));
    }
    out.mEvictFrom = NamesFrom(body.at("evict"));
    out.mDeadRunners = NamesFrom(body.at("dead"));
    if (body.contains(kQuotaKey)) {
      out.mQuota = QuotaFromJson(body.at(kQuotaKey), out.mFleetTerm);
    }
    return out;
  } catch (const std::exception& failure) {
    return DecodeError("pool.decode_instructions", failure);
  }
}

std::string
Encode(const pool_state& aState)
{
  json runners = json::object();
  for (const auto& [runnerName, each] : aState.mRunners) {
    runners[runnerName.Str()] = { Flags(each),
                                  each.mRunCount,
                                  each.mLongRunningCount };
  }
  const jobs::resources& requested = aState.mLoad.mRequested;
  const jobs::resources& forecast = aState.mLoad.mForecast;
  json out{ { "term_revision", aState.mTermRevision },
            { "wanted",
              { requested.mCpu, requested.mMemoryMb, requested.mGpus } },
            { "arriving", { forecast.mCpu, forecast.mMemoryMb } },
            { "min_hosts", aState.mLoad.mMinHosts },
            { "accepting", aState.mLoad.mIsAcceptingJobs },
            { "knows_others", aState.mAreUnlistedRunnersIdle },
            { "runners", std::move(runners) } };
  if (!aState.mQuota.mUsage.empty() || aState.mQuota.mApplied.mSequence > 0 ||
      aState.mQuota.mConfigVersion > 0) {
    out[kQuotaKey] = ReportToJson(aState.mQuota);
  }
  return out.dump();
}

result<pool_state>
DecodePoolState(std::string_view aText)
{
  try {
    const json body = json::parse(aText);
    pool_state out;
    out.mTermRevision = body.at("term_revision").get<std::uint64_t>();
    jobs::resources& requested = out.mLoad.mRequested;
    requested.mCpu = body.at("wanted").at(0).get<std::int64_t>();
    requested.mMemoryMb = body.at("wanted").at(1).get<std::int64_t>();
    requested.mGpus = body.at("wanted").at(2).get<std::int64_t>();
    out.mLoad.mForecast.mCpu = body.at("arriving").at(0).get<std::int64_t>();
    out.mLoad.mForecast.mMemoryMb =
      body.at("arriving").at(1).get<std::int64_t>();
    out.mLoad.mMinHosts = body.at("min_hosts").get<std::size_t>();
    out.mLoad.mIsAcceptingJobs = body.value("accepting", true);
    out.mAreUnlistedRunnersIdle = body.at("knows_others").get<bool>();
    if (body.contains(kQuotaKey)) {
      out.mQuota = ReportFromJson(body.at(kQuotaKey));
    }
    for (const auto& [runnerName, each] : body.at("runners").items()) {
      const auto flags = each.at(0).get<unsigned>();
      out.mRunners.emplace(jobs::runner_name{ runnerName },
                           runner_state{ (flags & kRunsKnownFlag) != 0,
                                         (flags & kUnschedulableFlag) != 0,
                                         (flags & kCanGetRunsFlag) != 0,
                                         (flags & kCordonedFlag) != 0,
                                         each.at(1).get<std::size_t>(),
                                         each.at(2).get<std::size_t>() });
    }
    return out;
  } catch (const std::exception& failure) {
    return DecodeError("pool.decode_state", failure);
  }
}

} // namespace mangospan::node
