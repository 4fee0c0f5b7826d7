#include "http.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

std::string
Lower(std::string aText)
{
  for (char& each : aText) {
    each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  }
  return aText;
}

request
FromBeast(const http::request<http::string_body>& aMessage)
{
  request out;
  out.mMethod = std::string(aMessage.method_string());
  const std::string target(aMessage.target());
  const auto mark = target.find('?');
  out.mPath = target.substr(0, mark);
  std::string query =
    mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string pair = query.substr(0, end);
    query.erase(0, end + 1);
    const auto equals = std::min(pair.find('='), pair.size());
    out.mQuery[pair.substr(0, equals)] =
      equals < pair.size() ? pair.substr(equals + 1) : std::string();
  }
  for (const auto& field : aMessage) {
    out.mHeaders[Lower(std::string(field.name_string()))] =
      std::string(field.value());
  }
  out.mBody = aMessage.body();
  return out;
}

} // namespace

struct server::impl
{
  handler mHandler;
  asio::io_context mIo;
  std::unique_ptr<tcp::acceptor> mAcceptor;
  unsigned short mPort = 0;
  std::mutex mMutex;
  std::set<int> mOpen; // descriptors of connections
  std::atomic<int> mGeneration{ 0 };

  void Serve(const std::shared_ptr<impl>& aSelf, tcp::socket aSocket);
};

void
server::impl::Serve(const std::shared_ptr<impl>& aSelf, tcp::socket aSocket)
{
  const int descriptor = aSocket.native_handle();
  {
    const std::lock_guard lock(mMutex);
    mOpen.insert(descriptor);
  }
  beast::flat_buffer buffer;
  beast::error_code failure;
  aSocket.set_option(tcp::no_delay(true), failure);
  while (true) {
    http::request<http::string_body> message;
    http::read(aSocket, buffer, message, failure);
    if (failure) {
      break;
    }
    reply made;
    try {
      made = aSelf->mHandler(FromBeast(message));
    } catch (const std::exception& problem) {
      made.mStatus = 400;
    }
    if (made.mIsSilent) {
      char byte = 0;
      while (!failure) {
        aSocket.read_some(asio::buffer(&byte, 1), failure);
      }
      break;
    }
    http::response<http::string_body> out;
    out.version(11);
    out.result(static_cast<unsigned>(made.mStatus));
    out.set(http::field::content_type, "application/json");
    out.body() = std::move(made.mBody);
    out.keep_alive(message.keep_alive());
    out.prepare_payload();
    http::write(aSocket, out, failure);
    if (failure || !message.keep_alive()) {
      break;
    }
  }
  const std::lock_guard lock(mMutex);
  mOpen.erase(descriptor);
  beast::error_code ignored;
  aSocket.close(ignored);
}

server::server(handler aHandler)
  : mImpl(std::make_shared<impl>())
{
  mImpl->mHandler = std::move(aHandler);
}

server::~server()
{
  Stop();
}

void
server::Start()
{
  mImpl->mAcceptor = std::make_unique<tcp::acceptor>(mImpl->mIo);
  tcp::acceptor& acceptor = *mImpl->mAcceptor;
  acceptor.open(tcp::v4());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind({ asio::ip::address_v4::loopback(), mImpl->mPort });
  acceptor.listen();
  mImpl->mPort = acceptor.local_endpoint().port();
  const int generation = ++mImpl->mGeneration;
  std::thread([self = mImpl, generation] {
    while (self->mGeneration == generation) {
      beast::error_code failure;
      tcp::socket socket(self->mIo);
      self->mAcceptor->accept(socket, failure);
      if (failure || self->mGeneration != generation) {
        return;
      }
      std::thread([self, one = std::move(socket)]() mutable {
        self->Serve(self, std::move(one));
      }).detach();
    }
  }).detach();
}

void
server::Stop()
{
  if (!mImpl->mAcceptor) {
    return;
  }
  ++mImpl->mGeneration;
  ::shutdown(mImpl->mAcceptor->native_handle(), SHUT_RDWR);
  std::this_thread::sleep_for(std::chrono::milliseconds(2));
  beast::error_code ignored;
  mImpl->mAcceptor->close(ignored);
  const std::lock_guard lock(mImpl->mMutex);
  for (const int each : mImpl->mOpen) {
    ::shutdown(each, SHUT_RDWR);
  }
}

std::string
server::Address() const
{
  return "127.0.0.1:" + std::to_string(mImpl->mPort);
}

answer
Call(const std::string& aAddress,
     const request& aRequest,
     std::chrono::milliseconds aTimeout)
{
  asio::io_context io;
  beast::tcp_stream stream(io);
  const auto colon = aAddress.find(':');
  const tcp::endpoint target(
    asio::ip::make_address(aAddress.substr(0, colon)),
    static_cast<unsigned short>(std::stoul(aAddress.substr(colon + 1))));
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mPath);
  for (const auto& [name, value] : aRequest.mHeaders) {
    message.set(name, value);
  }
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, aAddress);
  }
  message.keep_alive(false);
  message.body() = aRequest.mBody;
  message.prepare_payload();
  http::response<http::string_body> got;
  beast::flat_buffer buffer;
  answer out;
  stream.expires_after(aTimeout);
  stream.async_connect(target, [&](const beast::error_code& aConnect) {
    if (aConnect) {
      return;
    }
    http::async_write(
      stream, message, [&](const beast::error_code& aWrite, std::size_t) {
        if (aWrite) {
          return;
        }
        http::async_read(stream,
                         buffer,
                         got,
                         [&](const beast::error_code& aRead, std::size_t) {
                           if (!aRead) {
                             out.mStatus = static_cast<int>(got.result_int());
                             out.mBody = got.body();
                           }
                         });
      });
  });
  io.run();
  return out;
}

} // namespace standins
