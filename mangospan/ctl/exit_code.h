// The exit codes of mangospanctl, as scripts rely on them.
#ifndef MANGOSPAN_CTL_EXIT_CODE_H
#define MANGOSPAN_CTL_EXIT_CODE_H

namespace mangospan::ctl {

enum class exit_code
{
  kOk = 0,
  kRefused = 1,     // the input is wrong; nothing was written
  kUsage = 2,       // the arguments are wrong; nothing was done
  kConflict = 3,    // another operator's change came first
  kUnreachable = 4, // the platform or the daemon did not answer
  kTimedOut = 5,    // written, but not yet in force everywhere
};

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_EXIT_CODE_H
