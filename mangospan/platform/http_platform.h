// Clients of the platform's store and host service over HTTP and JSON. The
// clients that mangospan/node uses are in the directory platform/.
//
// To support another platform here, replace these two classes:
//
//   platform::http_store store(io, client, "127.0.0.1:7000", zone);
//   platform::http_hosts hosts(io, client, "127.0.0.1:7000", zone);
#ifndef MANGOSPAN_PLATFORM_HTTP_PLATFORM_H
#define MANGOSPAN_PLATFORM_HTTP_PLATFORM_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "mangospan/platform/hosts.h"
#include "mangospan/platform/store.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::http {
class client;
}

namespace mangospan::platform {

// The platform's address and the objects used to call it. The referenced
// objects must outlive every user of this value.
struct http_platform
{
  boost::asio::io_context& mIo;
  http::client& mClient;
  std::string mAddress; // "ip:port"
  zone_name mZone; // this process's zone, sent with each call; may be empty
};

// Calls the platform's key-value service.
class http_store final : public store
{
public:
  http_store(boost::asio::io_context& aIo,
             http::client& aClient,
             std::string aAddress,
             zone_name aZone);

  void Read(std::string aKey,
            std::chrono::milliseconds aTimeout,
            handler<std::optional<record>> aHandler) override;
  void List(std::string aPrefix,
            std::chrono::milliseconds aTimeout,
            handler<std::vector<record>> aHandler) override;
  void CompareAndSwap(swap_request aRequest,
                      std::chrono::milliseconds aTimeout,
                      handler<revision> aHandler) override;
  void Delete(std::string aKey,
              revision aExpected,
              std::chrono::milliseconds aTimeout,
              handler<revision> aHandler) override;
  void GrantLease(std::chrono::milliseconds aTtl,
                  std::chrono::milliseconds aTimeout,
                  handler<lease_id> aHandler) override;
  void RenewLease(lease_id aLease,
                  std::chrono::milliseconds aTimeout,
                  handler<lease_id> aHandler) override;
  void RevokeLease(lease_id aLease,
                   std::chrono::milliseconds aTimeout,
                   handler<lease_id> aHandler) override;
  void Watch(std::string aPrefix,
             revision aAfter,
             std::chrono::milliseconds aWait,
             handler<change_batch> aHandler) override;

private:
  const http_platform mPlatform;
};

// Calls the platform's host service.
class http_hosts final : public hosts
{
public:
  http_hosts(boost::asio::io_context& aIo,
             http::client& aClient,
             std::string aAddress,
             zone_name aZone);

  void List(revision aKnownRevision,
            std::chrono::milliseconds aTimeout,
            handler<host_list> aHandler) override;
  void StartAction(action_request aRequest,
                   std::chrono::milliseconds aTimeout,
                   handler<action_status> aHandler) override;

private:
  const http_platform mPlatform;
};

} // namespace mangospan::platform

#endif // MANGOSPAN_PLATFORM_HTTP_PLATFORM_H
