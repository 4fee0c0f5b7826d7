// One node: takes callers' requests, and is ready to own the jobs of any
// service and the duty for the hosts.
//
// Every node watches the configuration and who owns what. Requests are answered
// by the owner of the queue's service; other nodes pass them on. A queue may
// have changed its service: a job is then still known to the owner of the
// service that it was accepted for.
#ifndef MANGOSPAN_NODE_NODE_PROCESS_H
#define MANGOSPAN_NODE_NODE_PROCESS_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/node/election.h"
#include "mangospan/node/fleet_duty.h"
#include "mangospan/node/job_search.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/mirror.h"
#include "mangospan/node/partition.h"
#include "mangospan/node/pool_link.h"
#include "mangospan/node/ports.h"
#include "mangospan/node/settings.h"

namespace mangospan::node {

// What the platform brings. The references must outlive the node.
struct node_ports
{
  platform::transactional_store& mStore;
  runner_port& mRunners;
  host_port& mHosts;
  const record_format& mFormat;
};

class node_process : private pool_link
{
public:
  node_process(boost::asio::io_context& aIo,
               const clock_source& aClock,
               http::client& aClient,
               node_settings aSettings,
               node_ports aPorts,
               daemon::metrics& aMetrics);
  ~node_process() override;

  // Errors: as http::server::Listen.
  status Start();
  // Graceful stop: no new callers, the ownership is given up, requests under
  // way are answered; then calls `aDone`.
  void Stop(std::function<void()> aDone);

  // Hands a job in, again if need be; see submission.h.
  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler);
  // The queue is the one that the caller has named.
  void Cancel(const jobs::queue_policy& aQueue,
              const jobs::job_name& aJob,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler);
  void Read(const jobs::queue_policy& aQueue,
            const jobs::job_name& aJob,
            std::chrono::milliseconds aPatience,
            reply_handler aHandler);
  void CountWaiting(const jobs::queue_policy& aQueue,
                    std::chrono::milliseconds aPatience,
                    reply_handler aHandler);
  // Null until the first configuration is known.
  const jobs::catalog* Catalog() const;
  // Whether the catalog was confirmed lately, so that what it lacks does not
  // exist.
  bool IsCatalogCurrent() const;
  bool IsStopping() const { return mIsStopping; }
  bool IsReady() const;
  std::string DumpState() const;

private:
  std::vector<service_name> Pools() const override;
  void Exchange(const service_name& aPool,
                pool_instructions aInstructions,
                pool_state_handler aHandler) override;

  election_candidate Candidate(const std::string& aSubject);
  std::size_t Burden() const;
  void StartFleetElection();
  void OnFleetElected(const owner_record& aTerm);
  void OnFleetLost();
  // Makes it known, and takes part in its election.
  partition& PartitionOf(const service_name& aService);
  job_service_finder Finder();
  using job_call = void (job_service::*)(const jobs::job_name&,
                                         std::chrono::milliseconds,
                                         reply_handler);
  void Search(const jobs::queue_policy& aQueue,
              job_call aCall,
              const jobs::job_name& aJob,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler);
  // The queue's service first.
  std::vector<service_name> SearchOrder(const jobs::queue_policy& aQueue) const;
  election* ElectionOf(const std::string& aKey);
  void OnOwnRecord(const platform::record& aRecord);
  void OnOwnDeleted(const std::string& aKey);
  void OnOwnSynced();
  void OnOperatorRecord(const platform::record& aRecord);
  void OnCatalog(const platform::record& aRecord);
  void CheckOwners();
  void AskToYield();
  void CheckOwnersAt(const std::string& aAddress);
  http::response AnswerHealth() const;
  http::response AnswerReadiness() const;
  void ServeNode(const http::request& aRequest,
                 const http::responder& aRespond);

  boost::asio::io_context& mIo;
  const clock_source& mClock;
  http::client& mClient;
  const node_settings mSettings;
  const node_ports mPorts;
  daemon::metrics& mMetrics;
  std::shared_ptr<mirror> mOperatorMirror;
  std::shared_ptr<mirror> mOwnMirror; // of who owns what
  std::map<service_name, partition> mPartitions;
  std::shared_ptr<election> mFleetElection;
  std::shared_ptr<fleet_duty> mDuty;
  std::unique_ptr<http::server> mReadinessServer;
  std::unique_ptr<http::server> mNodeServer;
  std::unique_ptr<jobs::catalog> mCatalog;
  std::map<std::string, wave_request> mWaves;
  boost::asio::steady_timer mCheckTimer;
  boost::asio::steady_timer mStopTimer;
  fixed_jobs mNobody{ NobodyOwns() };
  bool mIsStopping = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_NODE_PROCESS_H
