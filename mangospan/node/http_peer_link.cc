#include "mangospan/node/http_peer_link.h"

#include <utility>

#include "mangospan/node/job_http.h"

namespace mangospan::node {

using std::chrono::milliseconds;

http_peer_link::http_peer_link(http::client& aClient, std::string aOwnAddress)
  : mClient(aClient)
  , mOwnAddress(std::move(aOwnAddress))
{
}

std::unique_ptr<job_service>
http_peer_link::JobsAt(const std::string& aAddress,
                       const service_name& aService)
{
  return std::make_unique<remote_job_service>(mClient, aAddress, aService);
}

void
http_peer_link::Exchange(const std::string& aAddress,
                         const service_name& aPool,
                         const pool_instructions& aInstructions,
                         pool_state_handler aHandler)
{
  ExchangePool(mClient, aAddress, aPool, aInstructions, std::move(aHandler));
}

void
http_peer_link::CheckHealth(const std::string& aAddress,
                            milliseconds aTimeout,
                            health_handler aHandler)
{
  http::request call;
  call.mTarget = kHealthPath;
  call.Set(kNodeHeader, mOwnAddress);
  mClient.Send(
    aAddress,
    std::move(call),
    aTimeout,
    [aAddress,
     handler = std::move(aHandler)](const result<http::response>& aResult) {
      if (aResult.has_error()) {
        handler(aResult.assume_error());
        return;
      }
      const http::response& answer = aResult.assume_value();
      if (answer.mStatus != 200) {
        handler(error{ error_code::kUnavailable,
                       "health.check",
                       aAddress,
                       "HTTP status " + std::to_string(answer.mStatus) });
        return;
      }
      handler(DecodeHealth(answer.mBody));
    });
}

void
http_peer_link::RequestYield(const std::string& aAddress,
                             const service_name& aService)
{
  node::RequestYield(mClient, aAddress, aService);
}

} // namespace mangospan::node
