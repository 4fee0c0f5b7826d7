#include "mangospan/request/ticket_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangospan::request {

namespace {

// The number of ended attempts that are recorded for a ticket; older ones are
// discarded. If a late request for a grant arrives from a discarded attempt,
// the ticket is granted to an attempt that has already ended. The ticket is
// then in progress until `mGrantTimeout` has passed, and its outcome is unknown
// afterwards, but the request never runs twice.
constexpr std::size_t kMaxEndedAttempts = 8;

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
AddEndedAttempt(std::vector<std::string>& aEndedAttempts,
                const std::string& aAttempt)
{
  if (Contains(aEndedAttempts, aAttempt)) {
    return;
  }
  if (aEndedAttempts.size() == kMaxEndedAttempts) {
    aEndedAttempts.erase(aEndedAttempts.begin());
  }
  aEndedAttempts.push_back(aAttempt);
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

ticket_registry::ticket_registry(const ticket_options& aOptions,
                                 std::string aAddress,
                                 boot_id aBoot)
  : mOptions(aOptions)
  , mAddress(std::move(aAddress))
  , mBoot(aBoot)
{
}

result<std::vector<std::string>>
ticket_registry::Issue(std::size_t aCount, time_point aNow)
{
  OnTick(aNow);
  if (aCount == 0 || aCount > mOptions.mMaxPerIssue) {
    return error{ error_code::kInvalidArgument,
                  "ticket.issue",
                  "",
                  "the number of tickets must be 1 to " +
                    std::to_string(mOptions.mMaxPerIssue) };
  }
  if (mNextSequence - mOldestSequence + aCount > mOptions.mMaxTickets) {
    return error{ error_code::kUnavailable,
                  "ticket.issue",
                  "",
                  "the limit of retained tickets is reached" };
  }
  // Expiry in whole seconds limits the number of batches to one per second.
  const auto expires =
    std::chrono::floor<std::chrono::seconds>(aNow + mOptions.mLifetime);
  if (mBatches.empty() || mBatches.back().mExpires != expires) {
    mBatches.push_back({ mNextSequence, expires });
  }
  std::vector<std::string> texts;
  texts.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    texts.push_back(ToText({ mAddress, mBoot, mNextSequence, expires }));
    ++mNextSequence;
  }
  return texts;
}

bool
ticket_registry::IsIssuedHere(const ticket& aTicket) const
{
  return aTicket.mIssuer == mAddress && aTicket.mBoot == mBoot &&
         aTicket.mSequence >= 1 && aTicket.mSequence < mNextSequence;
}

bool
ticket_registry::IsRetained(const ticket& aTicket) const
{
  return IsIssuedHere(aTicket) && aTicket.mSequence >= mOldestSequence;
}

grant
ticket_registry::Grant(std::string_view aTicket,
                       const std::string& aAttempt,
                       std::uint64_t aFingerprint,
                       time_point aNow)
{
  OnTick(aNow);
  const auto parsed = ParseTicket(aTicket);
  if (parsed.has_error() || !IsIssuedHere(parsed.assume_value())) {
    return { grant_verdict::kNotIssued, {} };
  }
  const ticket& requested = parsed.assume_value();
  if (!IsRetained(requested)) {
    return { grant_verdict::kOutcomeUnknown, {} };
  }
  const auto found = mRecords.find(requested.mSequence);
  if (found == mRecords.end()) {
    return GrantUnlessExpired(requested, aAttempt, aFingerprint, aNow);
  }
  record& existing = found->second;
  if (existing.mHasFingerprint && existing.mFingerprint != aFingerprint) {
    return { grant_verdict::kMismatch, {} };
  }
  if (existing.mProgress != progress::kGrantable) {
    return AnswerGrantedTicket(requested.mSequence, existing, aAttempt, aNow);
  }
  if (Contains(existing.mEndedAttempts, aAttempt)) {
    // The attempt has ended and this request for a grant is late. Any verdict
    // other than kGranted is safe, since no caller waits for it.
    return { grant_verdict::kInProgress, {} };
  }
  return GrantUnlessExpired(requested, aAttempt, aFingerprint, aNow);
}

grant
ticket_registry::GrantUnlessExpired(const ticket& aTicket,
                                    const std::string& aAttempt,
                                    std::uint64_t aFingerprint,
                                    time_point aNow)
{
  const auto after =
    std::upper_bound(mBatches.begin(),
                     mBatches.end(),
                     aTicket.mSequence,
                     [](std::uint64_t aSequence, const batch& aBatch) {
                       return aSequence < aBatch.mFirstSequence;
                     });
  const time_point expires = std::prev(after)->mExpires;
  if (expires != aTicket.mExpires) {
    return { grant_verdict::kNotIssued, {} }; // the expiry was forged
  }
  if (aNow >= expires) {
    return { grant_verdict::kExpired, {} };
  }
  record& granted = mRecords[aTicket.mSequence];
  granted.mProgress = progress::kInProgress;
  granted.mHasFingerprint = true;
  granted.mFingerprint = aFingerprint;
  granted.mGrantedAttempt = aAttempt;
  granted.mGrantedAt = aNow;
  return { grant_verdict::kGranted, {} };
}

grant
ticket_registry::AnswerGrantedTicket(std::uint64_t aSequence,
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
      aNow >= aRecord.mGrantedAt + mOptions.mGrantTimeout) {
    aRecord.mProgress = progress::kOutcomeUnknown;
  }
  if (aRecord.mProgress == progress::kOutcomeUnknown) {
    return { grant_verdict::kOutcomeUnknown, {} };
  }
  return { aRecord.mGrantedAttempt == aAttempt ? grant_verdict::kGranted
                                               : grant_verdict::kInProgress,
           {} };
}

