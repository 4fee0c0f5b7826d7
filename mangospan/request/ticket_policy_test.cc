#include "mangospan/request/ticket_policy.h"

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

constexpr const char* kIssuer = "10.0.0.1:7001";

TEST(TicketPolicy, RunsOnlyGrantedRequests)
{
  for (const auto verdict : { grant_verdict::kInProgress,
                              grant_verdict::kCompleted,
                              grant_verdict::kOutcomeUnknown,
                              grant_verdict::kExpired,
                              grant_verdict::kNotIssued,
                              grant_verdict::kMismatch }) {
    EXPECT_EQ(DecideOnVerdict(verdict, false, kIssuer).mKind,
              ticket_decision_kind::kRefuse)
      << Name(verdict);
  }
  EXPECT_EQ(DecideOnVerdict(grant_verdict::kGranted, false, kIssuer).mKind,
            ticket_decision_kind::kRun);
  EXPECT_EQ(DecideOnVerdict(grant_verdict::kCompleted, true, kIssuer).mKind,
            ticket_decision_kind::kReplay);
}

TEST(TicketPolicy, RefusesAsNotRunOnlyIfNoAttemptCanHaveRun)
{
  const auto outcome = [](grant_verdict aVerdict) {
    return DecideOnVerdict(aVerdict, false, kIssuer).mRefusal.mOutcome;
  };
  EXPECT_EQ(outcome(grant_verdict::kExpired), request_outcome::kNotRun);
  EXPECT_EQ(outcome(grant_verdict::kMismatch), request_outcome::kNotRun);
  EXPECT_EQ(outcome(grant_verdict::kNotIssued), request_outcome::kUnknown);
  EXPECT_EQ(outcome(grant_verdict::kOutcomeUnknown), request_outcome::kUnknown);
  EXPECT_EQ(outcome(grant_verdict::kInProgress), request_outcome::kUnknown);
  EXPECT_EQ(outcome(grant_verdict::kCompleted), request_outcome::kUnknown);
  EXPECT_EQ(DecideOnUnreachableIssuer(kIssuer).mRefusal.mOutcome,
            request_outcome::kUnknown);
  EXPECT_EQ(DecideOnMalformedTicket().mRefusal.mOutcome,
            request_outcome::kNotRun);
}

TEST(TicketPolicy, SetsARetryTimeOnlyIfARetryCanHelp)
{
  const auto retry = [](grant_verdict aVerdict) {
    return DecideOnVerdict(aVerdict, false, kIssuer).mRefusal.mRetryAfter;
  };
  EXPECT_GT(retry(grant_verdict::kInProgress).count(), 0);
  EXPECT_GT(DecideOnUnreachableIssuer(kIssuer).mRefusal.mRetryAfter.count(), 0);
  EXPECT_EQ(retry(grant_verdict::kExpired).count(), 0);
  EXPECT_EQ(retry(grant_verdict::kNotIssued).count(), 0);
}

TEST(TicketPolicy, RefusalsContainTheIssuerAndTheReason)
{
  const auto refused =
    DecideOnVerdict(grant_verdict::kNotIssued, false, kIssuer).mRefusal;
  EXPECT_EQ(refused.mPeer, kIssuer);
  EXPECT_STREQ(Name(refused.mCode), "issuer_restarted");
  EXPECT_STREQ(Name(DecideOnMalformedTicket().mRefusal.mCode),
               "malformed_ticket");
}

TEST(TicketPolicy, ReportsTheOutcomeOfTheRefusalToTheIssuer)
{
  refusal refused;
  refused.mOutcome = request_outcome::kNotRun;
  EXPECT_EQ(OutcomeOf(refused), ticket_outcome::kNotRun);
  refused.mOutcome = request_outcome::kUnknown;
  EXPECT_EQ(OutcomeOf(refused), ticket_outcome::kUnknown);
}

} // namespace
} // namespace mangospan::request
