#include "testing/http/fault_server.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "mangospan/base/error.h"
#include "mangospan/http/message.h"

namespace mangospan::standin {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;

namespace {

http::request
ToRequest(const beast_http::request<beast_http::string_body>& aMessage)
{
  http::request request;
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = aMessage.body();
  return request;
}

// The bytes of the response as they go over the connection.
std::string
ToText(const http::response& aResponse, bool aKeepAlive, bool aHead)
{
  beast_http::response<beast_http::string_body> message;
  message.result(static_cast<unsigned>(aResponse.mStatus));
  for (const http::header& header : aResponse.mHeaders) {
    message.set(header.mName, header.mValue);
  }
  message.keep_alive(aKeepAlive);
  message.content_length(aResponse.mBody.size());
  if (!aHead) {
    message.body() = aResponse.mBody;
  }
  std::ostringstream text;
  text << message;
  return text.str();
}

class session : public std::enable_shared_from_this<session>
{
public:
  using on_close = std::function<void(session*)>;

  session(tcp::socket aSocket,
          std::size_t aMaxBody,
          const fault_server::handler& aHandler,
          on_close aOnClose)
    : mSocket(std::move(aSocket))
    , mMaxBody(aMaxBody)
    , mHandler(aHandler)
    , mOnClose(std::move(aOnClose))
  {
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  // A handler may drop its replier: then the session ends here.
  ~session() { Close(); }

  void Read()
  {
    mParser.emplace();
    mParser->body_limit(mMaxBody);
    beast_http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t) { self->OnRead(aError); });
  }

  void Close()
  {
    if (!mOpen) {
      return;
    }
    mOpen = false;
    boost::system::error_code ignored;
    mSocket.shutdown(tcp::socket::shutdown_both, ignored);
    mSocket.close(ignored);
    mOnClose(this);
  }

private:
  void OnRead(const boost::system::error_code& aError)
  {
    if (aError || !mOpen) {
      Close();
      return;
    }
    mKeepAlive = mParser->get().keep_alive();
    mHead = mParser->get().method() == beast_http::verb::head;
    mHandler(ToRequest(mParser->get()),
             [self = shared_from_this()](const reply& aReply) {
               self->Deliver(aReply);
             });
  }

  void Deliver(const reply& aReply)
  {
    if (!mOpen) {
      return;
    }
    if (aReply.mDelivery == delivery::kDrop) {
      Close();
      return;
    }
    mOut = ToText(aReply.mResponse, mKeepAlive, mHead);
    if (aReply.mDelivery == delivery::kCutMidway) {
      mOut.resize(mOut.size() - (aReply.mResponse.mBody.size() + 1) / 2);
      mKeepAlive = false;
    } else if (aReply.mDelivery == delivery::kTwice) {
      mOut += mOut;
    }
    asio::async_write(
      mSocket,
      asio::buffer(mOut),
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  std::size_t) { self->OnWritten(aError); });
  }

  void OnWritten(const boost::system::error_code& aError)
  {
    if (aError || !mKeepAlive || !mOpen) {
      Close();
      return;
    }
    Read();
  }

  tcp::socket mSocket;
  std::size_t mMaxBody;
  const fault_server::handler mHandler;
  on_close mOnClose;
  boost::beast::flat_buffer mBuffer;
  std::optional<beast_http::request_parser<beast_http::string_body>> mParser;
  std::string mOut;
  bool mKeepAlive = true;
  bool mHead = false;
  bool mOpen = true;
};

result<tcp::endpoint>
ParseEndpoint(std::string_view aAddress)
{
  const error wrong{ error_code::kInvalidArgument,
                     "http.listen",
                     std::string(aAddress),
                     "not of the form ip:port" };
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return wrong;
  }
  boost::system::error_code failure;
  const auto ip =
    asio::ip::make_address(std::string(aAddress.substr(0, colon)), failure);
  unsigned port = 0;
  std::istringstream digits{ std::string(aAddress.substr(colon + 1)) };
  constexpr unsigned kMaxPort = 65535;
  if (failure || !(digits >> port) || !digits.eof() || port > kMaxPort) {
    return wrong;
  }
  return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

} // namespace

class fault_server::impl : public std::enable_shared_from_this<impl>
{
public:
  impl(asio::io_context& aIo, fault_server_options aOptions, handler aHandler)
    : mAcceptor(aIo)
    , mOptions(aOptions)
    , mHandler(std::move(aHandler))
  {
  }

  status Listen(std::string_view aAddress)
  {
    BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(aAddress));
    boost::system::error_code failure;
    mAcceptor.open(endpoint.protocol(), failure);
    if (!failure) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), failure);
      mAcceptor.bind(endpoint, failure);
    }
    if (!failure) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      StopAccepting();
      return error{ error_code::kUnavailable,
                    "http.listen",
                    std::string(aAddress),
                    failure.message() };
    }
    mPort = mAcceptor.local_endpoint().port();
    Accept();
    return boost::outcome_v2::success();
  }

  void StopAccepting()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
  }

  void CutAll()
  {
    StopAccepting();
    const std::set<session*> open = mSessions;
    for (session* each : open) {
      each->Close();
    }
  }

  unsigned short Port() const { return mPort; }
  std::size_t OpenConnections() const { return mSessions.size(); }
  std::uint64_t RejectedConnections() const { return mRejected; }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [weak = weak_from_this()](const boost::system::error_code& aError,
                                tcp::socket aSocket) {
        const auto self = weak.lock();
        if (self && !aError) {
          self->OnAccepted(std::move(aSocket));
        }
      });
  }

  void OnAccepted(tcp::socket aSocket)
  {
    if (mSessions.size() >= mOptions.mMaxConnections) {
      ++mRejected;
      boost::system::error_code ignored;
      aSocket.close(ignored);
    } else {
      boost::system::error_code ignored;
      aSocket.set_option(tcp::no_delay(true), ignored);
      const auto added =
        std::make_shared<session>(std::move(aSocket),
                                  mOptions.mMaxBodyBytes,
                                  mHandler,
                                  [weak = weak_from_this()](session* aSession) {
                                    if (const auto self = weak.lock()) {
                                      self->mSessions.erase(aSession);
                                    }
                                  });
      mSessions.insert(added.get());
      added->Read();
    }
    if (mAcceptor.is_open()) {
      Accept();
    }
  }

  tcp::acceptor mAcceptor;
  fault_server_options mOptions;
  handler mHandler;
  std::set<session*> mSessions;
  std::uint64_t mRejected = 0;
  unsigned short mPort = 0;
};

fault_server::fault_server(asio::io_context& aIo,
                           fault_server_options aOptions,
                           handler aHandler)
  : mImpl(std::make_shared<impl>(aIo, aOptions, std::move(aHandler)))
{
}

fault_server::~fault_server()
{
  mImpl->CutAll();
}

status
fault_server::Listen(std::string_view aAddress)
{
  return mImpl->Listen(aAddress);
}

unsigned short
fault_server::Port() const
{
  return mImpl->Port();
}

void
fault_server::StopAccepting()
{
  mImpl->StopAccepting();
}

void
fault_server::CutAll()
{
  mImpl->CutAll();
}

std::size_t
fault_server::OpenConnections() const
{
  return mImpl->OpenConnections();
}

std::uint64_t
fault_server::RejectedConnections() const
{
  return mImpl->RejectedConnections();
}

} // namespace mangospan::standin
