#include "mangospan/ctl/fake_store_for_test.h"

#include <chrono>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/base/error.h"
#include "mangospan/ctl/tool.h"

namespace mangospan::ctl {

namespace {

error
Unused()
{
  return error{ error_code::kInternal, "fake_store", "", "not used" };
}

std::string
ConfigText(const std::string& aMaxUnavailable)
{
  return R"({"pools":[{"name":"survey","service":"survey-check",)"
         R"("max_unavailable":)" +
         aMaxUnavailable + R"(}],"prefer":"low-buffer"})";
}

} // namespace

platform::revision
fake_platform::Put(const std::string& aKey, const std::string& aValue)
{
  mRecords[aKey] = { aKey, aValue, ++mRevision };
  mHistory.push_back(aValue);
  return mRevision;
}

std::string
fake_platform::Value(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? "" : found->second.mValue;
}

fake_store::fake_store(boost::asio::io_context& aIo, fake_platform& aPlatform)
  : mIo(aIo)
  , mPlatform(aPlatform)
{
}

void
fake_store::Read(std::string aKey,
                 std::chrono::milliseconds /*aTimeout*/,
                 platform::handler<std::optional<platform::record>> aHandler)
{
  mPlatform.CarryOutLate();
  if (mPlatform.mBeforeRead) {
    mPlatform.mBeforeRead();
  }
  const auto found = mPlatform.mRecords.find(aKey);
  std::optional<platform::record> held;
  if (found != mPlatform.mRecords.end()) {
    held = found->second;
  }
  Post<std::optional<platform::record>>(std::move(aHandler), std::move(held));
}

void
fake_store::List(std::string aPrefix,
                 std::chrono::milliseconds /*aTimeout*/,
                 platform::handler<std::vector<platform::record>> aHandler)
{
  std::vector<platform::record> found;
  for (const auto& [key, record] : mPlatform.mRecords) {
    if (key.rfind(aPrefix, 0) == 0) {
      found.push_back(record);
    }
  }
  Post<std::vector<platform::record>>(std::move(aHandler), std::move(found));
}

result<platform::revision>
fake_platform::Swap(const platform::swap_request& aRequest)
{
  const auto found = mRecords.find(aRequest.mKey);
  const platform::revision held =
    found == mRecords.end() ? 0 : found->second.mRevision;
  if (held != aRequest.mExpected) {
    return error{ error_code::kConflict, "store.cas", "", "other revision" };
  }
  ++mWrites;
  return Put(aRequest.mKey, aRequest.mValue);
}

void
fake_platform::CarryOutLate()
{
  for (const platform::swap_request& each : std::exchange(mLate, {})) {
    static_cast<void>(Swap(each));
  }
}

swap_fault
fake_platform::NextFault()
{
  if (mLostAnswersUnwritten > 0) {
    --mLostAnswersUnwritten;
    return swap_fault::kLostRequest;
  }
  if (mLostAnswersAfterWriting > 0) {
    --mLostAnswersAfterWriting;
    return swap_fault::kLostAnswer;
  }
  return mDrawFault ? mDrawFault() : swap_fault::kNone;
}

result<platform::revision>
fake_store::SwapWithFault(const platform::swap_request& aRequest)
{
  const swap_fault fault = mPlatform.NextFault();
  if (fault == swap_fault::kNone) {
    return mPlatform.Swap(aRequest);
  }
  if (fault == swap_fault::kLostAnswer) {
    static_cast<void>(mPlatform.Swap(aRequest));
  } else if (fault == swap_fault::kLateRequest) {
    mPlatform.mLate.push_back(aRequest);
  }
  return error{ error_code::kUnknownResult, "store.cas", "", "no answer" };
}

void
fake_store::CompareAndSwap(platform::swap_request aRequest,
                           std::chrono::milliseconds /*aTimeout*/,
                           platform::handler<platform::revision> aHandler)
{
  ++mPlatform.mSwaps;
  if (const auto before = std::exchange(mPlatform.mBeforeSwap, nullptr)) {
    before();
  }
  Post<platform::revision>(
    std::move(aHandler), mPlatform.mDown ? Unused() : SwapWithFault(aRequest));
}

void
fake_store::Delete(std::string /*aKey*/,
                   platform::revision /*aExpected*/,
                   std::chrono::milliseconds /*aTimeout*/,
                   platform::handler<platform::revision> aHandler)
{
  Post<platform::revision>(std::move(aHandler), Unused());
}

void
fake_store::GrantLease(std::chrono::milliseconds /*aTtl*/,
                       std::chrono::milliseconds /*aTimeout*/,
                       platform::handler<platform::lease_id> aHandler)
{
  Post<platform::lease_id>(std::move(aHandler), Unused());
}

void
fake_store::RenewLease(platform::lease_id /*aLease*/,
                       std::chrono::milliseconds /*aTimeout*/,
                       platform::handler<platform::lease_id> aHandler)
{
  Post<platform::lease_id>(std::move(aHandler), Unused());
}

void
fake_store::RevokeLease(platform::lease_id /*aLease*/,
                        std::chrono::milliseconds /*aTimeout*/,
                        platform::handler<platform::lease_id> aHandler)
{
  Post<platform::lease_id>(std::move(aHandler), Unused());
}

void
fake_store::Watch(std::string /*aPrefix*/,
                  platform::revision /*aAfter*/,
                  std::chrono::milliseconds /*aWait*/,
                  platform::handler<platform::change_batch> aHandler)
{
  Post<platform::change_batch>(std::move(aHandler), Unused());
}

tool_runner::tool_runner() = default;

exit_code
tool_runner::Run(const std::vector<std::string>& aArguments)
{
  mOut.str("");
  mErr.str("");
  environment outside{ mIo,
                       [this](const std::string& /*aAddress*/) {
                         return std::make_unique<fake_store>(mIo, mPlatform);
                       },
                       [this](const std::string& /*aAddress*/,
                              const http::request& /*aRequest*/,
                              std::chrono::milliseconds /*aTimeout*/,
                              const http::response_handler& aHandler) {
                         boost::asio::post(
                           mIo, [this, aHandler] { aHandler(mAnswer); });
                       },
                       mClock,
                       [this](std::chrono::milliseconds aTime) {
                         mClock.Advance(aTime);
                         if (mOnSleep) {
                           mOnSleep();
                         }
                       },
                       [this] { return "id-" + std::to_string(++mIds); },
                       mOut,
                       mErr,
                       "10.0.9.1:2379",
                       "ann" };
  std::vector<const char*> arguments{ "mangospanctl" };
  for (const std::string& each : aArguments) {
    arguments.push_back(each.c_str());
  }
  return ctl::Run(
    static_cast<int>(arguments.size()), arguments.data(), outside);
}

std::string
WriteConfigFile(const std::string& aMaxUnavailable)
{
  const auto* test = testing::UnitTest::GetInstance()->current_test_info();
  std::string file =
    testing::TempDir() + test->test_suite_name() + "." + test->name() + ".json";
  std::ofstream(file) << ConfigText(aMaxUnavailable);
  return file;
}

std::string
ConfigRecord(const std::string& aMaxUnavailable,
             const std::string& aAuthor,
             const std::string& aChangeId)
{
  return R"({"change_id":")" + aChangeId + R"(","author":")" + aAuthor +
         R"(","document":)" + ConfigText(aMaxUnavailable) + "}";
}

} // namespace mangospan::ctl
