// The exchange between the fleet controller and the owners of the pools' jobs.
// The controller says which runners are cordoned. The owners report the load of
// their pools and the state of their runners.
//
// A pool is the set of hosts whose runners serve one service; the name of the
// service identifies it.
#ifndef MANGOSPAN_NODE_POOL_LINK_H
#define MANGOSPAN_NODE_POOL_LINK_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/customers/quota.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/jobs/pool_autoscaler.h"

namespace mangospan::node {

// The fleet controller's instructions for the runners of one pool.
struct pool_instructions
{
  // The term of the fleet's owner. Instructions of a lower term are refused.
  std::uint64_t mFleetTerm = 0;
  // All runners that get no new runs.
  std::set<jobs::runner_name> mCordoned;
  // Runners whose long-running runs move elsewhere.
  std::vector<jobs::runner_name> mEvictFrom;
  // Runners on which nothing runs any more.
  std::vector<jobs::runner_name> mDeadRunners;
  // The pool's shares of the customers' caps, if they change.
  std::optional<customers::quota_instructions> mQuota;
};

// The state of one runner, as its owner reports it.
struct runner_state
{
  bool mAreRunsKnown = false;    // the owner knows all runs on the runner
  bool mIsUnschedulable = false; // failed polls, draining or quarantined
  bool mCanGetRuns = false;      // contacted in this term, and in the roster
  bool mIsCordoned = false;      // cordoned: gets no new runs
  std::size_t mRunCount = 0;     // runs that exist or may exist
  std::size_t mLongRunningCount = 0; // long-running ones among them
};

// The load of one pool and the state of its runners, as the owner of its jobs
// reports them.
struct pool_state
{
  // The revision of the owner's term key in the store. A write that expects it
  // fails once another owner may have started runs.
  std::uint64_t mTermRevision = 0;
  jobs::pool_load mLoad;
  std::map<jobs::runner_name, runner_state> mRunners;
  // Whether the owner knows that nothing runs on runners that `mRunners` lacks.
  bool mAreUnlistedRunnersIdle = false;
  customers::quota_report mQuota;
};

using pool_state_handler = std::function<void(result<pool_state>)>;

// The connection of the fleet controller to the owners of the pools' jobs.
class pool_link
{
public:
  virtual ~pool_link() = default;
  // Returns the pools whose jobs this node knows, which either have an owner or
  // are up for election: one per partition of the node.
  virtual std::vector<service_name> Pools() const = 0;
  // Sends the instructions to the pool's owner and passes the state of the pool
  // to the handler. Calls the handler once, never before this call has
  // returned. Errors: kUnavailable; kConflict if the owner has seen a newer
  // fleet term; errors of the connection.
  virtual void Exchange(const service_name& aPool,
                        pool_instructions aInstructions,
                        pool_state_handler aHandler) = 0;
};

// Encode and decode both messages as JSON text. Decoding errors:
// kInvalidArgument.
std::string
Encode(const pool_instructions& aInstructions);
result<pool_instructions>
DecodePoolInstructions(std::string_view aText);
std::string
Encode(const pool_state& aState);
result<pool_state>
DecodePoolState(std::string_view aText);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_POOL_LINK_H
