#include "mangospan/request/ticket_registry.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr const char* kAddress = "10.0.0.1:7001";
constexpr std::uint64_t kFingerprint = 7;

class ticket_registry_test : public ::testing::Test
{
protected:
  std::string IssueOne()
  {
    return mRegistry.Issue(1, mClock.Now()).assume_value().front();
  }
  grant Grant(const std::string& aTicket,
              const std::string& aAttempt,
              std::uint64_t aFingerprint = kFingerprint)
  {
    return mRegistry.Grant(aTicket, aAttempt, aFingerprint, mClock.Now());
  }
  grant_verdict Verdict(const std::string& aTicket, const std::string& aAttempt)
  {
    return Grant(aTicket, aAttempt).mVerdict;
  }
  void Report(const std::string& aTicket,
              const std::string& aAttempt,
              ticket_outcome aOutcome,
              kept_answer aAnswer = {})
  {
    mRegistry.Report(
      aTicket, aAttempt, aOutcome, std::move(aAnswer), mClock.Now());
  }

  ticket_options mOptions;
  manual_clock mClock;
  ticket_registry mRegistry{ mOptions, kAddress, boot_id{ 5 } };
};

TEST_F(ticket_registry_test, GrantsToOneAttemptAndRepeatsTheVerdictToIt)
{
  const std::string ticket = IssueOne();
  EXPECT_EQ(Verdict(ticket, "a"), grant_verdict::kGranted);
  EXPECT_EQ(Verdict(ticket, "a"), grant_verdict::kGranted);
  EXPECT_EQ(Verdict(ticket, "b"), grant_verdict::kInProgress);
}

TEST_F(ticket_registry_test, KeepsTheAnswerForLaterAttempts)
{
  const std::string ticket = IssueOne();
  Grant(ticket, "a");
  Report(ticket, "a", ticket_outcome::kAnswered, { 201, "text/plain", "ok" });
  const grant repeated = Grant(ticket, "b");
  EXPECT_EQ(repeated.mVerdict, grant_verdict::kCompleted);
  EXPECT_EQ(repeated.mAnswer.mStatus, 201);
  EXPECT_EQ(repeated.mAnswer.mBody, "ok");
}

TEST_F(ticket_registry_test, GrantsAgainAfterNotRunButNotToTheEndedAttempt)
{
  const std::string ticket = IssueOne();
  Grant(ticket, "a");
  Report(ticket, "a", ticket_outcome::kNotRun);
  EXPECT_NE(Verdict(ticket, "a"), grant_verdict::kGranted);
  EXPECT_EQ(Verdict(ticket, "b"), grant_verdict::kGranted);
}

TEST_F(ticket_registry_test,
       DeniesALateGrantRequestOfAnAttemptThatReportedNotRun)
{
  const std::string ticket = IssueOne();
  Report(
    ticket, "a", ticket_outcome::kNotRun); // arrives before the grant request
  EXPECT_NE(Verdict(ticket, "a"), grant_verdict::kGranted);
  EXPECT_EQ(Verdict(ticket, "b"), grant_verdict::kGranted);
}

TEST_F(ticket_registry_test, IgnoresRepeatedReportsAndReportsOfOtherAttempts)
{
  const std::string ticket = IssueOne();
  Grant(ticket, "a");
  Report(ticket, "b", ticket_outcome::kNotRun);
  EXPECT_EQ(Verdict(ticket, "c"), grant_verdict::kInProgress);
  Report(ticket, "a", ticket_outcome::kUnknown);
  Report(ticket, "a", ticket_outcome::kNotRun);
  EXPECT_EQ(Verdict(ticket, "c"), grant_verdict::kOutcomeUnknown);
}

TEST_F(ticket_registry_test, RejectsADifferentRequestWithAUsedTicket)
{
  const std::string ticket = IssueOne();
  Grant(ticket, "a", 1);
  EXPECT_EQ(Grant(ticket, "b", 2).mVerdict, grant_verdict::kMismatch);
  Report(ticket, "a", ticket_outcome::kAnswered, { 200, "", "secret" });
  EXPECT_EQ(Grant(ticket, "b", 2).mVerdict, grant_verdict::kMismatch);
  EXPECT_EQ(Grant(ticket, "b", 2).mAnswer.mBody, "");
}

