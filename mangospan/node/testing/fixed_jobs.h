// Answers every call at once with the same reply. For tests.
#ifndef MANGOSPAN_NODE_TESTING_FIXED_JOBS_H
#define MANGOSPAN_NODE_TESTING_FIXED_JOBS_H

#include "mangospan/node/job_service.h"

namespace mangospan::node::testing {

class fixed_jobs final : public job_service
{
public:
  explicit fixed_jobs(reply_kind aKind) { mReply.mKind = aKind; }

  void Submit(const jobs::job_name& /*aJob*/,
              const jobs::job_spec& /*aSpec*/,
              std::chrono::milliseconds /*aPatience*/,
              reply_handler aHandler) override
  {
    Answer(aHandler);
  }
  void Cancel(const jobs::job_name& /*aJob*/,
              std::chrono::milliseconds /*aPatience*/,
              reply_handler aHandler) override
  {
    Answer(aHandler);
  }
  void Read(const jobs::job_name& /*aJob*/,
            std::chrono::milliseconds /*aPatience*/,
            reply_handler aHandler) override
  {
    Answer(aHandler);
  }
  void CountWaiting(const jobs::queue_name& /*aQueue*/,
                    std::chrono::milliseconds /*aPatience*/,
                    reply_handler aHandler) override
  {
    Answer(aHandler);
  }

  job_reply mReply;
  int mCalls = 0;

private:
  void Answer(const reply_handler& aHandler)
  {
    ++mCalls;
    aHandler(mReply);
  }
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_FIXED_JOBS_H
