#include "testing/scenario/load_client.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"
#include "testing/endpoint/answer.h"
#include "testing/scenario/attempt.h"
#include "testing/scenario/step.h"

namespace mangospan::scenario {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{ 5 };
constexpr milliseconds kResendDelay{ 100 };
constexpr milliseconds kLongestResendDelay{ 2'000 };
constexpr milliseconds kTicketTimeout{ 2'000 };
constexpr std::string_view kOutcomeHeader = "Mangospan-Outcome";

http::client_options
ClientOptions()
{
  http::client_options options;
  constexpr std::size_t kIdleConnections = 64;
  options.mMaxIdlePerAddress = kIdleConnections;
  return options;
}

// One request of a caller, over all its attempts.
struct call
{
  std::string mId;
  std::string mService;
  std::string mZone;   // of the caller
  std::string mTarget; // of the attempt before
  bool mIdempotent = true;
  std::string mBody;
  std::string mTicket; // empty: none
  int mAttempts = 0;
  load_options mOptions;
};

std::string
AttemptId(const call& aCall, int aNumber)
{
  return aCall.mId + "." + std::to_string(aNumber);
}

// A ticket's holder may be given the answer kept from an earlier attempt.
bool
IsOwnAnswer(const call& aCall, const std::string& aBody)
{
  for (int number = 0; number < aCall.mAttempts; ++number) {
    if (aBody == standin::AnswerTo(AttemptId(aCall, number), aCall.mBody)) {
      return true;
    }
  }
  return false;
}

fate
FateOf(const call& aCall, const result<http::response>& aResult)
{
  if (!aResult) {
    return aResult.assume_error().mCode == error_code::kUnavailable
             ? fate::kNotConnected
             : fate::kNoAnswer;
  }
  const http::response& response = aResult.assume_value();
  const std::string_view outcome = response.Get(kOutcomeHeader);
  if (outcome == "not-run") {
    return fate::kRefused;
  }
  if (outcome == "unknown") {
    return fate::kUnknown;
  }
  return IsOwnAnswer(aCall, response.mBody) ? fate::kAnswered : fate::kForeign;
}

// Why there was no answer: the code and step of a refusal, or an error.
std::string
DetailOf(const result<http::response>& aResult)
{
  if (!aResult) {
    return Describe(aResult.assume_error());
  }
  const std::string& body = aResult.assume_value().mBody;
  const auto refusal = nlohmann::json::parse(body, nullptr, false);
  if (!refusal.is_object() || !refusal.contains("code")) {
    return body;
  }
  return refusal.value("code", "") + " at " + refusal.value("step", "");
}

// When to resend: as the refusal asks, within bounds.
milliseconds
ResendDelay(const result<http::response>& aResult)
{
  if (!aResult) {
    return kResendDelay;
  }
  const auto refusal =
    nlohmann::json::parse(aResult.assume_value().mBody, nullptr, false);
  if (!refusal.is_object()) {
    return kResendDelay;
  }
  const milliseconds asked(
    refusal.value("retry_after_ms", kResendDelay.count()));
  return std::clamp(asked, kResendDelay, kLongestResendDelay);
}

bool
MayResend(const call& aCall, fate aFate)
{
  if (aCall.mAttempts > aCall.mOptions.mResends) {
    return false;
  }
  if (aFate == fate::kRefused || aFate == fate::kNotConnected) {
    return true;
  }
  // Whether it ran is not known: only the ticket makes a resend harmless.
  return !aCall.mTicket.empty() &&
         (aFate == fate::kUnknown || aFate == fate::kNoAnswer);
}

} // namespace

const char*
Name(fate aFate)
{
  switch (aFate) {
    case fate::kPending:
      return "pending";
    case fate::kAnswered:
      return "answered";
    case fate::kRefused:
      return "refused";
    case fate::kUnknown:
      return "unknown";
    case fate::kNotConnected:
      return "not-connected";
    case fate::kNoAnswer:
      return "no-answer";
    case fate::kForeign:
      return "foreign";
  }
  return "pending";
}

class load_client::impl : public std::enable_shared_from_this<impl>
{
public:
  impl(boost::asio::io_context& aIo,
       std::uint64_t aSeed,
       target_source aTargets)
    : mIo(aIo)
    , mTimer(aIo)
    , mClient(aIo, ClientOptions())
    , mTargets(std::move(aTargets))
    , mRandom(aSeed)
  {
  }

  void Start(const load_options& aOptions)
  {
    mOptions = aOptions;
    mStart = boot_clock::now();
    mSentOfThisLoad = 0;
    mSending = true;
    Tick();
  }

  bool Done() const { return !mSending && mOpen == 0; }
  const std::deque<attempt>& Attempts() const { return mAttempts; }

private:
  void Tick();
  void SendNew();
  void FetchTicket(const std::shared_ptr<call>& aCall);
  void Send(const std::shared_ptr<call>& aCall);
  void OnEnded(const std::shared_ptr<call>& aCall,
               std::size_t aIndex,
               const result<http::response>& aResult);
  void Resend(const std::shared_ptr<call>& aCall, milliseconds aDelay);
  load_target PickTarget(call& aCall);
  attempt& Record(const call& aCall, const load_target& aTarget);
  http::request ToRequest(const call& aCall, const std::string& aId) const;

  boost::asio::io_context& mIo;
  boost::asio::steady_timer mTimer;
  http::client mClient;
  target_source mTargets;
  std::mt19937_64 mRandom;
  load_options mOptions;
  time_point mStart;
  std::uint64_t mSentOfThisLoad = 0;
  std::uint64_t mNextCall = 1;
  std::uint64_t mNextTarget = 0;
  std::size_t mOpen = 0; // calls without their last fate
  bool mSending = false;
  std::deque<attempt> mAttempts;
};

void
load_client::impl::Tick()
{
  const auto elapsed = boot_clock::now() - mStart;
  const double seconds =
    std::chrono::duration<double>(
      std::min<boot_clock::duration>(elapsed, mOptions.mDuration))
      .count();
  const auto due =
    static_cast<std::uint64_t>(seconds * mOptions.mRatePerSecond);
  for (; mSentOfThisLoad < due; ++mSentOfThisLoad) {
    SendNew();
  }
  if (elapsed >= mOptions.mDuration) {
    mSending = false;
    return;
  }
  mTimer.expires_after(kTickPeriod);
  mTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->Tick();
      }
    });
}