TEST_F(ticket_registry_test, TheOutcomeOfALostAttemptIsUnknownUntilItReports)
{
  const std::string ticket = IssueOne();
  Grant(ticket, "a");
  mClock.Advance(mOptions.mGrantTimeout);
  EXPECT_EQ(Verdict(ticket, "b"), grant_verdict::kOutcomeUnknown);
  Report(ticket, "a", ticket_outcome::kAnswered, { 200, "", "late" });
  EXPECT_EQ(Grant(ticket, "b").mAnswer.mBody, "late");
}

TEST_F(ticket_registry_test, GrantsNothingNewAfterAFreezePastTheExpiry)
{
  const std::string unused = IssueOne();
  const std::string used = IssueOne();
  Grant(used, "a");
  mClock.Advance(mOptions.mLifetime);
  EXPECT_EQ(Verdict(unused, "a"), grant_verdict::kExpired);
  EXPECT_EQ(Verdict(used, "b"), grant_verdict::kOutcomeUnknown);
  mClock.Advance(mOptions.mRetention);
  EXPECT_EQ(Verdict(unused, "a"), grant_verdict::kOutcomeUnknown);
  EXPECT_EQ(Verdict(used, "a"), grant_verdict::kOutcomeUnknown);
  EXPECT_EQ(mRegistry.Snapshot().mUsed, 0U);
}

TEST_F(ticket_registry_test, ForgedTicketsHaveTheVerdictNotIssued)
{
  ticket forged = ParseTicket(IssueOne()).assume_value();
  forged.mExpires += minutes(1);
  EXPECT_EQ(Verdict(ToText(forged), "a"), grant_verdict::kNotIssued);
  forged = ParseTicket(IssueOne()).assume_value();
  forged.mSequence += 1;
  EXPECT_EQ(Verdict(ToText(forged), "a"), grant_verdict::kNotIssued);
  forged.mSequence = 0;
  EXPECT_EQ(Verdict(ToText(forged), "a"), grant_verdict::kNotIssued);
  EXPECT_EQ(Verdict("nonsense", "a"), grant_verdict::kNotIssued);
}

TEST_F(ticket_registry_test, BoundsTheNumberOfTickets)
{
  EXPECT_EQ(mRegistry.Issue(0, mClock.Now()).assume_error().mCode,
            error_code::kInvalidArgument);
  EXPECT_EQ(mRegistry.Issue(mOptions.mMaxPerIssue + 1, mClock.Now())
              .assume_error()
              .mCode,
            error_code::kInvalidArgument);
  while (mRegistry.Issue(mOptions.mMaxPerIssue, mClock.Now()).has_value()) {
  }
  EXPECT_EQ(mRegistry.Snapshot().mTickets, mOptions.mMaxTickets);
  mClock.Advance(mOptions.mLifetime + mOptions.mRetention);
  EXPECT_TRUE(mRegistry.Issue(1, mClock.Now()).has_value());
}

TEST_F(ticket_registry_test, BoundsTheBytesOfKeptAnswersAndDropsTheOldestFirst)
{
  std::vector<std::string> tickets;
  const std::string body(60000, 'x');
  for (int i = 0; i < 500; ++i) {
    tickets.push_back(IssueOne());
    Grant(tickets.back(), "a");
    Report(tickets.back(), "a", ticket_outcome::kAnswered, { 200, "", body });
    ASSERT_LE(mRegistry.Snapshot().mKeptBytes, mOptions.mMaxKeptBytes);
  }
  EXPECT_EQ(Grant(tickets.front(), "b").mAnswer.mStatus, 0);
  EXPECT_EQ(Verdict(tickets.front(), "b"), grant_verdict::kCompleted);
  EXPECT_EQ(Grant(tickets.back(), "b").mAnswer.mBody, body);
  const std::string big = IssueOne();
  Grant(big, "a");
  Report(big,
         "a",
         ticket_outcome::kAnswered,
         { 200, "", std::string(mOptions.mMaxAnswerBytes + 1, 'x') });
  EXPECT_EQ(Grant(big, "b").mAnswer.mStatus, 0);
}

