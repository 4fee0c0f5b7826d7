// HTTP interface between nodes, by which a node reaches the owner of a
// service's jobs. The header `Mangospan-Service` names the service, and the
// header `Mangospan-Patience-Ms` gives the timeout of the call in milliseconds.
//
//   POST   /mangospan/v1/jobs/JOB     submit (body: the specification)
//   GET    /mangospan/v1/jobs/JOB     {"state":"running"}, or 410
//   DELETE /mangospan/v1/jobs/JOB     cancel
//   GET    /mangospan/v1/queues/NAME  {"waiting":12}
//   POST   /mangospan/v1/pool         fleet's instructions, see pool_link.h
//   GET    /mangospan/v1/health       see `kHealthPath`; the header
//                                     `Mangospan-Node` names who asks
//   POST   /mangospan/v1/yield        hand over to a host with more capacity
//
// Statuses of job and queue requests: 200 kOk, 410 kNoSuchJob, 429 kRefused,
// 503 kUnavailable, 504 kUnknown; 400 for a malformed specification. A node
// that does not own the service's jobs answers 503.
#ifndef MANGOSPAN_NODE_JOB_HTTP_H
#define MANGOSPAN_NODE_JOB_HTTP_H

#include <string>
#include <string_view>

#include "mangospan/http/client.h"
#include "mangospan/http/server.h"
#include "mangospan/node/job_service.h"
#include "mangospan/node/peer_link.h"
#include "mangospan/node/pool_link.h"

namespace mangospan::node {

// Path of the node's health:
// {"serves":["survey"],"unreachable":["10.1.0.2:7000"],"majority":true}.
inline constexpr const char* kHealthPath = "/mangospan/v1/health";
// Header with the address of the node that asks for the health.
inline constexpr const char* kNodeHeader = "Mangospan-Node";

// Encode and decode the health of a node as JSON text. A field that is missing
// or malformed reads as empty.
std::string
Encode(const health_report& aHealth);
health_report
DecodeHealth(std::string_view aText);

// Returns the HTTP status that stands for the reply.
int
StatusOf(reply_kind aKind);

// A client of the owner of a service's jobs on another node. If a call
// fails, replies kUnavailable if the call certainly had no effect, otherwise
// kUnknown.
class remote_job_service final : public job_service
{
public:
  remote_job_service(http::client& aClient,
                     std::string aAddress,
                     service_name aService);

  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& aSpec,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler) override;
  void Cancel(const jobs::job_name& aJob,
              std::chrono::milliseconds aTimeout,
              reply_handler aHandler) override;
  void Read(const jobs::job_name& aJob,
            std::chrono::milliseconds aTimeout,
            reply_handler aHandler) override;
  void CountWaiting(const jobs::queue_name& aQueue,
                    std::chrono::milliseconds aTimeout,
                    reply_handler aHandler) override;

private:
  void Send(http::request aRequest,
            std::chrono::milliseconds aTimeout,
            reply_handler aHandler);

  http::client& mClient;
  const std::string mAddress;
  const service_name mService;
};

// Returns the service that the header `Mangospan-Service` names; an empty name
// if there is none.
service_name
ServiceOfRequest(const http::request& aRequest);

// Answers a job or queue request of the interface by a call to `aService`.
void
ServeJobs(const http::request& aRequest,
          job_service& aService,
          const http::responder& aRespond);

// Sends instructions to the owner of the pool's jobs at `aAddress` and passes
// the pool's state in its answer to `aHandler`. Errors: kConflict for an older
// fleet term; kUnavailable for any other refusal; those of the connection and
// of the decoding.
void
ExchangePool(http::client& aClient,
             const std::string& aAddress,
             const service_name& aPool,
             const pool_instructions& aInstructions,
             pool_state_handler aHandler);

// Returns whether the request is one sent by `ExchangePool`.
bool
IsPoolExchange(const http::request& aRequest);

// Asks the owner at `aAddress` to hand over the service's jobs. A failure is
// only logged: the caller repeats the request.
void
RequestYield(http::client& aClient,
             const std::string& aAddress,
             const service_name& aService);

// Returns whether the request is one sent by `RequestYield`.
bool
IsYieldRequest(const http::request& aRequest);

// Applies instructions and returns the state of the pool; see
// `owner::Exchange`.
using pool_exchanger =
  std::function<result<pool_state>(const pool_instructions&)>;

// Answers a request sent by `ExchangePool` with the result of `aExchange`.
void
ServePool(const http::request& aRequest,
          const pool_exchanger& aExchange,
          const http::responder& aRespond);

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_JOB_HTTP_H
