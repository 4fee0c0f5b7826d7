// Hands a job in again while it is not known whether it was accepted.
//
// An owner that loses its office can not say what became of its last write. The
// next one can: the claim fences the write, so the job is stored or never will
// be, and handing it in again under the same name gives the same job.
#ifndef MANGOSPAN_NODE_SUBMISSION_H
#define MANGOSPAN_NODE_SUBMISSION_H

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/node/job_service.h"

namespace mangospan::node {

class submission : public std::enable_shared_from_this<submission>
{
public:
  // `aService` gives who answers at the time of each try.
  submission(boost::asio::io_context& aIo,
             const clock_source& aClock,
             std::function<job_service&()> aService,
             jobs::job_name aJob,
             jobs::job_spec aSpec);

  // Calls `aHandler` once, after at most `aPatience`.
  void Start(std::chrono::milliseconds aPatience, reply_handler aHandler);

private:
  void Try();
  void OnReply(const job_reply& aReply);

  boost::asio::steady_timer mTimer;
  const clock_source& mClock;
  const std::function<job_service&()> mService;
  const jobs::job_name mJob;
  const jobs::job_spec mSpec;
  reply_handler mHandler;
  time_point mUntil{};
  time_point mTakeoverUntil{}; // tries again while nobody owns the jobs
  bool mIsInDoubt = false;     // an earlier try may have had an effect
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_SUBMISSION_H
