// The state of the stand-in's key-value service, without any I/O.
//
// Time is passed in, so tests decide when leases end:
//
//   key_value store;
//   const auto written = store.CompareAndSwap({ "k", 0, "text", {} });
//   const auto batch = store.ChangesAfter("", 0);
#ifndef TESTING_PLATFORM_KEY_VALUE_H
#define TESTING_PLATFORM_KEY_VALUE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/time.h"
#include "mangospan/platform/store.h"

namespace mangospan::standin {

class key_value
{
public:
  // Watches reach back at most `aWatchableChanges` changes.
  explicit key_value(std::size_t aWatchableChanges = 10'000);

  std::optional<platform::record> Read(const std::string& aKey) const;
  std::vector<platform::record> List(std::string_view aPrefix) const;

  // Errors: kConflict, kTooLarge, kNotFound for a lease that has ended.
  result<platform::revision> CompareAndSwap(platform::swap_request aRequest);
  result<platform::revision> Delete(const std::string& aKey,
                                    platform::revision aExpected);

  // The revision of the key's last change, 0 if it does not exist.
  platform::revision RevisionOf(const std::string& aKey) const;
  // The revision of the last change of any key.
  platform::revision LastRevision() const;

  platform::lease_id GrantLease(time_point aNow,
                                std::chrono::milliseconds aTtl);
  // kNotFound once the lease has ended.
  status RenewLease(platform::lease_id aLease, time_point aNow);
  status RevokeLease(platform::lease_id aLease);
  // Ends every lease whose time is over and deletes its keys.
  void ExpireLeases(time_point aNow);

  // kNotFound if the revision is older than watches reach back.
  result<platform::change_batch> ChangesAfter(std::string_view aPrefix,
                                              platform::revision aAfter) const;
  // Every change since the start, oldest first.
  std::vector<platform::change> History(std::string_view aPrefix) const;

private:
  struct stored
  {
    platform::record mRecord;
    std::uint64_t mLease = 0; // 0: none
  };
  struct lease
  {
    std::chrono::milliseconds mTtl{};
    time_point mEnds;
  };

  platform::revision Append(std::string aKey,
                            std::string aValue,
                            bool aDeleted);
  void EndLease(std::uint64_t aLease);

  std::size_t mWatchableChanges;
  std::map<std::string, stored> mRecords;
  std::map<std::uint64_t, lease> mLeases;
  std::vector<platform::change> mHistory; // mHistory[i] has revision i + 1
  std::uint64_t mNextLease = 1;
};

} // namespace mangospan::standin

#endif // TESTING_PLATFORM_KEY_VALUE_H
