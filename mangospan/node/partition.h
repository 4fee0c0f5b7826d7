// The jobs of one service, as this node sees them: who owns them, and the owner
// itself while it is this node.
#ifndef MANGOSPAN_NODE_PARTITION_H
#define MANGOSPAN_NODE_PARTITION_H

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/http/client.h"
#include "mangospan/jobs/spec.h"
#include "mangospan/node/election.h"
#include "mangospan/node/fixed_jobs.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/owner.h"
#include "mangospan/node/pool_link.h"

namespace mangospan::node {

// What every partition of a node uses. The references must outlive it.
struct partition_dependencies
{
  owner_dependencies mOwner;
  http::client& mClient;
};

// This node, as its elections know it.
struct election_candidate
{
  std::string mNode;
  std::string mAddress;
  election_settings mSettings;
  std::function<std::size_t()> mBurden;
};

class partition
{
public:
  // `aCatalog` gives the newest one, or null before the first.
  partition(partition_dependencies aDependencies,
            service_name aService,
            const election_candidate& aCandidate,
            std::function<const jobs::catalog*()> aCatalog);

  election& Election() { return *mElection; }
  const election& Election() const { return *mElection; }
  // Null unless this node is the owner.
  owner* Owner() { return mOwner.get(); }
  const owner* Owner() const { return mOwner.get(); }

  // Where requests for the jobs go now.
  job_service& Jobs();
  void Exchange(pool_instructions aInstructions, pool_state_handler aHandler);

  // Whether this node owns the jobs and can accept some.
  bool IsServing() const;
  // The owner was heard to serve.
  void OnHeard(time_point aAt) { mHeardAt = aAt; }
  time_point HeardAt() const { return mHeardAt; }

  // Gives the jobs to another node, if this one owns them, and may take them
  // back later.
  void Yield();
  // As `Yield`, for good.
  void Retire(std::function<void()> aDone);

private:
  void OnElected(const owner_record& aTerm);
  void OnLost();

  partition_dependencies mDeps;
  const service_name mService;
  const std::string mAddress;
  const std::function<const jobs::catalog*()> mCatalog;
  std::shared_ptr<election> mElection;
  std::shared_ptr<owner> mOwner;
  std::unique_ptr<job_service> mAway; // of the owner elsewhere, or of nobody
  std::string mAwayAddress;
  time_point mHeardAt{};
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_PARTITION_H
