// A platform's store in memory, and the tool run against it, for tests.
#ifndef MANGOSPAN_CTL_FAKE_STORE_FOR_TEST_H
#define MANGOSPAN_CTL_FAKE_STORE_FOR_TEST_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/tool.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/store.h"

namespace mangospan::ctl {

// How one swap goes wrong.
enum class swap_fault
{
  kNone,
  kLostAnswer,  // written, no answer
  kLostRequest, // not written, no answer
  kLateRequest, // no answer; carried out before the next call
};

// What the store holds and how it misbehaves; outlives the connections to it.
struct fake_platform
{
  std::map<std::string, platform::record> mRecords;
  platform::revision mRevision = 10;
  bool mDown = false;               // refuses connections
  int mLostAnswersAfterWriting = 0; // of the next swaps
  int mLostAnswersUnwritten = 0;    // of the next swaps
  int mSwaps = 0;
  int mWrites = 0;
  std::function<void()> mBeforeSwap;      // called once, then forgotten
  std::function<swap_fault()> mDrawFault; // for each swap; may be null
  std::function<void()> mBeforeRead;      // before each; may be null
  std::vector<platform::swap_request> mLate;
  std::vector<std::string> mHistory; // every value written, oldest first

  platform::revision Put(const std::string& aKey, const std::string& aValue);
  std::string Value(const std::string& aKey) const;

  // Writes if the revision is the expected one.
  result<platform::revision> Swap(const platform::swap_request& aRequest);
  void CarryOutLate();

private:
  swap_fault NextFault();
  friend class fake_store;
};

class fake_store final : public platform::store
{
public:
  fake_store(boost::asio::io_context& aIo, fake_platform& aPlatform);

  void Read(
    std::string aKey,
    std::chrono::milliseconds aTimeout,
    platform::handler<std::optional<platform::record>> aHandler) override;
  void List(std::string aPrefix,
            std::chrono::milliseconds aTimeout,
            platform::handler<std::vector<platform::record>> aHandler) override;
  void CompareAndSwap(platform::swap_request aRequest,
                      std::chrono::milliseconds aTimeout,
                      platform::handler<platform::revision> aHandler) override;

  // Not used by the tool.
  void Delete(std::string aKey,
              platform::revision aExpected,
              std::chrono::milliseconds aTimeout,
              platform::handler<platform::revision> aHandler) override;
  void GrantLease(std::chrono::milliseconds aTtl,
                  std::chrono::milliseconds aTimeout,
                  platform::handler<platform::lease_id> aHandler) override;
  void RenewLease(platform::lease_id aLease,
                  std::chrono::milliseconds aTimeout,
                  platform::handler<platform::lease_id> aHandler) override;
  void RevokeLease(platform::lease_id aLease,
                   std::chrono::milliseconds aTimeout,
                   platform::handler<platform::lease_id> aHandler) override;
  void Watch(std::string aPrefix,
             platform::revision aAfter,
             std::chrono::milliseconds aWait,
             platform::handler<platform::change_batch> aHandler) override;

private:
  result<platform::revision> SwapWithFault(
    const platform::swap_request& aRequest);

  template<typename T>
  void Post(platform::handler<T> aHandler, result<T> aResult)
  {
    if (mPlatform.mDown) {
      aResult = error{ error_code::kUnavailable, "connect", "", "refused" };
    }
    boost::asio::post(mIo,
                      [handler = std::move(aHandler),
                       outcome = std::move(aResult)] { handler(outcome); });
  }

  boost::asio::io_context& mIo;
  fake_platform& mPlatform;
};

// Runs command lines of the tool. Time passes only while the tool sleeps.
class tool_runner
{
public:
  tool_runner();

  exit_code Run(const std::vector<std::string>& aArguments);

  std::string Out() const { return mOut.str(); }
  std::string Err() const { return mErr.str(); }

  fake_platform mPlatform;
  std::function<void()> mOnSleep; // called after each sleep; may be null
  result<http::response> mAnswer = http::response{};

private:
  boost::asio::io_context mIo;
  manual_clock mClock;
  std::ostringstream mOut;
  std::ostringstream mErr;
  int mIds = 0;
};

// Writes a configuration file with one pool, "survey" of the service
// "survey-check", and returns its name.
std::string
WriteConfigFile(const std::string& aMaxUnavailable);

// The value of `config/current` for the same configuration.
std::string
ConfigRecord(const std::string& aMaxUnavailable,
             const std::string& aAuthor,
             const std::string& aChangeId);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_FAKE_STORE_FOR_TEST_H
