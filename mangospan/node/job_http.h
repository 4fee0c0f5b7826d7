// The own interface over HTTP: what one node asks of the owner of a service's
// jobs. The header `Mangospan-Service` names the service.
//
//   POST   /mangospan/v1/jobs/JOB     submit (body: the specification)
//   GET    /mangospan/v1/jobs/JOB     {"state":"running"}, or 410
//   DELETE /mangospan/v1/jobs/JOB     cancel
//   GET    /mangospan/v1/queues/NAME  {"waiting":12}
//   POST   /mangospan/v1/pool         the fleet's instructions, see pool_link.h
//   GET    /mangospan/v1/health       see `kHealthPath`
//   POST   /mangospan/v1/yield        give the jobs to a host that has more
//
// A node that does not own the service's jobs answers 503.
#ifndef MANGOSPAN_NODE_JOB_HTTP_H
#define MANGOSPAN_NODE_JOB_HTTP_H

#include <string>

#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/pool_link.h"

namespace mangospan::node {

// What services the node owns: {"serves":["survey"]}.
inline constexpr const char* kHealthPath = "/mangospan/v1/health";

// The HTTP status that tells a caller of the reply.
int
StatusOf(reply_kind aKind);

// Calls another node's interface.
class remote_jobs final : public job_service
{
public:
  remote_jobs(http::client& aClient,
              std::string aAddress,
              service_name aService);

  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler) override;
  void Cancel(const jobs::job_name& aJob,
              std::chrono::milliseconds aPatience,
              reply_handler aHandler) override;
  void Read(const jobs::job_name& aJob,
            std::chrono::milliseconds aPatience,
            reply_handler aHandler) override;
  void CountWaiting(const jobs::queue_name& aQueue,
                    std::chrono::milliseconds aPatience,
                    reply_handler aHandler) override;

private:
  void Send(http::request aRequest,
            std::chrono::milliseconds aPatience,
            reply_handler aHandler);

  http::client& mClient;
  const std::string mAddress;
  const service_name mService;
};

// The service that the request is for.
service_name
ServiceOf(const http::request& aRequest);

// Serves a request of the interface from `aService`.
void
ServeJobs(const http::request& aRequest,
          job_service& aService,
          const http::responder& aRespond);

// Asks the owner at `aAddress` for its pool's state.
void
ExchangePool(http::client& aClient,
             const std::string& aAddress,
             const service_name& aPool,
             const pool_instructions& aInstructions,
             pool_state_handler aHandler);

// Whether the request is such an exchange.
bool
IsPoolExchange(const http::request& aRequest);

// Asks the owner at `aAddress` to give the service's jobs away.
void
AskForYield(http::client& aClient,
            const std::string& aAddress,
            const service_name& aService);

bool
IsYield(const http::request& aRequest);

using pool_exchanger =
  std::function<result<pool_state>(const pool_instructions&)>;

// Serves an exchange from `aExchange`.
void
ServePool(const http::request& aRequest,
          const pool_exchanger& aExchange,
          const http::responder& aRespond);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_JOB_HTTP_H
