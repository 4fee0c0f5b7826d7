// A node takes callers' requests. It is a candidate in the elections for the
// jobs of every service and for the fleet controller.
//
// Every node watches the catalog and the election records. The owner of a
// queue's service answers the requests for that queue; other nodes forward them
// to it. If a queue has moved to another service, a job that was accepted
// before stays with the owner of the former service.
#ifndef MANGOSPAN_NODE_NODE_PROCESS_H
#define MANGOSPAN_NODE_NODE_PROCESS_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/customers/key_gate.h"
#include "mangospan/daemon/limited_clients.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/server.h"
#include "mangospan/node/caller_patience.h"
#include "mangospan/node/election.h"
#include "mangospan/node/fleet_controller.h"
#include "mangospan/node/job_search.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/mirror.h"
#include "mangospan/node/monitored_store.h"
#include "mangospan/node/partition.h"
#include "mangospan/node/peer_link.h"
#include "mangospan/node/peer_reachability.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/ports.h"
#include "mangospan/node/settings.h"
#include "mangospan/node/stop_schedule.h"

namespace mangospan::node {

// Access to the platform. The references must outlive the node.
struct node_ports
{
  platform::transactional_store& mStore;
  runner_port& mRunners;
  host_port& mHosts;
  const record_format& mFormat;
};

// Runs one node: its servers, elections, partitions and, while it is elected
// for that, the fleet controller.
class node_process : private pool_link
{
public:
  node_process(boost::asio::io_context& aIo,
               const clock_source& aClock,
               peer_link& aPeers,
               node_settings aSettings,
               node_ports aPorts,
               daemon::metrics& aMetrics);
  ~node_process() override;

  // Opens the servers and joins the elections. Errors: those of
  // `http::server::Listen`.
  status Start();
  // Joins the elections. Called by `Start()`.
  void Join();
  // Stops gracefully: reports not ready and hands over everything that this
  // node owns. Requests get the time that the returned schedule leaves; see
  // `caller_drain`. Call once.
  stop_schedule Stop();
  // Returns the servers that `Start()` has opened: not for callers.
  std::vector<http::server*> Servers() const
  {
    return { mReadinessServer.get(), mNodeServer.get() };
  }
  // Returns the count of clients that met a limit of one of the node's
  // listeners.
  daemon::limited_clients& LimitedClients() { return mLimitedClients; }
  // Returns whether the hand-over of a stop has ended.
  bool IsHandedOver() const { return mIsHandedOver; }

  // Submits a job, and again while the result is unknown; see submission.h.
  // `aCallerWaits` is the time for which the caller still waits, if it says so.
  void Submit(const jobs::job_name& aJob,
              jobs::job_spec aSpec,
              std::optional<std::chrono::milliseconds> aCallerWaits,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler);
  // Cancels or reads a job, or counts the waiting jobs of a queue. `aQueue` is
  // the queue that the caller has named.
  void Cancel(const jobs::queue_policy& aQueue,
              const jobs::job_name& aJob,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler);
  void Read(const jobs::queue_policy& aQueue,
            const jobs::job_name& aJob,
            std::chrono::milliseconds aTimeout,
            reply_handler aHandler);
  void CountWaiting(const jobs::queue_policy& aQueue,
                    std::chrono::milliseconds aTimeout,
                    reply_handler aHandler);

  // Answers another node's calls; see `peer_link`. `LocalJobs()` returns the
  // owner of the service's jobs on this node, or a job service that replies
  // kUnavailable.
  job_service& LocalJobs(const service_name& aService);
  result<pool_state> ExchangeLocally(const service_name& aPool,
                                     const pool_instructions& aInstructions);
  // `aAsker` is the address of the node that asks.
  health_report Health(const std::string& aAsker);
  void YieldLocally(const service_name& aService);

