#include "mangospan/wire/internal/websocket.h"

#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "mangospan/http/address.h"
#include "mangospan/wire/message.h"

namespace mangospan::wire::internal {

namespace {

using ws_server = websocketpp::server<websocketpp::config::asio>;
using ws_client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;
using ws_error = websocketpp::lib::error_code;
using tcp = boost::asio::ip::tcp;

constexpr long kHandshakeTimeoutMs = 2'000;
constexpr long kCloseTimeoutMs = 1'000;
constexpr long kPongTimeoutMs = 5'000;

template<typename Endpoint>
class ws_connection final : public websocket
{
public:
  using connection_ptr = typename Endpoint::connection_ptr;

  explicit ws_connection(const connection_ptr& aConnection)
    : mConnection(aConnection)
  {
  }

  bool Send(const std::string& aBytes) override
  {
    const auto connection = mConnection.lock();
    return connection && !connection->send(aBytes.data(),
                                           aBytes.size(),
                                           websocketpp::frame::opcode::binary);
  }

  std::size_t QueuedBytes() const override
  {
    const auto connection = mConnection.lock();
    return connection ? connection->get_buffered_amount() : 0;
  }

  void Ping() override
  {
    if (const auto connection = mConnection.lock()) {
      ws_error ignored;
      connection->ping("", ignored);
    }
  }

  void Close() override
  {
    if (const auto connection = mConnection.lock()) {
      ws_error ignored;
      connection->close(websocketpp::close::status::going_away, "", ignored);
    }
  }

private:
  std::weak_ptr<typename connection_ptr::element_type> mConnection;
};

template<typename Endpoint>
void
Configure(Endpoint& aEndpoint, boost::asio::io_context& aIo)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.init_asio(&aIo);
  aEndpoint.set_max_message_size(kMaxMessageBytes);
  aEndpoint.set_open_handshake_timeout(kHandshakeTimeoutMs);
  aEndpoint.set_close_handshake_timeout(kCloseTimeoutMs);
  aEndpoint.set_pong_timeout(kPongTimeoutMs);
  aEndpoint.set_socket_init_handler(
    [](const connection_hdl&, tcp::socket& aSocket) {
      boost::system::error_code ignored;
      aSocket.set_option(tcp::no_delay(true), ignored);
    });
}

// Pending operations of a connection refer to its endpoint, so the handlers
// keep `aOwner` alive for as long as the connection.
template<typename Connection>
void
Attach(const Connection& aConnection,
       websocket_handlers aHandlers,
       std::shared_ptr<void> aOwner)
{
  aConnection->set_open_handler(
    [onOpen = std::move(aHandlers.mOnOpen),
     owner = std::move(aOwner)](const connection_hdl&) { onOpen(); });
  aConnection->set_message_handler(
    [onMessage = std::move(aHandlers.mOnMessage)](const connection_hdl&,
                                                  const auto& aMessage) {
      onMessage(aMessage->get_payload());
    });
  const auto onEnd = [handler = std::move(aHandlers.mOnEnd)](
                       const connection_hdl&) { handler(); };
  aConnection->set_close_handler(onEnd);
  aConnection->set_fail_handler(onEnd);
  const std::weak_ptr<typename Connection::element_type> weak = aConnection;
  aConnection->set_pong_timeout_handler(
    [weak](const connection_hdl&, const std::string&) {
      if (const auto connection = weak.lock()) {
        connection->terminate(
          websocketpp::error::make_error_code(websocketpp::error::general));
      }
    });
}

} // namespace

class websocket_transport::impl
  : public std::enable_shared_from_this<websocket_transport::impl>
{
public:
  impl(boost::asio::io_context& aIo, accept_handler aOnAccept)
    : mIo(aIo)
  {
    Configure(mServer, aIo);
    Configure(mClient, aIo);
    mServer.set_reuse_addr(true);
    // Runs before the handshake, so that nothing is missed.
    mServer.set_validate_handler(
      [this, onAccept = std::move(aOnAccept)](const connection_hdl& aHandle) {
        ws_error failure;
        const auto connection = mServer.get_con_from_hdl(aHandle, failure);
        if (failure) {
          return false;
        }
        Attach(connection,
               onAccept(std::make_shared<ws_connection<ws_server>>(connection)),
               shared_from_this());
        return true;
      });
  }

  status Listen(std::string_view aAddress)
  {
    BOOST_OUTCOME_TRY(endpoint, http::ParseAddress(aAddress));
    ws_error failure;
    mServer.listen(endpoint, failure);
    if (!failure) {
      mServer.start_accept(failure);
    }
    if (failure) {
      return error{ error_code::kUnavailable,
                    "wire.listen",
                    std::string(aAddress),
                    failure.message() };
    }
    return boost::outcome_v2::success();
  }

  unsigned short Port()
  {
    boost::system::error_code failure;
    const tcp::endpoint local = mServer.get_local_endpoint(failure);
    return failure ? 0 : local.port();
  }

  void StopListening()
  {
    ws_error ignored;
    mServer.stop_listening(ignored);
  }

  std::shared_ptr<websocket> Dial(const std::string& aAddress,
                                  websocket_handlers aHandlers)
  {
    ws_error failure;
    const auto connection =
      mClient.get_connection("ws://" + aAddress + "/", failure);
    if (failure) {
      return nullptr;
    }
    auto dialled = std::make_shared<ws_connection<ws_client>>(connection);
    Attach(connection, std::move(aHandlers), shared_from_this());
    mClient.connect(connection);
    return dialled;
  }

  // Stops, and lives on until the pending accept has been cancelled.
  void Retire()
  {
    StopListening();
    boost::asio::post(mIo, [self = shared_from_this()] {});
  }

private:
  boost::asio::io_context& mIo;
  ws_server mServer;
  ws_client mClient;
};

websocket_transport::websocket_transport(boost::asio::io_context& aIo,
                                         accept_handler aOnAccept)
  : mImpl(std::make_shared<impl>(aIo, std::move(aOnAccept)))
{
}

websocket_transport::~websocket_transport()
{
  mImpl->Retire();
}

status
websocket_transport::Listen(std::string_view aAddress)
{
  return mImpl->Listen(aAddress);
}

unsigned short
websocket_transport::Port() const
{
  return mImpl->Port();
}

void
websocket_transport::StopListening()
{
  mImpl->StopListening();
}

std::shared_ptr<websocket>
websocket_transport::Dial(const std::string& aAddress,
                          websocket_handlers aHandlers)
{
  return mImpl->Dial(aAddress, std::move(aHandlers));
}

} // namespace mangospan::wire::internal
