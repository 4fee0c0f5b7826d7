// Parses the arguments of mangospanctl and prints its help.
#ifndef MANGOSPAN_CTL_INTERNAL_COMMAND_LINE_H
#define MANGOSPAN_CTL_INTERNAL_COMMAND_LINE_H

#include <variant>

#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/internal/invocation.h"
#include "mangospan/ctl/tool.h"

namespace mangospan::ctl {

// The invocation, or the code to exit with after help, version or one line on
// what is wrong. Defaults come from the environment.
std::variant<invocation, exit_code>
ParseCommandLine(int aCount,
                 const char* const* aArguments,
                 const environment& aEnvironment);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_COMMAND_LINE_H
