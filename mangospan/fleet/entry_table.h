// What a fleet process knows of the entries that have said hello to it.
//
//   known_entry& entry = table.At(id);
//   entry.mView = report.mView;
#ifndef MANGOSPAN_FLEET_ENTRY_TABLE_H
#define MANGOSPAN_FLEET_ENTRY_TABLE_H

#include <cstdint>
#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::fleet {

struct known_entry
{
  bool mConnected = false;
  time_point mHeard;
  view::version mView;                 // as last reported
  std::uint64_t mConfigRevision = 0;   // as last reported
  std::uint64_t mTermHeard = 0;        // as of its last hello
  std::vector<wire::held_share> mHeld; // as of its last hello
  std::uint64_t mPushedConfig = 0;
  time_point mPushedConfigAt;
  view::version mPushedView;
  time_point mPushedViewAt;
};

using entry_table = std::map<view::entry_id, known_entry>;

} // namespace mangospan::fleet

#endif // MANGOSPAN_FLEET_ENTRY_TABLE_H