// Simulates attempts with one ticket that ask for a grant, run and report over
// a network that loses, repeats and reorders messages, while the issuer
// freezes, simulated by jumps of the clock, and restarts. Guards against two
// runs of one request.
class lossy_network_simulation
{
public:
  explicit lossy_network_simulation(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRegistry(ticket_options{}, kAddress, boot_id{ mBoot })
  {
    mTicket = mRegistry.Issue(1, mClock.Now()).assume_value().front();
  }

  void Step()
  {
    switch (mRandom() % 8) {
      case 0:
        mNetwork.push_back({ true, NewAttempt(), {} });
        break;
      case 1:
      case 2:
      case 3:
        DeliverRandomMessage();
        break;
      case 4:
        EndRandomAttempt();
        break;
      case 5:
        if (!mNetwork.empty()) { // repeat a message
          mNetwork.push_back(mNetwork[mRandom() % mNetwork.size()]);
        }
        break;
      case 6:
        mClock.Advance(seconds(mRandom() % 200));
        break;
      default:
        MaybeRestart();
        break;
    }
  }

  int mRunCount = 0;

private:
  struct message
  {
    bool mIsGrantRequest = true;
    std::string mAttempt;
    ticket_outcome mOutcome = ticket_outcome::kUnknown;
  };
  enum class attempt_state
  {
    kWaitingForGrant,
    kRunning,
    kEnded,
  };

  std::string NewAttempt()
  {
    std::string attempt = "a" + std::to_string(mAttempts.size());
    mAttempts[attempt] = attempt_state::kWaitingForGrant;
    return attempt;
  }

  void DeliverRandomMessage()
  {
    if (mNetwork.empty()) {
      return;
    }
    const std::size_t at = mRandom() % mNetwork.size();
    const message received = mNetwork[at];
    mNetwork.erase(mNetwork.begin() + static_cast<std::ptrdiff_t>(at));
    if (!received.mIsGrantRequest) {
      mRegistry.Report(
        mTicket, received.mAttempt, received.mOutcome, {}, mClock.Now());
      return;
    }
    const auto answer =
      mRegistry.Grant(mTicket, received.mAttempt, kFingerprint, mClock.Now());
    const bool replyLost = mRandom() % 4 == 0;
    attempt_state& attemptState = mAttempts[received.mAttempt];
    if (replyLost || attemptState != attempt_state::kWaitingForGrant) {
      return;
    }
    attemptState = answer.mVerdict == grant_verdict::kGranted
                     ? attempt_state::kRunning
                     : attempt_state::kEnded;
  }

  // Ends a random attempt: it ran, did not run, ran and lost its connection, or
  // stopped waiting for the grant.
  void EndRandomAttempt()
  {
    for (auto& [attempt, attemptState] : mAttempts) {
      if (attemptState == attempt_state::kEnded || mRandom() % 2 == 0) {
        continue;
      }
      auto outcome = ticket_outcome::kNotRun;
      if (attemptState == attempt_state::kRunning && mRandom() % 2 == 0) {
        ++mRunCount;
        outcome = mRandom() % 2 == 0 ? ticket_outcome::kAnswered
                                     : ticket_outcome::kUnknown;
      }
      attemptState = attempt_state::kEnded;
      mNetwork.push_back({ false, attempt, outcome });
      return;
    }
  }

  void MaybeRestart()
  {
    if (mRandom() % 20 == 0) {
      mRegistry =
        ticket_registry(ticket_options{}, kAddress, boot_id{ ++mBoot });
      static_cast<void>(mRegistry.Issue(1, mClock.Now()));
    }
  }

  std::mt19937_64 mRandom;
  std::uint64_t mBoot = 1;
  manual_clock mClock;
  ticket_registry mRegistry;
  std::string mTicket;
  std::map<std::string, attempt_state> mAttempts;
  std::vector<message> mNetwork;
};

TEST(TicketRegistrySchedules, ATicketRunsAtMostOnceInAnySchedule)
{
  int ran = 0;
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    lossy_network_simulation simulation(seed);
    for (int step = 0; step < 120; ++step) {
      simulation.Step();
    }
    ASSERT_LE(simulation.mRunCount, 1) << "seed " << seed;
    ran += simulation.mRunCount;
  }
  EXPECT_GT(ran, 2000); // the schedules must run requests
}

} // namespace
} // namespace mangospan::request