  // Returns the newest catalog (queues and services), or null before the first
  // is known.
  const jobs::catalog* Catalog() const;
  // Returns for how long the catalog has not been confirmed to be the newest.
  time_point::duration CatalogAge() const;
  // Returns whether the catalog was confirmed recently, so that a queue that it
  // does not list can be reported as missing.
  bool IsCatalogCurrent() const;
  // Returns whether a call to the queue may be served with the API key that it
  // carries, and whose key it is. A public queue needs none.
  customers::key_check CheckKey(const jobs::queue_policy& aQueue,
                                std::string_view aKey) const;
  bool IsStopping() const { return mStopSchedule.has_value(); }
  // Returns whether the load balancer should send callers to this node: it is
  // not stopping, its catalog is current and readable, at least one owner of
  // jobs has served recently, and so has every owner that is known.
  bool IsReady() const;
  // Returns the state of the node as JSON, for operators.
  std::string DumpState() const;

private:
  std::vector<service_name> Pools() const override;
  void Exchange(const service_name& aPool,
                pool_instructions aInstructions,
                pool_state_handler aHandler) override;

  election_settings ElectionSettings() const;
  election_candidate MakeCandidate(const std::string& aSubject);
  std::size_t CountOwnedSubjects() const;
  void StartFleetElection();
  void OnFleetElected(const owner_record& aOwnerRecord);
  void OnFleetLost();
  // Returns the partition of the service. Adds it and joins its election if it
  // does not exist.
  partition& FindOrAddPartition(const service_name& aService);
  job_service_finder Finder();
  std::optional<std::chrono::milliseconds> TimeoutOrRefuse(
    std::chrono::milliseconds aTimeout,
    const reply_handler& aHandler) const;
  using job_call = void (job_service::*)(const jobs::job_name&,
                                         std::chrono::milliseconds,
                                         reply_handler);
  void Search(const jobs::queue_policy& aQueue,
              job_call aCall,
              const jobs::job_name& aJob,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler);
  // Returns all services, beginning with the one of the queue.
  std::vector<service_name> SearchOrder(const jobs::queue_policy& aQueue) const;
  election* ElectionOf(const std::string& aKey);
  void OnElectionRecord(const platform::record& aRecord);
  void OnElectionDeleted(const std::string& aKey, platform::revision aRevision);
  void OnElectionsSynced();
  void OnOperatorRecord(const platform::record& aRecord);
  void OnCatalog(const platform::record& aRecord);
  // Returns a time at which the catalog was certainly the newest.
  std::optional<time_point> CatalogConfirmedAt() const;
  void ReportKeyChecks();
  void CheckOwners();
  void RequestYieldOfSmallerHost();
  void CheckOwnersAt(const std::string& aAddress);
  void ReplaceCutOffOwners();
  void OnStoreAnswersAgain();
  http::response AnswerReadiness() const;
  void ServeNode(const http::request& aRequest,
                 const http::responder& aRespond);

  boost::asio::io_context& mIo;
  const clock_source& mClock;
  peer_link& mPeers;
  const node_settings mSettings;
  const node_ports mPorts;
  daemon::metrics& mMetrics;
  daemon::limited_clients mLimitedClients;
  monitored_store mStore; // all parts of the node use it
  std::shared_ptr<mirror> mOperatorMirror;
  std::shared_ptr<mirror> mElectionMirror;
  std::map<service_name, partition> mPartitions;
  std::shared_ptr<election> mFleetElection;
  std::shared_ptr<fleet_controller> mFleetController;
  peer_reachability mPeerReachability;
  caller_patience mCallerPatience;
  std::unique_ptr<http::server> mReadinessServer;
  std::unique_ptr<http::server> mNodeServer;
  std::unique_ptr<jobs::catalog> mCatalog;
  customers::key_gate mKeyGate;
  // Whether the operators' newest catalog could not be read, so that the
  // present one is an older one.
  bool mIsNewestCatalogUnreadable = false;
  std::optional<bool> mCouldAcceptKeys; // at the last report
  std::map<std::string, wave_request> mWaves;
  timer mCheckTimer;
  unavailable_job_service mUnavailableJobs{ UnavailableReply() };
  std::optional<stop_schedule> mStopSchedule; // set once the node stops
  bool mIsHandedOver = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_NODE_PROCESS_H
