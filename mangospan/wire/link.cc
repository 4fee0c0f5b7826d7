#include "mangospan/wire/link.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/log.h"
#include "mangospan/http/address.h"
#include "mangospan/wire/internal/websocket.h"

namespace mangospan::wire {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinRedialDelay{ 50 };
constexpr milliseconds kMaxRedialDelay{ 2'000 };
// A connection that lasted this long ends a series of failed attempts.
constexpr milliseconds kStableAfter{ 2'000 };
constexpr milliseconds kPingPeriod{ 5'000 };
// Two whole views or configurations, so that one may follow another.
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxMessageBytes;

} // namespace

void
traffic_gate::BlockZone(const zone_name& aZone)
{
  mZones.insert(aZone);
}

void
traffic_gate::BlockHost(const host_name& aHost)
{
  mHosts.insert(aHost);
}

void
traffic_gate::Clear()
{
  mZones.clear();
  mHosts.clear();
}

bool
traffic_gate::Allows(const sender& aSender) const
{
  return mZones.count(aSender.mZone) == 0 && mHosts.count(aSender.mHost) == 0;
}

class link::impl : public std::enable_shared_from_this<link::impl>
{
public:
  impl(asio::io_context& aIo,
       std::function<sender()> aSelf,
       const traffic_gate& aGate,
       link_handlers aHandlers)
    : mIo(aIo)
    , mPingTimer(aIo)
    , mSelf(std::move(aSelf))
    , mGate(aGate)
    , mHandlers(std::move(aHandlers))
    , mRandom(std::random_device{}())
  {
  }

  void Start()
  {
    mTransport = std::make_unique<internal::websocket_transport>(
      mIo,
      [weak = weak_from_this()](std::shared_ptr<internal::websocket> aSocket) {
        const auto self = weak.lock();
        return self ? self->Add(std::move(aSocket), "")
                    : internal::websocket_handlers{ [] {},
                                                    [](const std::string&) {},
                                                    [] {} };
      });
    PingLater();
  }

  status Listen(std::string_view aAddress)
  {
    return mTransport->Listen(aAddress);
  }

  unsigned short Port() const { return mTransport->Port(); }

  void SetPeers(const std::set<std::string>& aAddresses)
  {
    for (auto each = mPeers.begin(); each != mPeers.end();) {
      if (aAddresses.count(each->first) > 0) {
        ++each;
        continue;
      }
      const connection_id current = each->second->mConnection;
      each = mPeers.erase(each); // its timer is cancelled with it
      Close(current);
    }
    for (const std::string& address : aAddresses) {
      if (mPeers.count(address) == 0 && !mIsStopped) {
        mPeers.emplace(address, std::make_unique<peer>(mIo));
        Dial(address);
      }
    }
  }

  void Send(connection_id aConnection, const message& aMessage)
  {
    const auto found = mConnections.find(aConnection);
    if (found == mConnections.end() || !found->second.mIsOpen) {
      return;
    }
    const std::string bytes = Encode({ mSelf(), aMessage });
    if (bytes.size() > kMaxMessageBytes ||
        found->second.mSocket->QueuedBytes() + bytes.size() > kMaxQueuedBytes) {
      LogEvent(log_level::kWarning,
               "wire.send.dropped",
               { { "type", TypeName(aMessage) },
                 { "bytes", static_cast<std::uint64_t>(bytes.size()) },
                 { "peer", found->second.mDialled } });
      return;
    }
    if (found->second.mSocket->Send(bytes)) {
      ++mCounters.mSentMessages;
      mCounters.mSentBytes += bytes.size();
    }
  }

  void Close(connection_id aConnection)
  {
    const auto found = mConnections.find(aConnection);
    if (found != mConnections.end()) {
      found->second.mSocket->Close();
    }
  }

  void Stop()
  {
    mIsStopped = true;
    mPingTimer.cancel();
    mPeers.clear();
    mTransport->StopListening();
    for (auto& [id, each] : mConnections) {
      each.mSocket->Close();
    }
    mConnections.clear();
  }

  const link_counters& Counters() const { return mCounters; }

private:
  struct connection
  {
    std::shared_ptr<internal::websocket> mSocket;
    std::string mDialled;
    bool mIsOpen = false;
    std::chrono::steady_clock::time_point mOpenedAt;
  };

  // An address to which a connection is kept.
  struct peer
  {
    explicit peer(asio::io_context& aIo)
      : mTimer(aIo)
    {
    }

    asio::steady_timer mTimer;
    connection_id mConnection = 0;
    milliseconds mDelay = kMinRedialDelay;
  };

  internal::websocket_handlers Add(std::shared_ptr<internal::websocket> aSocket,
                                   const std::string& aDialled)
  {
    const connection_id id = ++mLastId;
    mConnections[id] = { std::move(aSocket), aDialled, false, {} };
    const auto weak = weak_from_this();
    return { [weak, id] {
              if (const auto self = weak.lock()) {
                self->OnOpen(id);
              }
            },
             [weak, id](const std::string& aBytes) {
               if (const auto self = weak.lock()) {
                 self->OnMessage(id, aBytes);
               }
             },
             [weak, id] {
               if (const auto self = weak.lock()) {
                 self->OnEnd(id);
               }
             } };
  }

  void Dial(const std::string& aAddress)
  {
    if (http::ParseAddress(aAddress).has_error()) {
      LogEvent(log_level::kError,
               "wire.dial.refused",
               { { "peer", aAddress }, { "message", "malformed address" } });
      return;
    }
    const auto handlers = Add(nullptr, aAddress);
    const connection_id id = mLastId;
    mPeers[aAddress]->mConnection = id;
    mConnections[id].mSocket = mTransport->Dial(aAddress, handlers);
    if (!mConnections[id].mSocket) {
      mConnections.erase(id);
      DialLater(aAddress);
    }
  }

  void DialLater(const std::string& aAddress)
  {
    peer& target = *mPeers[aAddress];
    const milliseconds delay(std::uniform_int_distribution<long>(
      target.mDelay.count() / 2, target.mDelay.count())(mRandom));
    target.mDelay = std::min(target.mDelay * 2, kMaxRedialDelay);
    target.mConnection = 0;
    target.mTimer.expires_after(delay);
    target.mTimer.async_wait([weak = weak_from_this(), aAddress](
                               const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && self->mPeers.count(aAddress) > 0 &&
          self->mPeers[aAddress]->mConnection == 0) {
        self->Dial(aAddress);
      }
    });
  }

  void OnOpen(connection_id aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    found->second.mIsOpen = true;
    found->second.mOpenedAt = std::chrono::steady_clock::now();
    const std::string dialled = found->second.mDialled;
    mHandlers.mOnOpen(aId, dialled);
  }

  void OnMessage(connection_id aId, const std::string& aBytes)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    auto decoded = Decode(aBytes);
    if (decoded.has_error()) {
      ++mCounters.mRefusedMessages;
      LogEvent(log_level::kWarning,
               "wire.message.refused",
               { { "bytes", static_cast<std::uint64_t>(aBytes.size()) },
                 { "peer", found->second.mDialled },
                 { "message", decoded.assume_error().mMessage } });
      return;
    }
    if (!mGate.Allows(decoded.assume_value().mSender)) {
      return;
    }
    ++mCounters.mReceivedMessages;
    mCounters.mReceivedBytes += aBytes.size();
    mHandlers.mOnEnvelope(aId, std::move(decoded).assume_value());
  }

  void OnEnd(connection_id aId)
  {
    const auto found = mConnections.find(aId);
    if (found == mConnections.end()) {
      return;
    }
    const connection ended = std::move(found->second);
    mConnections.erase(found);
    const auto target = mPeers.find(ended.mDialled);
    if (target != mPeers.end() && target->second->mConnection == aId) {
      if (ended.mIsOpen &&
          std::chrono::steady_clock::now() - ended.mOpenedAt >= kStableAfter) {
        target->second->mDelay = kMinRedialDelay;
      }
      DialLater(ended.mDialled);
    }
    if (ended.mIsOpen) {
      mHandlers.mOnClose(aId);
    }
  }

  // Finds peers that have gone without closing the connection.
  void PingLater()
  {
    mPingTimer.expires_after(kPingPeriod);
    mPingTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& aError) {
        const auto self = weak.lock();
        if (aError || !self || self->mIsStopped) {
          return;
        }
        for (const auto& [id, each] : self->mConnections) {
          if (each.mIsOpen) {
            each.mSocket->Ping();
          }
        }
        self->PingLater();
      });
  }

  asio::io_context& mIo;
  asio::steady_timer mPingTimer;
  std::function<sender()> mSelf;
  const traffic_gate& mGate;
  link_handlers mHandlers;
  std::minstd_rand mRandom;
  std::unique_ptr<internal::websocket_transport> mTransport;
  std::map<std::string, std::unique_ptr<peer>> mPeers;
  std::map<connection_id, connection> mConnections;
  connection_id mLastId = 0;
  link_counters mCounters;
  bool mIsStopped = false;
};

link::link(asio::io_context& aIo,
           std::function<sender()> aSelf,
           const traffic_gate& aGate,
           link_handlers aHandlers)
  : mImpl(std::make_shared<impl>(aIo,
                                 std::move(aSelf),
                                 aGate,
                                 std::move(aHandlers)))
{
  mImpl->Start();
}

link::~link()
{
  mImpl->Stop();
}

status
link::Listen(std::string_view aAddress)
{
  return mImpl->Listen(aAddress);
}

unsigned short
link::Port() const
{
  return mImpl->Port();
}

void
link::SetPeers(const std::set<std::string>& aAddresses)
{
  mImpl->SetPeers(aAddresses);
}

void
link::Send(connection_id aConnection, const message& aMessage)
{
  mImpl->Send(aConnection, aMessage);
}

void
link::Close(connection_id aConnection)
{
  mImpl->Close(aConnection);
}

void
link::Stop()
{
  mImpl->Stop();
}

const link_counters&
link::Counters() const
{
  return mImpl->Counters();
}

} // namespace mangospan::wire
