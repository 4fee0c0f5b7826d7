// Calls to other nodes over the interface of job_http.h.
#ifndef MANGOSPAN_NODE_HTTP_PEER_LINK_H
#define MANGOSPAN_NODE_HTTP_PEER_LINK_H

#include <memory>
#include <string>

#include "mangospan/http/client.h"
#include "mangospan/node/peer_link.h"

namespace mangospan::node {

class http_peer_link final : public peer_link
{
public:
  // `aOwnAddress` is the address at which other nodes reach this one. `aClient`
  // must outlive this object and the job services that it returns.
  http_peer_link(http::client& aClient, std::string aOwnAddress);

  std::unique_ptr<job_service> JobsAt(const std::string& aAddress,
                                      const service_name& aService) override;
  void Exchange(const std::string& aAddress,
                const service_name& aPool,
                const pool_instructions& aInstructions,
                pool_state_handler aHandler) override;
  void CheckHealth(const std::string& aAddress,
                   std::chrono::milliseconds aTimeout,
                   health_handler aHandler) override;
  void RequestYield(const std::string& aAddress,
                    const service_name& aService) override;

private:
  http::client& mClient;
  const std::string mOwnAddress;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_HTTP_PEER_LINK_H
