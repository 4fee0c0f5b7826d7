#include "mangospan/request/ticket_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangospan::request {

namespace {

// Later closed attempts push out earlier ones. Should a message of one that was
// pushed out still arrive, the ticket is granted to an attempt that is over,
// and stays in progress until the grant's limit: slow, but never run twice.
constexpr std::size_t kMaxClosedAttempts = 8;

std::size_t
SizeOf(const kept_answer& aAnswer)
{
  return sizeof(kept_answer) + aAnswer.mContentType.size() +
         aAnswer.mBody.size();
}

bool
Contains(const std::vector<std::string>& aList, const std::string& aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

void
Close(std::vector<std::string>& aClosed, const std::string& aAttempt)
{
  if (Contains(aClosed, aAttempt)) {
    return;
  }
  if (aClosed.size() == kMaxClosedAttempts) {
    aClosed.erase(aClosed.begin());
  }
  aClosed.push_back(aAttempt);
}

} // namespace

const char*
Name(grant_verdict aVerdict)
{
  static constexpr const char* kNames[] = {
    "granted", "in_progress", "completed", "outcome_unknown",
    "expired", "not_issued",  "mismatch",
  };
  return kNames[static_cast<std::size_t>(aVerdict)];
}

ticket_ledger::ticket_ledger(const ticket_options& aOptions,
                             std::string aAddress,
                             boot_id aBoot)
  : mOptions(aOptions)
  , mAddress(std::move(aAddress))
  , mBoot(aBoot)
{
}

result<std::vector<std::string>>
ticket_ledger::Issue(std::size_t aCount, time_point aNow)
{
  OnTick(aNow);
  if (aCount == 0 || aCount > mOptions.mMaxPerIssue) {
    return error{ error_code::kInvalidArgument,
                  "ticket.issue",
                  "",
                  "count must be 1 to " +
                    std::to_string(mOptions.mMaxPerIssue) };
  }
  if (mNext - mRemembered + aCount > mOptions.mMaxTickets) {
    return error{ error_code::kUnavailable,
                  "ticket.issue",
                  "",
                  "too many tickets are still remembered" };
  }
  // Whole seconds, so that there is at most one batch a second.
  const auto expires =
    std::chrono::floor<std::chrono::seconds>(aNow + mOptions.mLifetime);
  if (mBatches.empty() || mBatches.back().mExpires != expires) {
    mBatches.push_back({ mNext, expires });
  }
  std::vector<std::string> texts;
  texts.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    texts.push_back(ToText({ mAddress, mBoot, mNext, expires }));
    ++mNext;
  }
  return texts;
}

bool
ticket_ledger::Issued(const ticket& aTicket) const
{
  return aTicket.mIssuer == mAddress && aTicket.mBoot == mBoot &&
         aTicket.mSequence >= 1 && aTicket.mSequence < mNext;
}

bool
ticket_ledger::Remembers(const ticket& aTicket) const
{
  return Issued(aTicket) && aTicket.mSequence >= mRemembered;
}

grant
ticket_ledger::Grant(std::string_view aTicket,
                     const std::string& aAttempt,
                     std::uint64_t aFingerprint,
                     time_point aNow)
{
  OnTick(aNow);
  const auto parsed = ParseTicket(aTicket);
  if (parsed.has_error() || !Issued(parsed.assume_value())) {
    return { grant_verdict::kNotIssued, {} };
  }
  const ticket& asked = parsed.assume_value();
  if (!Remembers(asked)) {
    return { grant_verdict::kOutcomeUnknown, {} };
  }
  const auto found = mRecords.find(asked.mSequence);
  if (found == mRecords.end()) {
    return GrantFree(asked, aAttempt, aFingerprint, aNow);
  }
  record& known = found->second;
  if (known.mBound && known.mFingerprint != aFingerprint) {
    return { grant_verdict::kMismatch, {} };
  }
  if (known.mProgress != progress::kFree) {
    return GrantAgain(asked.mSequence, known, aAttempt, aNow);
  }
  if (Contains(known.mClosed, aAttempt)) {
    // The attempt is over, this message is late: anything but a grant will do.
    return { grant_verdict::kInProgress, {} };
  }
  return GrantFree(asked, aAttempt, aFingerprint, aNow);
}