void
ticket_registry::Report(std::string_view aTicket,
                        const std::string& aAttempt,
                        ticket_outcome aOutcome,
                        kept_answer aAnswer,
                        time_point aNow)
{
  OnTick(aNow);
  const auto parsed = ParseTicket(aTicket);
  if (parsed.has_error() || !IsRetained(parsed.assume_value())) {
    return;
  }
  const std::uint64_t sequence = parsed.assume_value().mSequence;
  const auto found = mRecords.find(sequence);
  const bool wasGrantedLast =
    found != mRecords.end() && found->second.mGrantedAttempt == aAttempt;
  if (wasGrantedLast && !Contains(found->second.mEndedAttempts, aAttempt)) {
    EndGrantedAttempt(sequence, found->second, aOutcome, std::move(aAnswer));
    return;
  }
  if (!wasGrantedLast && aOutcome == ticket_outcome::kNotRun) {
    // The attempt's request for a grant may arrive after this report.
    AddEndedAttempt(mRecords[sequence].mEndedAttempts, aAttempt);
  }
}

void
ticket_registry::EndGrantedAttempt(std::uint64_t aSequence,
                                   record& aRecord,
                                   ticket_outcome aOutcome,
                                   kept_answer aAnswer)
{
  AddEndedAttempt(aRecord.mEndedAttempts, aRecord.mGrantedAttempt);
  if (aOutcome == ticket_outcome::kNotRun) {
    aRecord.mProgress = progress::kGrantable;
    return;
  }
  if (aOutcome == ticket_outcome::kUnknown) {
    aRecord.mProgress = progress::kOutcomeUnknown;
    return;
  }
  aRecord.mProgress = progress::kCompleted;
  KeepAnswer(aSequence, std::move(aAnswer));
}

void
ticket_registry::KeepAnswer(std::uint64_t aSequence, kept_answer aAnswer)
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
ticket_registry::DropOldestAnswer()
{
  mKeptBytes -= SizeOf(mAnswers.begin()->second);
  mAnswers.erase(mAnswers.begin());
}

void
ticket_registry::OnTick(time_point aNow)
{
  while (!mBatches.empty() &&
         aNow >= mBatches.front().mExpires + mOptions.mRetention) {
    mBatches.pop_front();
    mOldestSequence =
      mBatches.empty() ? mNextSequence : mBatches.front().mFirstSequence;
  }
  mRecords.erase(mRecords.begin(), mRecords.lower_bound(mOldestSequence));
  while (!mAnswers.empty() && mAnswers.begin()->first < mOldestSequence) {
    DropOldestAnswer();
  }
}

ticket_registry_snapshot
ticket_registry::Snapshot() const
{
  ticket_registry_snapshot snapshot;
  snapshot.mTickets = mNextSequence - mOldestSequence;
  snapshot.mUsed = mRecords.size();
  snapshot.mKeptAnswers = mAnswers.size();
  snapshot.mKeptBytes = mKeptBytes;
  return snapshot;
}

} // namespace mangospan::request
