#include "mangospan/ctl/tool.h"

#include <variant>

#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/internal/command_line.h"
#include "mangospan/ctl/internal/context.h"
#include "mangospan/ctl/internal/printer.h"

namespace mangospan::ctl {

exit_code
Run(int aCount, const char* const* aArguments, environment& aEnvironment)
{
  const auto parsed = ParseCommandLine(aCount, aArguments, aEnvironment);
  if (const auto* code = std::get_if<exit_code>(&parsed)) {
    return *code;
  }
  const auto& called = std::get<invocation>(parsed);
  context state{ aEnvironment,
                 called,
                 printer(
                   aEnvironment.mOut, aEnvironment.mErr, called.mOutput) };
  return std::visit(
    [&state](const auto& aCommand) { return Execute(aCommand, state); },
    called.mCommand);
}

} // namespace mangospan::ctl
