// What the fleet's duty and the owners of the pools' jobs tell each other: the
// one says which runners get no new runs, the others what their pools need and
// hold.
#ifndef MANGOSPAN_NODE_POOL_LINK_H
#define MANGOSPAN_NODE_POOL_LINK_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/jobs/sizing.h"

namespace mangospan::node {

// Of a pool's runners, as the fleet's duty wants them.
struct pool_instructions
{
  std::uint64_t mFleetTerm = 0;          // those of a lower one are refused
  std::set<jobs::runner_name> mClosed;   // all that get no new runs
  std::vector<jobs::runner_name> mEvict; // their lasting runs go elsewhere
  std::vector<jobs::runner_name> mDead;  // nothing runs there any more
};

struct runner_state
{
  bool mIsKnown = false;   // what runs there is known
  bool mIsUnfit = false;   // silent, leaving or shunned
  bool mIsSettled = false; // in use, or would be
  bool mIsClosed = false;  // gets no new runs
  std::size_t mRuns = 0;   // that exist or may exist
  std::size_t mLasting = 0;
};

struct pool_state
{
  // Of the owner's term in the store: a write that expects it fails once
  // another owner may have started something.
  std::uint64_t mTermRevision = 0;
  jobs::pool_load mLoad;
  std::map<jobs::runner_name, runner_state> mRunners;
  bool mKnowsOthers = false; // that nothing runs on any other runner
};

using pool_state_handler = std::function<void(result<pool_state>)>;

class pool_link
{
public:
  virtual ~pool_link() = default;
  // The pools whose jobs have an owner, or should have.
  virtual std::vector<service_name> Pools() const = 0;
  // Calls the handler once, never from inside the call. Errors: kUnavailable;
  // kConflict where the fleet has a newer term; those of the connection.
  virtual void Exchange(const service_name& aPool,
                        pool_instructions aInstructions,
                        pool_state_handler aHandler) = 0;
};

// The form of both between nodes. Errors: kInvalidArgument.
std::string
Encode(const pool_instructions& aInstructions);
result<pool_instructions>
DecodeInstructions(std::string_view aText);
std::string
Encode(const pool_state& aState);
result<pool_state>
DecodeState(std::string_view aText);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_POOL_LINK_H
