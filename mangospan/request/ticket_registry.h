// The registry of the tickets that a process has issued. It decides whether an
// attempt may run.
//
// The process that issues a ticket is the only one to keep its state, in
// memory. An entry that receives a request with the ticket asks this registry
// for a grant before it sends any byte to an endpoint, and reports how the
// attempt ended:
//
//   ticket_registry registry(ticket_options{}, ownLinkAddress, ownBoot);
//   BOOST_OUTCOME_TRY(auto tickets, registry.Issue(10, now));
//   grant reply = registry.Grant(tickets[0], attempt, fingerprint, now);
//   if (reply.mVerdict == grant_verdict::kGranted) { ... }
//   registry.Report(tickets[0], attempt, ticket_outcome::kAnswered, kept, now);
//
// A ticket is granted to a second attempt only after the first has reported
// that it did not run. So the request runs at most once, even if messages are
// lost, repeated or reordered and processes die or freeze: a restarted issuer
// has another boot id and grants none of its earlier tickets.
#ifndef MANGOSPAN_REQUEST_TICKET_REGISTRY_H
#define MANGOSPAN_REQUEST_TICKET_REGISTRY_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/request/ticket.h"

namespace mangospan::request {

// The issuer's decision on an attempt that asks to run.
enum class grant_verdict
{
  kGranted,        // the attempt may run, also if it asks repeatedly
  kInProgress,     // the ticket is granted to another attempt
  kCompleted,      // the request has run; the kept answer is attached, if any
  kOutcomeUnknown, // granted earlier; the request may have run
  kExpired,        // the request has not run and never will
  kNotIssued,      // this process did not issue the ticket, or has restarted
  kMismatch,       // the ticket was used before for a different request
};

// Returns the verdict as it appears in logs, for example "in_progress".
const char*
Name(grant_verdict aVerdict);

// The result of an attempt that was granted a ticket.
enum class ticket_outcome
{
  kAnswered,
  kNotRun, // no endpoint ran the request; the ticket may be granted again
  kUnknown,
};

// The endpoint's answer, kept for callers that repeat the request. The status
// is zero if no answer is kept.
struct kept_answer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

// The reply to an attempt that asks to run.
struct grant
{
  grant_verdict mVerdict = grant_verdict::kNotIssued;
  kept_answer mAnswer; // set only with kCompleted
};

// Limits of a `ticket_registry`.
struct ticket_options
{
  std::chrono::milliseconds mLifetime{ std::chrono::minutes(5) };
  // The time for which the state of a ticket is retained after its expiry, for
  // callers that repeat a request late.
  std::chrono::milliseconds mRetention{ std::chrono::minutes(5) };
  // A granted attempt that has not reported after this time is considered lost:
  // its outcome becomes unknown.
  std::chrono::milliseconds mGrantTimeout{ std::chrono::minutes(2) };
  std::size_t mMaxPerIssue = 1000;
  std::size_t mMaxTickets = 200000; // tickets issued and still retained
  // Limits on one kept answer and on all kept answers together.
  std::size_t mMaxAnswerBytes = std::size_t{ 64 } * 1024;
  std::size_t mMaxKeptBytes = std::size_t{ 16 } * 1024 * 1024;
};

// Counts of a `ticket_registry`, for the state dump.
struct ticket_registry_snapshot
{
  std::size_t mTickets = 0; // tickets issued and still retained
  std::size_t mUsed = 0;    // tickets about which an attempt has sent a message
  std::size_t mKeptAnswers = 0;
  std::size_t mKeptBytes = 0;
};

// Issues tickets and grants each of them to at most one running attempt. Not
// thread-safe.
class ticket_registry
{
public:
  // `aAddress` is the "ip:port" at which other entries reach this process.
  ticket_registry(const ticket_options& aOptions,
                  std::string aAddress,
                  boot_id aBoot);

  // Issues `aCount` tickets and returns their texts. Returns kInvalidArgument
  // if `aCount` is zero or exceeds `mMaxPerIssue`, and kUnavailable if the
  // number of retained tickets would exceed `mMaxTickets`.
  result<std::vector<std::string>> Issue(std::size_t aCount, time_point aNow);

  // Decides whether `aAttempt` may run the request that `aFingerprint`
  // identifies. Repeated calls for a granted attempt return the same verdict
  // until the attempt has reported or `mGrantTimeout` has passed. Returns
  // kNotIssued if `aTicket` is malformed.
  grant Grant(std::string_view aTicket,
              const std::string& aAttempt,
              std::uint64_t aFingerprint,
              time_point aNow);

  // Records how an attempt ended. Only the attempt that was granted the ticket
  // last changes its state, by its first report. A report of kNotRun by another
  // attempt bars that attempt from a later grant.
  void Report(std::string_view aTicket,
              const std::string& aAttempt,
              ticket_outcome aOutcome,
              kept_answer aAnswer,
              time_point aNow);

  // Discards tickets whose retention has ended, as every other non-const call
  // does.
  void OnTick(time_point aNow);

  ticket_registry_snapshot Snapshot() const;

private:
  // Tickets with the same expiry. Their sequences range from `mFirstSequence`
  // to the `mFirstSequence` of the next batch, exclusive.
  struct batch
  {
    std::uint64_t mFirstSequence = 0;
    time_point mExpires;
  };

  enum class progress
  {
    kGrantable,
    kInProgress,
    kCompleted,
    kOutcomeUnknown,
  };

  // The state of a ticket about which an attempt has sent a message.
  struct record
  {
    progress mProgress = progress::kGrantable;
    bool mHasFingerprint = false; // set by the first grant
    std::uint64_t mFingerprint = 0;
    time_point mGrantedAt;
    std::string mGrantedAttempt; // the attempt that was granted last
    std::vector<std::string>
      mEndedAttempts; // attempts that must not be granted again
  };

  // Returns true if this process issued the ticket and still retains it.
  bool IsRetained(const ticket& aTicket) const;
  bool IsIssuedHere(const ticket& aTicket) const;
  // Grants a ticket that no attempt holds, unless it has expired or is forged.
  grant GrantUnlessExpired(const ticket& aTicket,
                           const std::string& aAttempt,
                           std::uint64_t aFingerprint,
                           time_point aNow);
  // Returns the verdict on a ticket that is granted, completed or of unknown
  // outcome.
  grant AnswerGrantedTicket(std::uint64_t aSequence,
                            record& aRecord,
                            const std::string& aAttempt,
                            time_point aNow);
  // Ends the attempt to which the ticket is granted.
  void EndGrantedAttempt(std::uint64_t aSequence,
                         record& aRecord,
                         ticket_outcome aOutcome,
                         kept_answer aAnswer);
  // Stores the answer if it is within the limits; drops others to make space.
  void KeepAnswer(std::uint64_t aSequence, kept_answer aAnswer);
  // Drops the kept answer of the ticket that was issued first.
  void DropOldestAnswer();

  ticket_options mOptions;
  std::string mAddress;
  boot_id mBoot;
  std::uint64_t mNextSequence = 1;   // sequence of the next ticket to issue
  std::uint64_t mOldestSequence = 1; // lowest sequence of the retained tickets
  std::deque<batch> mBatches; // batches of retained tickets, oldest first
  // Keyed by the sequence of the ticket.
  std::map<std::uint64_t, record> mRecords;
  std::map<std::uint64_t, kept_answer> mAnswers;
  std::size_t mKeptBytes = 0;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_TICKET_REGISTRY_H
