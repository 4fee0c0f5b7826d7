#include "mangospan/node/wave_records.h"

#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/log.h"

namespace mangospan::node {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStoreTimeout{ 1'000 };

std::string
MaintainedHostsKey(std::uint64_t aWave)
{
  return "mangospan/waves/" + std::to_string(aWave);
}

std::vector<host_name>
DecodeHosts(const std::string& aText)
{
  std::vector<host_name> out;
  const json hosts = json::parse(aText, nullptr, false);
  for (const json& each : hosts) {
    if (each.is_string()) {
      out.push_back(host_name{ each.get<std::string>() });
    }
  }
  return out;
}

} // namespace

wave_records::wave_records(platform::transactional_store& aStore,
                           const record_format& aFormat,
                           term_fence aFence)
  : mStore(aStore)
  , mFormat(aFormat)
  , mFence(std::move(aFence))
{
}

void
wave_records::LoadMaintainedHosts(
  std::uint64_t aWave,
  std::function<void(const std::vector<host_name>&)> aHandler)
{
  mStore.Read(MaintainedHostsKey(aWave),
              kStoreTimeout,
              [self = shared_from_this(), handler = std::move(aHandler)](
                const result<std::optional<platform::record>>& aResult) {
                if (aResult.has_error()) { // repeated maintenance does no harm
                  LogError("wave.record_unknown", aResult.assume_error());
                } else if (!self->mIsStopped && aResult.assume_value()) {
                  handler(DecodeHosts(aResult.assume_value()->mValue));
                }
              });
}

void
wave_records::StoreMaintainedHosts(
  std::uint64_t aWave,
  const std::vector<host_name>& aMaintainedHosts)
{
  json hosts = json::array();
  for (const host_name& each : aMaintainedHosts) {
    hosts.push_back(each.Str());
  }
  platform::transaction change = mFence.Begin();
  change.mWrites.push_back(
    { MaintainedHostsKey(aWave), hosts.dump(), std::nullopt });
  mStore.Commit(std::move(change),
                kStoreTimeout,
                [](const result<platform::commit_outcome>& aResult) {
                  if (aResult.has_error()) {
                    LogError("wave.record_failed", aResult.assume_error());
                  }
                });
}

bool
wave_records::IsStatusReportDue(std::uint64_t aWave, bool aIsCompleted) const
{
  const auto reported = mReportedStatus.find(aWave);
  return !mIsReportInFlight && (reported == mReportedStatus.end() ||
                                reported->second != aIsCompleted);
}

void
wave_records::ReportStatus(std::uint64_t aWave, bool aIsCompleted)
{
  platform::transaction change = mFence.Begin();
  change.mWrites.push_back({ mFormat.WaveStatusKey(aWave),
                             mFormat.EncodeWaveStatus(aWave, aIsCompleted),
                             std::nullopt });
  mIsReportInFlight = true;
  mStore.Commit(
    std::move(change),
    kStoreTimeout,
    [self = shared_from_this(), aWave, aIsCompleted](
      const result<platform::commit_outcome>& aResult) {
      self->mIsReportInFlight = false;
      if (aResult.has_value() && aResult.assume_value().mCommitted) {
        self->mReportedStatus[aWave] = aIsCompleted;
        LogEvent(log_level::kInfo,
                 "wave.reported",
                 { { "wave", aWave }, { "completed", aIsCompleted } });
      } else if (aResult.has_error()) {
        LogError("wave.status_failed", aResult.assume_error());
      }
    });
}

} // namespace mangospan::node
