// Tickets at one entry: issues its own, and asks other issuers about theirs.
//
// Each request with a ticket is decided here before the pipeline sees it, and
// its end is reported to the issuer:
//
//   desk.OnRequest(id, ticketText, fingerprint, now); // calls mOnDecision
//   desk.OnEnded(id, ticket_outcome::kAnswered, kept, now);
#ifndef MANGOSPAN_ENTRY_TICKET_DESK_H
#define MANGOSPAN_ENTRY_TICKET_DESK_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/request/pipeline.h"
#include "mangospan/request/ticket_policy.h"
#include "mangospan/request/ticket_registry.h"
#include "mangospan/wire/message.h"

namespace mangospan::entry {

struct ticket_desk_handlers
{
  // Sends to the process whose link listens at the address; false if it is not
  // connected.
  std::function<bool(const std::string& aAddress, const wire::message&)> mSend;
  // Called once for each `OnRequest`, perhaps from inside it.
  std::function<void(request::request_id,
                     const request::ticket_decision&,
                     const request::kept_answer&)>
    mOnDecision;
};

class ticket_desk
{
public:
  // `aAddress` is the "ip:port" of this process's link listener.
  ticket_desk(const request::ticket_options& aOptions,
              std::string aAddress,
              boot_id aBoot,
              ticket_desk_handlers aHandlers);

  // As request::ticket_registry::Issue.
  result<std::vector<std::string>> Issue(std::size_t aCount, time_point aNow);

  void OnRequest(request::request_id aRequest,
                 const std::string& aTicket,
                 std::uint64_t aFingerprint,
                 time_point aNow);

  // A request that was allowed to run has ended. Others are ignored.
  void OnEnded(request::request_id aRequest,
               request::ticket_outcome aOutcome,
               const request::kept_answer& aAnswer,
               time_point aNow);

  // Messages of other entries.
  wire::grant_reply OnGrantRequest(const wire::grant_request& aRequest,
                                   time_point aNow);
  void OnGrantReply(const wire::grant_reply& aReply, time_point aNow);
  void OnReport(const wire::ticket_report& aReport, time_point aNow);

  // Sends the reports that waited for the process at the address.
  void OnConnected(const std::string& aAddress);

  // Asks again, and gives up on issuers that do not answer. Call it at least
  // every 100 ms.
  void OnTick(time_point aNow);

  // Requests that wait for their issuer.
  std::size_t Asking() const { return mAsking.size(); }
  std::size_t WaitingReports() const { return mReports.size(); }
  request::ticket_registry_snapshot Snapshot() const;

private:
  // A request that waits for its issuer's verdict.
  struct asking
  {
    request::request_id mRequest = 0;
    std::string mIssuer;
    wire::grant_request mQuestion;
    time_point mAskNext;
    time_point mGiveUp;
  };

  // A request that may run.
  struct running
  {
    std::string mIssuer; // empty: this process
    std::string mTicket;
    std::string mAttempt;
  };

  std::string AttemptName(request::request_id aRequest) const;
  void Decide(const asking& aAsking,
              request::grant_verdict aVerdict,
              const request::kept_answer& aAnswer);
  void GiveUp(const asking& aAsking);
  void Report(const std::string& aIssuer, wire::ticket_report aReport);

  std::string mAddress;
  boot_id mBoot;
  ticket_desk_handlers mHandlers;
  request::ticket_registry mRegistry;
  std::map<std::string, asking> mAsking; // by attempt
  std::map<request::request_id, running> mRunning;
  std::deque<std::pair<std::string, wire::ticket_report>> mReports;
};

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_TICKET_DESK_H
