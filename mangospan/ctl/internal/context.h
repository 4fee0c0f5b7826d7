// What one command works with, and the commands themselves.
#ifndef MANGOSPAN_CTL_INTERNAL_CONTEXT_H
#define MANGOSPAN_CTL_INTERNAL_CONTEXT_H

#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/internal/invocation.h"
#include "mangospan/ctl/internal/printer.h"
#include "mangospan/ctl/internal/session.h"
#include "mangospan/ctl/tool.h"

namespace mangospan::ctl {

struct context
{
  environment& mEnvironment;
  const invocation& mInvocation;
  printer mPrinter;

  // Connects to the platform; the command's time starts now.
  session Connect() const
  {
    return { mEnvironment,
             mInvocation.mPlatformAddress,
             mEnvironment.mClock.Now() + mInvocation.mTimeout };
  }
};

exit_code
Execute(const validate_command& aCommand, context& aContext);
exit_code
Execute(const diff_command& aCommand, context& aContext);
exit_code
Execute(const apply_command& aCommand, context& aContext);
exit_code
Execute(const status_command& aCommand, context& aContext);
exit_code
Execute(const drain_command& aCommand, context& aContext);
exit_code
Execute(const undrain_command& aCommand, context& aContext);
exit_code
Execute(const wave_start_command& aCommand, context& aContext);
exit_code
Execute(const wave_pause_command& aCommand, context& aContext);
exit_code
Execute(const wave_resume_command& aCommand, context& aContext);
exit_code
Execute(const wave_status_command& aCommand, context& aContext);
exit_code
Execute(const dump_command& aCommand, context& aContext);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_CONTEXT_H
