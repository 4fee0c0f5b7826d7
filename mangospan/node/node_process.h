// One node: takes callers' requests, and is ready to own all jobs.
//
// Every node watches the configuration and who owns the jobs. Requests are
// answered by the owner; a node that does not own them passes them on.
#ifndef MANGOSPAN_NODE_NODE_PROCESS_H
#define MANGOSPAN_NODE_NODE_PROCESS_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/daemon/metrics.h"
#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/node/election.h"
#include "mangospan/node/fleet_duty.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/mirror.h"
#include "mangospan/node/owner.h"
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

class node_process
{
public:
  node_process(boost::asio::io_context& aIo,
               const clock_source& aClock,
               http::client& aClient,
               node_settings aSettings,
               node_ports aPorts,
               daemon::metrics& aMetrics);
  ~node_process();

  // Errors: as http::server::Listen.
  status Start();
  // Graceful stop: no new callers, the ownership is given up, requests under
  // way are answered; then calls `aDone`.
  void Stop(std::function<void()> aDone);

  // Where a caller's request goes now.
  job_service& Jobs();
  // Hands a job in, again if need be; see submission.h.
  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
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
  void OnElected(const owner_record& aTerm);
  void OnLost();
  void OnOperatorRecord(const platform::record& aRecord);
  void CheckOwner();
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
  std::shared_ptr<election> mElection;
  std::shared_ptr<owner> mOwner;
  std::shared_ptr<fleet_duty> mDuty;
  std::unique_ptr<job_service> mAway; // of the owner elsewhere, or of nobody
  std::string mAwayAddress;
  std::unique_ptr<http::server> mReadinessServer;
  std::unique_ptr<http::server> mNodeServer;
  std::unique_ptr<jobs::catalog> mCatalog;
  std::map<std::string, wave_request> mWaves;
  boost::asio::steady_timer mCheckTimer;
  boost::asio::steady_timer mStopTimer;
  time_point mOwnerHeardAt{};
  bool mIsStopping = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_NODE_PROCESS_H