void
load_client::impl::SendNew()
{
  const auto made = std::make_shared<call>();
  made->mId = "r-" + std::to_string(mNextCall++);
  std::uniform_int_distribution<std::size_t> service(
    0, mOptions.mServices.size() - 1);
  made->mService = mOptions.mServices[service(mRandom)];
  made->mIdempotent = std::uniform_real_distribution<double>(0, 1)(mRandom) >=
                      mOptions.mNonIdempotentShare;
  made->mBody = made->mIdempotent ? "" : "body of " + made->mId;
  made->mOptions = mOptions;
  ++mOpen;
  if (mOptions.mTickets && !made->mIdempotent) {
    FetchTicket(made);
  } else {
    Send(made);
  }
}

// A call whose ticket could not be had was certainly not run.
void
load_client::impl::FetchTicket(const std::shared_ptr<call>& aCall)
{
  const load_target target = PickTarget(*aCall);
  http::request request;
  request.mMethod = "POST";
  request.mTarget = "/mangospan/v1/tickets?count=1";
  mClient.Send(target.mAddress,
               std::move(request),
               kTicketTimeout,
               [self = shared_from_this(), aCall, target](
                 const result<http::response>& aResult) {
                 if (aResult) {
                   const auto body = nlohmann::json::parse(
                     aResult.assume_value().mBody, nullptr, false);
                   if (body.is_object() && body.contains("tickets")) {
                     aCall->mTicket =
                       body.at("tickets").at(0).get<std::string>();
                     self->Send(aCall);
                     return;
                   }
                 }
                 attempt& recorded = self->Record(*aCall, target);
                 recorded.mFate = fate::kRefused;
                 recorded.mDetail = "no ticket";
                 recorded.mEnded = boot_clock::now();
                 ++aCall->mAttempts;
                 --self->mOpen;
               });
}

