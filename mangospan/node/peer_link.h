// Calls from one node to another, which are named by the address of their
// interface for other nodes.
#ifndef MANGOSPAN_NODE_PEER_LINK_H
#define MANGOSPAN_NODE_PEER_LINK_H

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/pool_link.h"

namespace mangospan::node {

// What a node reports of itself to other nodes.
struct health_report
{
  // The services whose jobs the node owns and serves.
  std::vector<service_name> mServes;
  // The addresses of the owners that the node has not reached for a while.
  std::set<std::string> mUnreachable;
  // Whether most nodes still check the node's health; see
  // `peer_reachability::IsInMajority`.
  bool mIsInMajority = false;
};

using health_handler = std::function<void(result<health_report>)>;

// Reaches the other nodes. Every handler is called once, never before the call
// that it was passed to has returned.
class peer_link
{
public:
  virtual ~peer_link() = default;

  // Returns a client of the owner of the service's jobs at `aAddress`. It
  // replies kUnavailable if a call certainly had no effect, otherwise kUnknown.
  virtual std::unique_ptr<job_service> JobsAt(const std::string& aAddress,
                                              const service_name& aService) = 0;
  // Sends instructions to the owner of the pool's jobs and passes on the pool's
  // state. Errors: kConflict for an older fleet term; kUnavailable for any
  // other refusal; those of the connection and of the decoding.
  virtual void Exchange(const std::string& aAddress,
                        const service_name& aPool,
                        const pool_instructions& aInstructions,
                        pool_state_handler aHandler) = 0;
  // Asks the node for its health, and tells it who asks. Errors: those of the
  // connection.
  virtual void CheckHealth(const std::string& aAddress,
                           std::chrono::milliseconds aTimeout,
                           health_handler aHandler) = 0;
  // Asks the owner to hand over the service's jobs. A failure is only logged:
  // the caller repeats the request.
  virtual void RequestYield(const std::string& aAddress,
                            const service_name& aService) = 0;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_PEER_LINK_H
