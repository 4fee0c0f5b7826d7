#include "mangospan/node/monitored_store.h"

#include <utility>

namespace mangospan::node {

using platform::change_batch;
using platform::commit_outcome;
using platform::handler;
using platform::lease_id;
using platform::listing;
using platform::record;
using std::chrono::milliseconds;

namespace {

// A key that no node writes.
constexpr const char* kProbeKey = "mangospan/probe";
constexpr milliseconds kProbeInterval{ 100 };
// The store may cut a single watch while it answers all other calls. Its user
// then repeats it after a delay of its own, which is shorter than this.
constexpr milliseconds kFirstProbeDelay{ 200 };
// Longer than a slow answer takes; several probes may be under way.
constexpr milliseconds kProbeTimeout{ 800 };

template<typename T>
bool
IsWithoutAnswer(const result<T>& aResult)
{
  if (aResult.has_value()) {
    return false;
  }
  const error_code code = aResult.assume_error().mCode;
  return code == error_code::kUnavailable || code == error_code::kUnknownResult;
}

} // namespace

monitored_store::monitored_store(boost::asio::io_context& aIo,
                                 platform::transactional_store& aStore,
                                 std::function<void()> aOnAnswersAgain)
  : mStore(aStore)
  , mOnAnswersAgain(std::move(aOnAnswersAgain))
  , mTimer(aIo)
{
}

template<typename T>
handler<T>
monitored_store::Observe(handler<T> aHandler)
{
  return [this, handler = std::move(aHandler)](result<T> aResult) {
    const bool isWithoutAnswer = IsWithoutAnswer(aResult);
    handler(std::move(aResult));
    if (isWithoutAnswer) {
      OnNoAnswer();
    }
  };
}

void
monitored_store::OnNoAnswer()
{
  if (!mIsProbing) {
    mIsProbing = true;
    ScheduleProbe(kFirstProbeDelay);
  }
}

void
monitored_store::ScheduleProbe(milliseconds aDelay)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this](const boost::system::error_code& aAbort) {
    if (!aAbort && mIsProbing) {
      Probe();
    }
  });
}

void
monitored_store::Probe()
{
  mStore.Read(kProbeKey,
              kProbeTimeout,
              [this](const result<std::optional<record>>& aResult) {
                if (!IsWithoutAnswer(aResult)) {
                  OnProbeAnswered();
                }
              });
  ScheduleProbe(kProbeInterval);
}

void
monitored_store::OnProbeAnswered()
{
  if (mIsProbing) {
    mIsProbing = false;
    mTimer.cancel();
    mOnAnswersAgain();
  }
}

void
monitored_store::Read(std::string aKey,
                      milliseconds aTimeout,
                      handler<std::optional<record>> aHandler)
{
  mStore.Read(std::move(aKey), aTimeout, Observe(std::move(aHandler)));
}

void
monitored_store::List(std::string aPrefix,
                      milliseconds aTimeout,
                      handler<std::vector<record>> aHandler)
{
  mStore.List(std::move(aPrefix), aTimeout, Observe(std::move(aHandler)));
}

void
monitored_store::GrantLease(milliseconds aTtl,
                            milliseconds aTimeout,
                            handler<lease_id> aHandler)
{
  mStore.GrantLease(aTtl, aTimeout, Observe(std::move(aHandler)));
}

void
monitored_store::RenewLease(lease_id aLease,
                            milliseconds aTimeout,
                            handler<lease_id> aHandler)
{
  mStore.RenewLease(aLease, aTimeout, Observe(std::move(aHandler)));
}

void
monitored_store::RevokeLease(lease_id aLease,
                             milliseconds aTimeout,
                             handler<lease_id> aHandler)
{
  mStore.RevokeLease(aLease, aTimeout, Observe(std::move(aHandler)));
}

void
monitored_store::Watch(std::string aPrefix,
                       platform::revision aAfter,
                       milliseconds aWait,
                       handler<change_batch> aHandler)
{
  mStore.Watch(std::move(aPrefix), aAfter, aWait, Observe(std::move(aHandler)));
}

void
monitored_store::Commit(platform::transaction aTransaction,
                        milliseconds aTimeout,
                        handler<commit_outcome> aHandler)
{
  mStore.Commit(
    std::move(aTransaction), aTimeout, Observe(std::move(aHandler)));
}

std::shared_ptr<platform::pending_listing>
monitored_store::ListForWatch(std::string aPrefix,
                              milliseconds aTimeout,
                              handler<listing> aHandler)
{
  return mStore.ListForWatch(
    std::move(aPrefix), aTimeout, Observe(std::move(aHandler)));
}

} // namespace mangospan::node
