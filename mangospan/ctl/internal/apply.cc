#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/diff.h"
#include "mangospan/ctl/internal/config_record.h"
#include "mangospan/ctl/internal/context.h"
#include "mangospan/ctl/internal/wait.h"
#include "mangospan/ctl/internal/write.h"
#include "mangospan/fleet/records.h"

namespace mangospan::ctl {

namespace {

// Shows what the other operator changed since the revision that was read.
exit_code
ReportConflict(const held_config& aBase,
               const write_outcome& aOutcome,
               printer& aPrinter)
{
  const auto parsed = ParseHeld(aOutcome.mHeld);
  if (parsed.has_error()) {
    return aPrinter.Fail(parsed.assume_error());
  }
  const held_config& other = parsed.assume_value();
  const auto changes = config::Diff(aBase.mDocument, other.mDocument);
  std::string refusal = "conflict: revision " +
                        std::to_string(other.mRevision) + " by " +
                        other.mAuthor + " came first; nothing was written";
  if (aOutcome.mMayHaveBeenHeld) {
    refusal = "conflict: revision " + std::to_string(other.mRevision) + " by " +
              other.mAuthor +
              " is current; an answer was lost, so yours may have been in "
              "force before it";
  }
  aPrinter.Refusal(refusal);
  aPrinter.Line("their change (revision " + std::to_string(aBase.mRevision) +
                " to " + std::to_string(other.mRevision) + "):");
  PrintChanges(changes, aPrinter);
  aPrinter.Line("look at it with 'mangospanctl diff', then apply again");
  aPrinter.Json({ { "accepted", false },
                  { "conflict",
                    { { "revision", other.mRevision },
                      { "author", other.mAuthor },
                      { "change_id", other.mChangeId },
                      { "base_revision", aBase.mRevision },
                      { "changes", ToJson(changes) } } } });
  return exit_code::kConflict;
}

// The end of a command whose change is held at `aRevision`.
exit_code
Finish(const apply_command& aCommand,
       session& aSession,
       platform::revision aRevision,
       nlohmann::json aReport,
       printer& aPrinter)
{
  if (!aCommand.mWait) {
    aPrinter.Json(aReport);
    return exit_code::kOk;
  }
  nlohmann::json waited;
  const auto inForce = WaitUntilInForce(aSession, aRevision, aPrinter, waited);
  aReport["in_force"] = inForce.has_value() && inForce.assume_value();
  aReport["wait"] = waited;
  aPrinter.Json(aReport);
  if (inForce.has_error()) {
    return aPrinter.Fail(inForce.assume_error());
  }
  if (!inForce.assume_value()) {
    aPrinter.Refusal("timed out: revision " + std::to_string(aRevision) +
                     " is accepted, but not in force everywhere");
    return exit_code::kTimedOut;
  }
  aPrinter.Line("in force in every zone");
  return exit_code::kOk;
}

// What is held now. With --force, a record that can not be read counts as an
// empty one of its revision, so that it can be replaced.
result<held_config>
ReadBase(const apply_command& aCommand, session& aSession, printer& aPrinter)
{
  BOOST_OUTCOME_TRY(record, aSession.Read(fleet::kConfigKey));
  auto held = ParseHeld(record);
  if (held.has_value() || !aCommand.mForce) {
    return held;
  }
  aPrinter.Line("replacing what can not be read: " +
                Describe(held.assume_error()));
  held_config unreadable;
  unreadable.mRevision = record->mRevision;
  return unreadable;
}

} // namespace

exit_code
Execute(const apply_command& aCommand, context& aContext)
{
  printer& output = aContext.mPrinter;
  const auto wanted = LoadFile(aCommand.mFile);
  if (wanted.has_error()) {
    return output.Fail(wanted.assume_error());
  }
  const std::string changeId = aContext.mEnvironment.mDrawId();
  const auto value =
    MakeRecord(changeId, aCommand.mAuthor, wanted.assume_value());
  if (value.has_error()) {
    return output.Fail(value.assume_error());
  }
  session platform = aContext.Connect();
  const auto current = ReadBase(aCommand, platform, output);
  if (current.has_error()) {
    return output.Fail(current.assume_error());
  }
  const held_config& held = current.assume_value();
  const auto changes = config::Diff(held.mDocument, wanted.assume_value());
  if (changes.empty() && held.mRevision != 0) {
    output.Line("no change: revision " + std::to_string(held.mRevision) +
                " by " + held.mAuthor + " says the same");
    return Finish(aCommand,
                  platform,
                  held.mRevision,
                  { { "accepted", false }, { "revision", held.mRevision } },
                  output);
  }
  PrintChanges(changes, output);
  const auto written =
    WriteOnce(platform,
              { fleet::kConfigKey, held.mRevision, value.assume_value(), {} },
              changeId);
  if (written.has_error()) {
    return output.Fail(written.assume_error());
  }
  const write_outcome& outcome = written.assume_value();
  if (!outcome.mAccepted) {
    return ReportConflict(held, outcome, output);
  }
  output.Line("accepted as revision " + std::to_string(outcome.mRevision) +
              ", change " + changeId);
  return Finish(aCommand,
                platform,
                outcome.mRevision,
                { { "accepted", true },
                  { "revision", outcome.mRevision },
                  { "change_id", changeId },
                  { "changes", ToJson(changes) } },
                output);
}

} // namespace mangospan::ctl