load_target
load_client::impl::PickTarget(call& aCall)
{
  const std::vector<load_target> targets = mTargets(aCall.mService);
  if (targets.empty()) {
    return { "none", "127.0.0.1:1", "" };
  }
  std::vector<load_target> near;
  std::copy_if(
    targets.begin(),
    targets.end(),
    std::back_inserter(near),
    [&](const load_target& aTarget) { return aTarget.mZone == aCall.mZone; });
  const std::vector<load_target>& from = near.empty() ? targets : near;
  // A resend goes elsewhere, if there is an elsewhere.
  if (from[mNextTarget % from.size()].mName == aCall.mTarget) {
    ++mNextTarget;
  }
  const load_target& picked = from[mNextTarget++ % from.size()];
  aCall.mZone = picked.mZone;
  aCall.mTarget = picked.mName;
  return picked;
}

attempt&
load_client::impl::Record(const call& aCall, const load_target& aTarget)
{
  attempt made;
  made.mId = AttemptId(aCall, aCall.mAttempts);
  made.mRequest = aCall.mId;
  made.mService = aCall.mService;
  made.mTarget = aTarget.mName;
  made.mIdempotent = aCall.mIdempotent;
  made.mSent = boot_clock::now();
  mAttempts.push_back(std::move(made));
  return mAttempts.back();
}

http::request
load_client::impl::ToRequest(const call& aCall, const std::string& aId) const
{
  http::request request;
  request.mMethod = aCall.mIdempotent ? "GET" : "POST";
  request.mTarget = "/" + aCall.mService + "/work";
  request.mBody = aCall.mBody;
  request.Set(standin::kRequestIdHeader, aId);
  request.Set(standin::kServiceTimeHeader,
              std::to_string(aCall.mOptions.mServiceTime.count()));
  if (!aCall.mTicket.empty()) {
    request.Set("Idempotency-Key", aCall.mTicket);
  }
  return request;
}

void
load_client::impl::Send(const std::shared_ptr<call>& aCall)
{
  const load_target target = PickTarget(*aCall);
  const std::size_t index = mAttempts.size();
  const std::string id = Record(*aCall, target).mId;
  ++aCall->mAttempts;
  mClient.Send(target.mAddress,
               ToRequest(*aCall, id),
               aCall->mOptions.mTimeout,
               [self = shared_from_this(), aCall, index](
                 const result<http::response>& aResult) {
                 self->OnEnded(aCall, index, aResult);
               });
}

void
load_client::impl::OnEnded(const std::shared_ptr<call>& aCall,
                           std::size_t aIndex,
                           const result<http::response>& aResult)
{
  attempt& ended = mAttempts[aIndex];
  ended.mEnded = boot_clock::now();
  ended.mFate = FateOf(*aCall, aResult);
  if (aResult) {
    ended.mStatus = aResult.assume_value().mStatus;
  }
  if (ended.mFate != fate::kAnswered) {
    ended.mDetail = DetailOf(aResult);
  }
  if (MayResend(*aCall, ended.mFate)) {
    Resend(aCall, ResendDelay(aResult));
  } else {
    --mOpen;
  }
}

void
load_client::impl::Resend(const std::shared_ptr<call>& aCall,
                          milliseconds aDelay)
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(mIo, aDelay);
  timer->async_wait([self = shared_from_this(), timer, aCall](
                      const boost::system::error_code&) { self->Send(aCall); });
}

load_client::load_client(boost::asio::io_context& aIo,
                         std::uint64_t aSeed,
                         target_source aTargets)
  : mImpl(std::make_shared<impl>(aIo, aSeed, std::move(aTargets)))
{
}

load_client::~load_client() = default;

void
load_client::Start(const load_options& aOptions)
{
  mImpl->Start(aOptions);
}

bool
load_client::Done() const
{
  return mImpl->Done();
}

const std::deque<attempt>&
load_client::Attempts() const
{
  return mImpl->Attempts();
}

} // namespace mangospan::scenario
