#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/config_record.h"
#include "mangospan/ctl/internal/context.h"
#include "mangospan/ctl/internal/overview.h"
#include "mangospan/ctl/internal/status_report.h"
#include "mangospan/ctl/internal/write.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {

namespace {

error
Refuse(const std::string& aMessage)
{
  return error{ error_code::kInvalidArgument, "wave", "", aMessage };
}

result<std::optional<fleet::wave_request>>
ParseHeldWave(const std::optional<platform::record>& aHeld)
{
  if (!aHeld) {
    return std::optional<fleet::wave_request>();
  }
  BOOST_OUTCOME_TRY(wave, fleet::ParseWave(aHeld->mValue, aHeld->mKey));
  return std::optional(wave);
}

std::string
MakeRecord(const fleet::wave_request& aWave, const std::string& aChangeId)
{
  nlohmann::json record{ { "id", aWave.mId },
                         { "state", aWave.mPaused ? "paused" : "running" },
                         { "change_id", aChangeId } };
  if (!aWave.mPool.Empty()) {
    record["pool"] = aWave.mPool.Str();
  }
  return record.dump();
}

status
CheckPool(session& aSession, const pool_name& aPool)
{
  if (aPool.Empty()) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(current, ReadCurrent(aSession));
  std::string pools;
  for (const config::pool& each : current.mDocument.mPools) {
    if (each.mName == aPool) {
      return boost::outcome_v2::success();
    }
    pools.append(pools.empty() ? "" : ", ").append(each.mName.Str());
  }
  return Refuse("the configuration has no pool '" + aPool.Str() +
                "' (pools: " + (pools.empty() ? "none" : pools) + ")");
}

// What the zones say of the wave, added up.
wave_sum
SumOf(const fleet::wave_request& aWave, const overview& aZones)
{
  for (const wave_sum& each : SumWaves(aZones)) {
    if (each.mWave == aWave.mId) {
      return each;
    }
  }
  return {};
}

bool
IsFinished(const wave_sum& aSum)
{
  return aSum.mHosts > 0 && aSum.mDone >= aSum.mHosts;
}

std::string
WaveTitle(const fleet::wave_request& aWave)
{
  return "wave " + aWave.mId + " of " +
         (aWave.mPool.Empty() ? "every pool" : "pool " + aWave.mPool.Str());
}

result<std::optional<std::string>>
StartedRecord(session& aSession,
              const wave_start_command& aCommand,
              const std::optional<platform::record>& aHeld,
              const std::string& aId)
{
  BOOST_OUTCOME_TRY(earlier, ParseHeldWave(aHeld));
  if (earlier && !aCommand.mReplace) {
    BOOST_OUTCOME_TRY(zones, ReadOverview(aSession));
    const wave_sum sum = SumOf(*earlier, zones);
    if (!IsFinished(sum)) {
      return Refuse(WaveTitle(*earlier) + " is not finished (" +
                    std::to_string(sum.mDone) + " of " +
                    std::to_string(sum.mHosts) +
                    " hosts); wait for it, or give --replace");
    }
  }
  return std::optional(MakeRecord({ aId, aCommand.mPool, false }, aId));
}

// Sets the running wave's state; true if that changed it.
result<bool>
SetPaused(session& aSession, bool aPaused, const std::string& aChangeId)
{
  return UpdateRecord(aSession,
                      fleet::kWaveKey,
                      aChangeId,
                      [&](const std::optional<platform::record>& aHeld)
                        -> result<std::optional<std::string>> {
                        BOOST_OUTCOME_TRY(wave, ParseHeldWave(aHeld));
                        if (!wave) {
                          return Refuse("no wave was ever started");
                        }
                        if (wave->mPaused == aPaused) {
                          return std::optional<std::string>();
                        }
                        wave->mPaused = aPaused;
                        return std::optional(MakeRecord(*wave, aChangeId));
                      });
}

exit_code
ExecuteSetPaused(bool aPaused, context& aContext)
{
  session platform = aContext.Connect();
  const auto written =
    SetPaused(platform, aPaused, aContext.mEnvironment.mDrawId());
  if (written.has_error()) {
    return aContext.mPrinter.Fail(written.assume_error());
  }
  const std::string state = aPaused ? "paused" : "running";
  aContext.mPrinter.Line(
    "wave: " + std::string(written.assume_value() ? "" : "already ") + state);
  aContext.mPrinter.Json(
    { { "state", state }, { "written", written.assume_value() } });
  return exit_code::kOk;
}

} // namespace

exit_code
Execute(const wave_start_command& aCommand, context& aContext)
{
  session platform = aContext.Connect();
  const auto pool = CheckPool(platform, aCommand.mPool);
  if (pool.has_error()) {
    return aContext.mPrinter.Fail(pool.assume_error());
  }
  const std::string id = aContext.mEnvironment.mDrawId();
  const auto written =
    UpdateRecord(platform,
                 fleet::kWaveKey,
                 id,
                 [&](const std::optional<platform::record>& aHeld) {
                   return StartedRecord(platform, aCommand, aHeld, id);
                 });
  if (written.has_error()) {
    return aContext.mPrinter.Fail(written.assume_error());
  }
  aContext.mPrinter.Line(WaveTitle({ id, aCommand.mPool, false }) +
                         ": started; 'mangospanctl wave status' shows how far "
                         "it is");
  aContext.mPrinter.Json(
    { { "id", id }, { "pool", aCommand.mPool.Str() }, { "state", "running" } });
  return exit_code::kOk;
}

exit_code
Execute(const wave_pause_command& /*aCommand*/, context& aContext)
{
  return ExecuteSetPaused(true, aContext);
}

exit_code
Execute(const wave_resume_command& /*aCommand*/, context& aContext)
{
  return ExecuteSetPaused(false, aContext);
}

exit_code
Execute(const wave_status_command& /*aCommand*/, context& aContext)
{
  session platform = aContext.Connect();
  const auto held = platform.Read(fleet::kWaveKey);
  if (held.has_error()) {
    return aContext.mPrinter.Fail(held.assume_error());
  }
  const auto wave = ParseHeldWave(held.assume_value());
  if (wave.has_error()) {
    return aContext.mPrinter.Fail(wave.assume_error());
  }
  const auto zones = ReadOverview(platform);
  if (zones.has_error()) {
    return aContext.mPrinter.Fail(zones.assume_error());
  }
  if (wave.assume_value()) {
    aContext.mPrinter.Line(
      WaveTitle(*wave.assume_value()) + ": " +
      (wave.assume_value()->mPaused ? "paused" : "running"));
  } else {
    aContext.mPrinter.Line("no wave was ever started by an operator");
  }
  PrintWaves(zones.assume_value(), aContext.mPrinter);
  aContext.mPrinter.Json(
    { { "wave",
        wave.assume_value()
          ? nlohmann::json{ { "id", wave.assume_value()->mId },
                            { "pool", wave.assume_value()->mPool.Str() },
                            { "paused", wave.assume_value()->mPaused } }
          : nlohmann::json() },
      { "zones", WavesJson(zones.assume_value()) } });
  return exit_code::kOk;
}

} // namespace mangospan::ctl
