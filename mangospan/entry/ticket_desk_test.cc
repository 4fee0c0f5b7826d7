#include "mangospan/entry/ticket_desk.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::entry {
namespace {

using request::ticket_decision_kind;
using std::chrono::milliseconds;

// Two entries whose messages a test carries over, or loses.
class two_desks : public testing::Test
{
protected:
  struct side
  {
    side(const std::string& aAddress, boot_id aBoot)
      : mDesk({},
              aAddress,
              aBoot,
              { [this](const std::string& aTo, const wire::message& aMessage) {
                 if (mIsConnected) {
                   mSent.emplace_back(aTo, aMessage);
                 }
                 return mIsConnected;
               },
                [this](request::request_id aRequest,
                       const request::ticket_decision& aDecision,
                       const request::kept_answer& aAnswer) {
                  mDecisions[aRequest] = aDecision;
                  mKept[aRequest] = aAnswer;
                } })
    {
    }

    bool mIsConnected = true;
    std::vector<std::pair<std::string, wire::message>> mSent;
    std::map<request::request_id, request::ticket_decision> mDecisions;
    std::map<request::request_id, request::kept_answer> mKept;
    ticket_desk mDesk;
  };

  // Delivers all that the asker has sent, and the issuer's replies unless they
  // are lost.
  void Deliver(bool aLoseReplies = false)
  {
    for (const auto& [to, message] : std::exchange(mAsker.mSent, {})) {
      EXPECT_EQ(to, "127.0.0.1:1001");
      if (const auto* asked = std::get_if<wire::grant_request>(&message)) {
        const auto reply = mIssuer.mDesk.OnGrantRequest(*asked, mClock.Now());
        if (!aLoseReplies) {
          mAsker.mDesk.OnGrantReply(reply, mClock.Now());
        }
      } else if (const auto* told =
                   std::get_if<wire::ticket_report>(&message)) {
        mIssuer.mDesk.OnReport(*told, mClock.Now());
      }
    }
  }

  void Tick(milliseconds aBy)
  {
    mClock.Advance(aBy);
    mAsker.mDesk.OnTick(mClock.Now());
  }

  ticket_decision_kind Ask(request::request_id aRequest)
  {
    mAsker.mDesk.OnRequest(aRequest, mTicket, 5, mClock.Now());
    Deliver();
    return mAsker.mDecisions.at(aRequest).mKind;
  }

  manual_clock mClock;
  side mIssuer{ "127.0.0.1:1001", boot_id{ 1 } };
  side mAsker{ "127.0.0.1:1002", boot_id{ 2 } };
  std::string mTicket =
    mIssuer.mDesk.Issue(1, mClock.Now()).assume_value().front();
};

TEST_F(two_desks, RunOnceAndReplayTheKeptAnswer)
{
  EXPECT_EQ(Ask(1), ticket_decision_kind::kRun);
  EXPECT_EQ(Ask(2), ticket_decision_kind::kRefuse); // in progress
  mAsker.mDesk.OnEnded(1,
                       request::ticket_outcome::kAnswered,
                       { 201, "text/plain", "done" },
                       mClock.Now());
  Deliver();
  EXPECT_EQ(Ask(3), ticket_decision_kind::kReplay);
  EXPECT_EQ(mAsker.mKept.at(3).mBody, "done");
  EXPECT_EQ(mAsker.mKept.at(3).mStatus, 201);
}

TEST_F(two_desks, AskAgainAfterLostReply)
{
  mAsker.mDesk.OnRequest(1, mTicket, 5, mClock.Now());
  Deliver(true);
  EXPECT_TRUE(mAsker.mDecisions.empty());
  Tick(milliseconds(200));
  Deliver();
  EXPECT_EQ(mAsker.mDecisions.at(1).mKind, ticket_decision_kind::kRun);
}

TEST_F(two_desks, FreeTheTicketAfterGivingUpOnTheIssuer)
{
  mAsker.mDesk.OnRequest(1, mTicket, 5, mClock.Now());
  Deliver(true);
  mAsker.mIsConnected = false;
  Tick(milliseconds(1'000));
  EXPECT_EQ(mAsker.mDecisions.at(1).mKind, ticket_decision_kind::kRefuse);
  EXPECT_EQ(mAsker.mDesk.WaitingReports(), 1U);
  mAsker.mIsConnected = true;
  mAsker.mDesk.OnConnected("127.0.0.1:1001");
  EXPECT_EQ(mAsker.mDesk.WaitingReports(), 0U);
  EXPECT_EQ(Ask(2), ticket_decision_kind::kRun);
}

TEST_F(two_desks, IgnoreLateGrantOfAttemptGivenUp)
{
  mAsker.mDesk.OnRequest(1, mTicket, 5, mClock.Now());
  const auto question =
    std::get<wire::grant_request>(mAsker.mSent.front().second);
  Tick(milliseconds(1'000));
  const auto late = mIssuer.mDesk.OnGrantRequest(question, mClock.Now());
  mAsker.mDesk.OnGrantReply(late, mClock.Now());
  EXPECT_EQ(mAsker.mDecisions.at(1).mKind, ticket_decision_kind::kRefuse);
  EXPECT_EQ(mAsker.mDecisions.at(1).mRefusal.mOutcome,
            request::request_outcome::kUnknown);
}

} // namespace
} // namespace mangospan::entry