grant
ticket_ledger::GrantFree(const ticket& aTicket,
                         const std::string& aAttempt,
                         std::uint64_t aFingerprint,
                         time_point aNow)
{
  const auto after =
    std::upper_bound(mBatches.begin(),
                     mBatches.end(),
                     aTicket.mSequence,
                     [](std::uint64_t aSequence, const batch& aBatch) {
                       return aSequence < aBatch.mFirst;
                     });
  const time_point expires = std::prev(after)->mExpires;
  if (expires != aTicket.mExpires) {
    return { grant_verdict::kNotIssued, {} }; // a forged expiry
  }
  if (aNow >= expires) {
    return { grant_verdict::kExpired, {} };
  }
  record& held = mRecords[aTicket.mSequence];
  held.mProgress = progress::kInProgress;
  held.mBound = true;
  held.mFingerprint = aFingerprint;
  held.mHolder = aAttempt;
  held.mGranted = aNow;
  return { grant_verdict::kGranted, {} };
}

grant
ticket_ledger::GrantAgain(std::uint64_t aSequence,
                          record& aRecord,
                          const std::string& aAttempt,
                          time_point aNow)
{
  if (aRecord.mProgress == progress::kCompleted) {
    const auto kept = mAnswers.find(aSequence);
    return { grant_verdict::kCompleted,
             kept == mAnswers.end() ? kept_answer{} : kept->second };
  }
  if (aRecord.mProgress == progress::kInProgress &&
      aNow >= aRecord.mGranted + mOptions.mGrantLimit) {
    aRecord.mProgress = progress::kOutcomeUnknown;
  }
  if (aRecord.mProgress == progress::kOutcomeUnknown) {
    return { grant_verdict::kOutcomeUnknown, {} };
  }
  return { aRecord.mHolder == aAttempt ? grant_verdict::kGranted
                                       : grant_verdict::kInProgress,
           {} };
}

void
ticket_ledger::Report(std::string_view aTicket,
                      const std::string& aAttempt,
                      ticket_outcome aOutcome,
                      kept_answer aAnswer,
                      time_point aNow)
{
  OnTick(aNow);
  const auto parsed = ParseTicket(aTicket);
  if (parsed.has_error() || !Remembers(parsed.assume_value())) {
    return;
  }
  const std::uint64_t sequence = parsed.assume_value().mSequence;
  const auto found = mRecords.find(sequence);
  const bool holds =
    found != mRecords.end() && found->second.mHolder == aAttempt;
  if (holds && !Contains(found->second.mClosed, aAttempt)) {
    EndHeld(sequence, found->second, aOutcome, std::move(aAnswer));
    return;
  }
  if (!holds && aOutcome == ticket_outcome::kNotRun) {
    // Its request for a grant may still be on its way.
    Close(mRecords[sequence].mClosed, aAttempt);
  }
}

void
ticket_ledger::EndHeld(std::uint64_t aSequence,
                       record& aRecord,
                       ticket_outcome aOutcome,
                       kept_answer aAnswer)
{
  Close(aRecord.mClosed, aRecord.mHolder);
  if (aOutcome == ticket_outcome::kNotRun) {
    aRecord.mProgress = progress::kFree;
    return;
  }
  if (aOutcome == ticket_outcome::kUnknown) {
    aRecord.mProgress = progress::kOutcomeUnknown;
    return;
  }
  aRecord.mProgress = progress::kCompleted;
  Keep(aSequence, std::move(aAnswer));
}

void
ticket_ledger::Keep(std::uint64_t aSequence, kept_answer aAnswer)
{
  const std::size_t size = SizeOf(aAnswer);
  if (size > mOptions.mMaxAnswerBytes || size > mOptions.mMaxKeptBytes) {
    return;
  }
  while (mKeptBytes + size > mOptions.mMaxKeptBytes) {
    DropOldestAnswer();
  }
  mKeptBytes += size;
  mAnswers.emplace(aSequence, std::move(aAnswer));
}

void
ticket_ledger::DropOldestAnswer()
{
  mKeptBytes -= SizeOf(mAnswers.begin()->second);
  mAnswers.erase(mAnswers.begin());
}

void
ticket_ledger::OnTick(time_point aNow)
{
  while (!mBatches.empty() &&
         aNow >= mBatches.front().mExpires + mOptions.mRetention) {
    mBatches.pop_front();
    mRemembered = mBatches.empty() ? mNext : mBatches.front().mFirst;
  }
  mRecords.erase(mRecords.begin(), mRecords.lower_bound(mRemembered));
  while (!mAnswers.empty() && mAnswers.begin()->first < mRemembered) {
    DropOldestAnswer();
  }
}

ticket_ledger_snapshot
ticket_ledger::Snapshot() const
{
  ticket_ledger_snapshot snapshot;
  snapshot.mTickets = mNext - mRemembered;
  snapshot.mUsed = mRecords.size();
  snapshot.mKeptAnswers = mAnswers.size();
  snapshot.mKeptBytes = mKeptBytes;
  return snapshot;
}

} // namespace mangospan::request
