// The runners that orders to their hosts have ended.
//
// An order that was executed before is answered as done as well, and its host
// may have its next runner by then. So the answer alone does not tell which
// runner has ended; a later listing of the hosts does.
#ifndef MANGOSPAN_NODE_ENDED_RUNNERS_H
#define MANGOSPAN_NODE_ENDED_RUNNERS_H

#include <map>
#include <vector>

#include "mangospan/base/time.h"
#include "mangospan/node/ports.h"

namespace mangospan::node {

class ended_runners
{
public:
  // Notes that an order to the host, which was last listed as `aHost`, was
  // answered as done at `aNow`.
  void OnOrderDone(const host_entry& aHost, time_point aNow);
  // Returns the entries, as passed to `OnOrderDone`, of the hosts that a
  // listing which was requested at `aListedAt` shows as not up or with other
  // runners. Returns each entry once.
  std::vector<host_entry> TakeEnded(const std::vector<host_entry>& aHosts,
                                    time_point aListedAt);

private:
  struct candidate
  {
    host_entry mHost;
    time_point mDoneAt;
  };
  std::map<host_name, candidate> mCandidates;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_ENDED_RUNNERS_H
