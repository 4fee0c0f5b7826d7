// Submits a job, and again while it is not known whether it was accepted.
//
// An owner that is superseded does not know whether its last write took effect.
// The next owner does: its claim fences that write, so the job is either stored
// already or never will be. A repeated submission is idempotent, because the
// job has the same name.
#ifndef MANGOSPAN_NODE_SUBMISSION_H
#define MANGOSPAN_NODE_SUBMISSION_H

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/node/job_service.h"

namespace mangospan::node {

// One submission of a job, with retries. Each object submits once.
class submission : public std::enable_shared_from_this<submission>
{
public:
  // `aService` returns the job service to use; it is called for each attempt.
  submission(boost::asio::io_context& aIo,
             const clock_source& aClock,
             std::function<job_service&()> aService,
             jobs::job_name aJob,
             jobs::job_spec aSpec);

  // Calls `aHandler` once, after at most `aTimeout`.
  void Start(std::chrono::milliseconds aTimeout, reply_handler aHandler);

private:
  void TrySubmit();
  void OnReply(const job_reply& aReply);

  timer mTimer;
  const clock_source& mClock;
  const std::function<job_service&()> mService;
  const jobs::job_name mJob;
  const jobs::job_spec mSpec;
  reply_handler mHandler;
  time_point mDeadline{};
  time_point mHandoverDeadline{}; // end of the retries during a hand-over
  bool mMayHaveEffect = false; // whether an earlier attempt may have an effect
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_SUBMISSION_H
