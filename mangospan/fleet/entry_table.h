// The state of each entry that has sent a hello to this fleet process.
//
//   entry_state& entry = table[id];
//   entry.mViewVersion = report.mView;
#ifndef MANGOSPAN_FLEET_ENTRY_TABLE_H
#define MANGOSPAN_FLEET_ENTRY_TABLE_H

#include <cstdint>
#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleet {

// An entry's last reported state and what was last pushed to it.
struct entry_state
{
  bool mConnected = false;
  time_point mLastHeardAt; // of the last hello or report

  // The view and the configuration that the entry last reported.
  view::version mViewVersion;
  std::uint64_t mConfigRevision = 0;

  // The highest term that the entry had heard, and the shares that it held, at
  // its last hello.
  std::uint64_t mTermHeard = 0;
  std::vector<wire::held_share> mHeldShares;

  // The last configuration and view pushed to the entry; revision 0 and version
  // {0, 0} if there was no push since its last hello.
  std::uint64_t mPushedConfigRevision = 0;
  time_point mPushedConfigAt;
  view::version mPushedViewVersion;
  time_point mPushedViewAt;
};

using entry_table = std::map<view::entry_id, entry_state>;

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ENTRY_TABLE_H
