#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/config/diff.h"
#include "mangospan/ctl/internal/config_record.h"
#include "mangospan/ctl/internal/context.h"

namespace mangospan::ctl {

exit_code
Execute(const validate_command& aCommand, context& aContext)
{
  const auto document = LoadFile(aCommand.mFile);
  if (document.has_error()) {
    return aContext.mPrinter.Fail(document.assume_error());
  }
  const config::document& valid = document.assume_value();
  aContext.mPrinter.Line(
    aCommand.mFile + ": ok: " + std::to_string(valid.mPools.size()) +
    " pools, " + std::to_string(valid.mClasses.size()) + " classes, " +
    std::to_string(valid.mTeams.size()) + " teams");
  aContext.mPrinter.Json({ { "valid", true },
                           { "pools", valid.mPools.size() },
                           { "classes", valid.mClasses.size() },
                           { "teams", valid.mTeams.size() } });
  return exit_code::kOk;
}

exit_code
Execute(const diff_command& aCommand, context& aContext)
{
  printer& output = aContext.mPrinter;
  const auto wanted = LoadFile(aCommand.mFile);
  if (wanted.has_error()) {
    return output.Fail(wanted.assume_error());
  }
  session platform = aContext.Connect();
  const auto current = ReadCurrent(platform);
  if (current.has_error()) {
    return output.Fail(current.assume_error());
  }
  const held_config& held = current.assume_value();
  const auto changes = config::Diff(held.mDocument, wanted.assume_value());
  output.Line(held.mRevision == 0
                ? "the platform holds no configuration yet"
                : "against revision " + std::to_string(held.mRevision) +
                    " by " + held.mAuthor);
  output.Line(std::to_string(changes.size()) + " changes");
  PrintChanges(changes, output);
  output.Json({ { "revision", held.mRevision },
                { "author", held.mAuthor },
                { "changes", ToJson(changes) } });
  return exit_code::kOk;
}

} // namespace mangospan::ctl
