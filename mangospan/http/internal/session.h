// A caller's connection to http::server. Used by http/server.cc only.
#ifndef MANGOSPAN_HTTP_INTERNAL_SESSION_H
#define MANGOSPAN_HTTP_INTERNAL_SESSION_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangospan/base/time.h"
#include "mangospan/http/connection_limits.h"
#include "mangospan/http/message.h"
#include "mangospan/http/server.h"

namespace mangospan::http::internal {

class session;

// The options, handler and counters that all sessions of a server share.
struct session_context
{
  explicit session_context(server_options aOptions)
    : mOptions(std::move(aOptions))
    , mLedger(mOptions.mLimits)
  {
  }

  void Report(limit_reason aReason) const
  {
    if (mOptions.mOnLimited) {
      mOptions.mOnLimited(aReason);
    }
  }

  server_options mOptions;
  connection_ledger mLedger;
  request_handler mHandler;
  // Number of requests passed to the handler whose response has not been
  // written completely.
  std::size_t mActiveRequests = 0;
  bool mIsStopAnnounced = false;
  bool mStopping = false;
  bool mDestroyed = false;
  std::function<void(session*)> mOnClosed; // called when a session closes
  std::function<void(connection_ledger::connection)> mEvict;
};

// Reads the requests of one connection in order and writes their responses. The
// next request is read once the response to the previous one is written.
class session : public std::enable_shared_from_this<session>
{
public:
  session(boost::asio::ip::tcp::socket aSocket,
          std::shared_ptr<session_context> aContext);

  // Starts reading requests.
  void Start();
  // Returns since when a request has been incomplete, or the first one has been
  // awaited; nullopt if neither.
  std::optional<time_point> WaitingSince() const;
  // Counts the connection for its address. Returns kNone, or why the address
  // may not have another one.
  limit_reason Register();
  // Responds with 503 without reading a request, then closes the connection.
  void RejectConnection(limit_reason aReason);
  // Closes the connection, whose request was not passed to the handler or whose
  // response is not read, in favor of others.
  void Evict();
  // Closes the connection if it is waiting for the first byte of a request and
  // none has arrived. If there was no request yet, waits for one a little.
  void CloseIfIdle();
  // Answers the request that the handler has not answered yet. Returns false if
  // there is none.
  bool AnswerIfActive(const response& aResponse);
  // Closes the connection immediately, also while a request is in progress.
  void Close();

private:
  using error_type = boost::system::error_code;
  enum class phase
  {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    kClosing,
    kClosed,
  };

  void ReadHeader();
  void OnHeaderBytes(const error_type& aError, std::size_t aSize);
  void ParseHeader(std::size_t aSize);
  void ContinueOrReadBody();
  void ReadBody();
  void ReadMoreBody();
  void OnBodyBytes(const error_type& aError, std::size_t aSize);
  bool IsBodyInTime();
  void StartBodyTimer();
  void DispatchRequest();
  void Respond(response aResponse);
  void RejectRequest(int aStatus, const char* aCode, const char* aMessage);
  // As above, and reports the limit.
  void RejectByLimit(limit_reason aReason);
  // Admits that the connection holds `aBytes` until the next call, if need be
  // by closing others. Returns false if it answered the request with a refusal.
  bool Admit(std::size_t aBytes);
  void EvictOthers(std::size_t aBytes);
  // Frees the request, if it was not passed to the handler.
  void ReleaseRequest();
  void SetHeld(std::size_t aBytes, bool aIsEvictable);
  void RespondToParserError(const error_type& aError);
  void Write(response aResponse);
  void OnWritten(const error_type& aError);
  void CloseGracefully();
  // Logs what happens to the request that the handler has not answered.
  void LogActiveRequest(const char* aEvent) const;
  void DiscardInput(std::size_t aMaxBytes);
  void StartTimer(std::chrono::milliseconds aTimeout);

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<session_context> mContext;
  boost::beast::flat_buffer mBuffer;
  // Number of buffered bytes already searched for the end of the header.
  std::size_t mScannedBytes = 0;
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::string_body>>
    mParser;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
    mResponse;
  request mRequest;
  std::string mRemoteAddress;
  phase mPhase = phase::kIdle;
  bool mKeepAlive = false;
  bool mTimedOut = false;
  bool mDispatched = false;
  std::chrono::steady_clock::time_point mDispatchedAt{}; // of the last request
  bool mHasHadRequest = false;
  time_point mBeganAt{}; // the present request, or its response
  std::size_t mProgress = 0;
  time_point mRatePeriodBegan{};
  std::size_t mProgressAtPeriodBegin = 0;
  std::size_t mHeldBytes = 0; // as in the ledger
};

} // namespace mangospan::http::internal

#endif // MANGOSPAN_HTTP_INTERNAL_SESSION_H
