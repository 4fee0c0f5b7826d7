// One runner: a server at the host's address around its rules.
//
//   runner runner(io, clock, journal, host);
//   BOOST_OUTCOME_TRY(runner.Start(service));
#ifndef TESTING_ENDPOINT_RUNNER_H
#define TESTING_ENDPOINT_RUNNER_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "testing/endpoint/journal.h"
#include "testing/endpoint/runner_state.h"
#include "testing/http/fault_server.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::standin {

class runner
{
public:
  runner(boost::asio::io_context& aIo,
         const clock_source& aClock,
         journal& aJournal,
         const platform::host_info& aHost);
  runner(const runner&) = delete;
  runner& operator=(const runner&) = delete;

  // Serves `aService`; a second start of the same service changes nothing.
  // Errors: kConflict if it serves another, kUnavailable.
  status Start(const service_name& aService);
  // Ends at once; what was in flight is cut.
  void Stop();
  status SetFault(runner_fault aFault);

  const violation_counts& Violations() const { return mState.Violations(); }
  std::uint64_t RejectedConnections() const;

private:
  struct pending_request
  {
    http::request mRequest;
    replier mReply;
  };
  struct hung_answer
  {
    run_index mIndex;
    pending_request mPending;
  };

  status Listen();
  void Cut(const std::set<run_index>& aRuns, run_outcome aOutcome);
  void Handle(const http::request& aRequest, const replier& aReply);
  void Run(const http::request& aRequest, const replier& aReply);
  void AfterServiceTime(run_index aIndex, const pending_request& aPending);
  void Answer(run_index aIndex, const pending_request& aPending);

  boost::asio::io_context& mIo;
  const clock_source& mClock;
  journal& mJournal;
  std::string mAddress;
  runner_state mState;
  std::unique_ptr<fault_server> mServer;
  std::size_t mMaxConnections;
  std::uint64_t mRejectedBefore = 0; // by servers that were stopped
  std::vector<pending_request> mFrozen;
  std::vector<hung_answer> mHung;
};

} // namespace mangospan::standin

#endif // TESTING_ENDPOINT_RUNNER_H
