// The pipe that a caller's request goes through: accept, ticket, pipeline,
// dispatch, answer.
//
// Holds the open requests and carries out the pipeline's actions; every
// decision is the pipeline's or the ticket desk's:
//
//   pipe.Accept(std::move(request), std::move(responder));
#ifndef MANGOSPAN_ENTRY_REQUEST_PIPE_H
#define MANGOSPAN_ENTRY_REQUEST_PIPE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/entry/ticket_desk.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/request/pipeline.h"

namespace mangospan::entry {

class request_pipe
{
public:
  // The references must outlive the pipe. `aOnDrained` is called when a
  // draining host has nothing of this entry in flight any more.
  request_pipe(boost::asio::io_context& aIo,
               const clock_source& aClock,
               http::client& aClient,
               daemon::metrics& aMetrics,
               request::pipeline& aPipeline,
               ticket_desk& aTickets,
               std::function<void()> aOnDrained);

  // Takes a caller's request; `aRespond` is called once.
  void Accept(http::request aRequest, http::responder aRespond);

  // The desk's decision on a request with a ticket.
  void OnTicketDecision(request::request_id aRequest,
                        const request::ticket_decision& aDecision,
                        const request::kept_answer& aAnswer);

  // Carries out what the pipeline asks for, and wakes it when it wants to be.
  void Carry(const request::actions& aActions);

  // From now on every answer asks its caller to close the connection.
  void Stop() { mIsStopping = true; }

  std::size_t Open() const { return mOpen.size(); }

private:
  struct open_request
  {
    http::request mRequest;
    http::responder mRespond;
    http::response mAnswer; // of the attempt that ended last
    time_point mArrived;
  };

  void IssueTickets(const http::request& aRequest,
                    const http::responder& aRespond);
  void Submit(request::request_id aRequest);
  void Do(const request::dispatch& aDispatch);
  void Do(const request::deliver& aDeliver);
  void Do(const request::refuse& aRefuse);
  void Do(const request::drained_host& aDrained);
  void OnAttempt(const request::dispatch& aDispatch,
                 time_point aSent,
                 result<http::response> aResult);
  void Answer(request::request_id aRequest,
              http::response aAnswer,
              const char* aOutcome,
              const char* aCode);
  void WakeLater();

  const clock_source& mClock;
  http::client& mClient;
  daemon::metrics& mMetrics;
  request::pipeline& mPipeline;
  ticket_desk& mTickets;
  std::function<void()> mOnDrained;
  boost::asio::steady_timer mWake;
  std::unordered_map<request::request_id, open_request> mOpen;
  request::request_id mLastId = 0;
  bool mIsStopping = false;
};

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_REQUEST_PIPE_H
