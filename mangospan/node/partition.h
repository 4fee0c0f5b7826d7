// The jobs of one service from this node's point of view: the election of their
// owner, the owner object while this node is elected, and otherwise a client
// that forwards requests to the elected node.
#ifndef MANGOSPAN_NODE_PARTITION_H
#define MANGOSPAN_NODE_PARTITION_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/jobs/spec.h"
#include "mangospan/node/election.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/owner.h"
#include "mangospan/node/peer_link.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/unavailable_job_service.h"

namespace mangospan::node {

// Objects that all partitions of a node share. The references must outlive the
// partitions.
struct partition_dependencies
{
  owner_dependencies mOwner;
  peer_link& mPeers;
  // Returns whether the node at the address is known not to answer.
  std::function<bool(const std::string& aAddress)> mIsUnreachable;
  jobs::scheduler_settings mScheduling;
};

// This node as a candidate in an election.
struct election_candidate
{
  std::string mNode;
  std::string mAddress;
  election_settings mSettings;
  // Returns the number of subjects that this node owns or is about to own.
  std::function<std::size_t()> mCountOwnedSubjects;
};

// Takes part in the election of the owner of one service's jobs, and runs the
// owner while this node is elected.
class partition
{
public:
  // `aCatalog` returns the newest catalog, or null before the first is known.
  partition(partition_dependencies aDependencies,
            service_name aService,
            const election_candidate& aCandidate,
            std::function<const jobs::catalog*()> aCatalog);

  election& Election() { return *mElection; }
  const election& Election() const { return *mElection; }
  // Returns null unless this node is the owner.
  owner* LocalOwner() { return mOwner.get(); }
  const owner* LocalOwner() const { return mOwner.get(); }

  // Returns the service that currently takes requests for the jobs: the local
  // owner, a client of the remote owner, or one that replies kUnavailable while
  // no owner is known or the owner does not answer. The reference is valid
  // until the owner changes.
  job_service& Jobs();
  // Sends the fleet controller's instructions to the owner, local or remote.
  // Calls `aHandler` once, never before this call has returned. Errors: those
  // of `pool_link::Exchange`; kUnavailable at once if the owner does not
  // answer.
  void Exchange(pool_instructions aInstructions, pool_state_handler aHandler);

  // Applies the instructions at the owner on this node. Errors: those of
  // `owner::Exchange`, and kUnavailable if this node does not own the jobs.
  result<pool_state> ExchangeLocally(const pool_instructions& aInstructions);

  // Returns whether this node owns the jobs and has loaded them, its last write
  // succeeded, and its lease is certainly valid.
  bool IsServing() const;
  // Records that the owner, local or remote, was serving at `aAt`.
  void OnOwnerServing(time_point aAt) { mOwnerServingAt = aAt; }
  // Returns whether the owner, local or remote, has served within the last
  // second, as far as this node knows.
  bool IsOwnerServing(time_point aNow) const;
  // Logs and counts the time for which this node knew of no owner that serves.
  // Call it at regular intervals.
  void ReportOwnerServing(time_point aNow);

  // Repeats what has failed while the store did not answer.
  void OnStoreAnswersAgain();

  // Hands the jobs over to another node if this one owns them. This node stays
  // a candidate and may be elected again later.
  void Yield();
  // Hands the jobs over like `Yield()` and leaves the election for good, then
  // calls `aDone`.
  void Retire(std::function<void()> aDone);

private:
  void OnElected(const owner_record& aOwnerRecord);
  void OnLost();

  partition_dependencies mDeps;
  const service_name mService;
  const std::string mAddress;
  const std::function<const jobs::catalog*()> mCatalog;
  const time_point mStartedAt;
  std::shared_ptr<election> mElection;
  std::shared_ptr<owner> mOwner;
  // Forwards requests to the owner at `mForwardAddress`, or replies
  // kUnavailable.
  std::unique_ptr<job_service> mForwarder;
  std::string mForwardAddress;
  unavailable_job_service mUnreachableOwner;
  time_point mOwnerServingAt{};
  std::optional<time_point> mOwnerMissingSince; // set while none serves
  time_point mMissingCountedUntil{};
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_PARTITION_H
