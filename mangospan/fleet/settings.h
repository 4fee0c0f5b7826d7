// The times and limits that a zone's fleet decisions run by.
//
// The defaults suit production; tests shorten them:
//
//   fleet::settings settings;
//   settings.mLeaseTtl = std::chrono::seconds(2);
#ifndef MANGOSPAN_FLEET_SETTINGS_H
#define MANGOSPAN_FLEET_SETTINGS_H

#include <chrono>
#include <string>

#include "mangospan/base/identity.h"

namespace mangospan::fleet {

struct settings
{
  std::chrono::milliseconds mLeaseTtl{ 5000 };
  std::chrono::milliseconds mLeaseMargin{ 500 }; // taken off every validity
  std::chrono::milliseconds mRenewEvery{ 1500 };
  std::chrono::milliseconds mHeartbeatEvery{ 500 };
  std::chrono::milliseconds mElectionJitter{ 500 };
  std::chrono::milliseconds mStoreRetry{ 200 }; // doubles with each failure
  std::chrono::milliseconds mStoreRetryMax{ 3000 };
  std::chrono::milliseconds mWatchWait{ 20000 };
  std::chrono::milliseconds mHostListEvery{ 1000 };
  std::chrono::milliseconds mActionPollEvery{ 500 };
  std::chrono::milliseconds mStatusEvery{ 1000 };
  std::chrono::milliseconds mReportWait{ 1000 };  // before a first view
  std::chrono::milliseconds mSilentAfter{ 2500 }; // without an entry's report
  std::chrono::milliseconds mEntryFence{ 60000 }; // list lag, longest deadline
  std::chrono::milliseconds mHostFence{ 60000 };  // a gone host leaves its pool
  std::chrono::milliseconds mListLag{ 10000 };    // of the platform's list
  std::chrono::milliseconds mBudgetRetry{ 30000 }; // while a permit is refused
  std::chrono::milliseconds mZoneCheckFor{ 3000 }; // a silence check is valid
  std::chrono::milliseconds mSizingEvery{ 1000 };
  std::chrono::milliseconds mSizingLearn{ 30000 };  // before the first move
  std::chrono::milliseconds mMoveWorth{ 15000 };    // a shortage to move for
  std::chrono::milliseconds mMoveInterval{ 10000 }; // before a pool gives back
  std::chrono::milliseconds mSurplusFor{ 600000 };  // before it is given back
};

// The process that decides: one run of a fleet process on an entry host.
struct process_identity
{
  host_name mHost;
  boot_id mBoot;
  std::string mPeerAddress; // "ip:port" of its link listener
};

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_SETTINGS_H
