// The issuer's side of tickets: which of its tickets may still run.
//
// One process issues a ticket and alone keeps its state, in memory. Every
// entry that receives a request with that ticket asks here before it sends
// one byte to an endpoint, and reports how the attempt ended:
//
//   ticket_ledger ledger(ticket_options{}, ownLinkAddress, ownBoot);
//   BOOST_OUTCOME_TRY(auto names, ledger.Issue(10, now));
//   grant answer = ledger.Grant(names[0], attempt, fingerprint, now);
//   if (answer.mVerdict == grant_verdict::kGranted) { ... }
//   ledger.Report(names[0], attempt, ticket_outcome::kAnswered, kept, now);
//
// A ticket is granted to a second attempt only after the first has reported
// that it did not run. So the request runs at most once, whatever messages are
// lost, repeated or reordered, and whichever process dies or freezes: a
// restarted issuer has another boot id and grants none of the old tickets.
#ifndef MANGOSPAN_REQUEST_TICKET_LEDGER_H
#define MANGOSPAN_REQUEST_TICKET_LEDGER_H

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

enum class grant_verdict
{
  kGranted,        // this attempt may run; also when it asks again
  kInProgress,     // another attempt holds it
  kCompleted,      // ran; the kept answer comes with it if there is one
  kOutcomeUnknown, // granted earlier; whether it ran is not known
  kExpired,        // did not run, and never will
  kNotIssued,      // this process did not issue it (or has restarted)
  kMismatch,       // used before for a different request
};

// For logs: "in_progress".
const char*
Name(grant_verdict aVerdict);

enum class ticket_outcome
{
  kAnswered,
  kNotRun, // may be granted again
  kUnknown,
};

// The answer that a repeated caller gets. A status of zero: none is kept.
struct kept_answer
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

struct grant
{
  grant_verdict mVerdict = grant_verdict::kNotIssued;
  kept_answer mAnswer; // with kCompleted
};

struct ticket_options
{
  std::chrono::milliseconds mLifetime{ std::chrono::minutes(5) };
  // For how long a ticket's state outlives its expiry, for late callers.
  std::chrono::milliseconds mRetention{ std::chrono::minutes(5) };
  // A granted attempt that has not reported by then is taken for lost.
  std::chrono::milliseconds mGrantLimit{ std::chrono::minutes(2) };
  std::size_t mMaxPerIssue = 1000;
  std::size_t mMaxTickets = 200000; // issued and not forgotten yet
  std::size_t mMaxAnswerBytes = std::size_t{ 64 } * 1024;
  std::size_t mMaxKeptBytes = std::size_t{ 16 } * 1024 * 1024;
};

// What the ledger holds, for the state dump.
struct ticket_ledger_snapshot
{
  std::size_t mTickets = 0; // issued and not forgotten yet
  std::size_t mUsed = 0;    // asked for at least once
  std::size_t mKeptAnswers = 0;
  std::size_t mKeptBytes = 0;
};

class ticket_ledger
{
public:
  // `aAddress` is the "ip:port" at which other entries reach this ledger.
  ticket_ledger(const ticket_options& aOptions,
                std::string aAddress,
                boot_id aBoot);

  // Issues `aCount` tickets. Errors: kInvalidArgument for a count of zero or
  // over `mMaxPerIssue`; kUnavailable while too many are issued.
  result<std::vector<std::string>> Issue(std::size_t aCount, time_point aNow);

  // Decides whether the attempt may run the request of the fingerprint.
  // Asking again with the same attempt gives the same answer until that
  // attempt has reported. A text that is no ticket gives kNotIssued.
  grant Grant(std::string_view aTicket,
              const std::string& aAttempt,
              std::uint64_t aFingerprint,
              time_point aNow);

  // Takes note of how an attempt ended. Only the attempt that holds the ticket
  // changes its state; repeated and late reports are ignored.
  void Report(std::string_view aTicket,
              const std::string& aAttempt,
              ticket_outcome aOutcome,
              kept_answer aAnswer,
              time_point aNow);

  // Forgets what is past its retention. The other calls do so too.
  void OnTick(time_point aNow);

  ticket_ledger_snapshot Snapshot() const;

private:
  // Tickets of one expiry: sequences from `mFirst` up to the next batch's.
  struct batch
  {
    std::uint64_t mFirst = 0;
    time_point mExpires;
  };

  enum class progress
  {
    kFree, // may be granted
    kInProgress,
    kCompleted,
    kOutcomeUnknown,
  };

  // A ticket that was asked for at least once.
  struct record
  {
    progress mProgress = progress::kFree;
    bool mBound = false; // `mFingerprint` is set
    std::uint64_t mFingerprint = 0;
    time_point mGranted;
    std::string mHolder;              // the attempt that was granted last
    std::vector<std::string> mClosed; // attempts that may not run any more
  };

  // Whether this process issued the ticket and still remembers it.
  bool Remembers(const ticket& aTicket) const;
  bool Issued(const ticket& aTicket) const;
  grant GrantFree(const ticket& aTicket,
                  const std::string& aAttempt,
                  std::uint64_t aFingerprint,
                  time_point aNow);
  grant GrantAgain(std::uint64_t aSequence,
                   record& aRecord,
                   const std::string& aAttempt,
                   time_point aNow);
  void EndHeld(std::uint64_t aSequence,
               record& aRecord,
               ticket_outcome aOutcome,
               kept_answer aAnswer);
  void Keep(std::uint64_t aSequence, kept_answer aAnswer);
  void DropOldestAnswer();

  ticket_options mOptions;
  std::string mAddress;
  boot_id mBoot;
  std::uint64_t mNext = 1;       // sequence of the next ticket
  std::uint64_t mRemembered = 1; // all below are forgotten
  std::deque<batch> mBatches;    // oldest first, from mRemembered on
  std::map<std::uint64_t, record> mRecords;
  std::map<std::uint64_t, kept_answer> mAnswers;
  std::size_t mKeptBytes = 0;
};

} // namespace mangospan::request

#endif // MANGOSPAN_REQUEST_TICKET_LEDGER_H
