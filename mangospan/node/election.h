// Makes one node the owner of all jobs, by a lease in the store.
//
// Two keys: `lease` lives as long as its holder renews it; `term` counts the
// owners and stays. Both are written in one transaction. Every write of an
// owner expects the term's revision, so that a successor's claim fences it, and
// runners ignore orders of a term lower than the highest they saw.
#ifndef MANGOSPAN_NODE_ELECTION_H
#define MANGOSPAN_NODE_ELECTION_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/time.h"
#include "mangospan/node/mirror.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

struct election_settings
{
  std::chrono::milliseconds mTtl{ 1'800 };
  std::chrono::milliseconds mRenewal{ 350 };
  std::chrono::milliseconds mCallTimeout{ 400 };
  // A node other than the last owner waits this long, and up to as much again,
  // so that an owner whose lease was revoked goes on without a takeover.
  std::chrono::milliseconds mPatience{ 100 };
  // A node that started longer ago waits once more as long: in a rolling
  // restart, the one that came back lately is the last to go again.
  std::chrono::milliseconds mRecentStart{ 45'000 };
  // The owner does most of the work. A host waits this long for each of
  // processor and network link, less the share of an ample one that it has.
  std::chrono::milliseconds mHandicap{ 300 };
  double mAmpleProcessor = 0.5; // of a core
  double mAmpleLinkMbps = 200;
  double mProcessorShare = 1.0; // of this host
  double mLinkMbps = 1'000;     // of this host
  // How much sooner than the store the owner counts its lease as over.
  std::chrono::milliseconds mMargin{ 200 };
};

// The owner as the store names it.
struct owner_record
{
  std::uint64_t mTerm = 0;
  std::string mNode;
  std::string mAddress; // of its own interface
  platform::revision mRevision = 0;
};

struct election_handlers
{
  std::function<void(const owner_record&)> mOnElected; // this node owns now
  std::function<void()> mOnLost;                       // and no longer
};

class election : public std::enable_shared_from_this<election>
{
public:
  election(boost::asio::io_context& aIo,
           const clock_source& aClock,
           platform::transactional_store& aStore,
           std::string aNode,
           std::string aAddress,
           election_settings aSettings,
           election_handlers aHandlers);

  void Start();
  // Gives the ownership up and tries for it no more; then calls `aDone`.
  void Retire(std::function<void()> aDone);
  // Gives up a term that was found to be superseded.
  void StepDown();

  bool IsOwner() const { return mIsOwner; }
  // Whether the lease certainly holds.
  bool IsValid() const { return IsValidFor(std::chrono::milliseconds(0)); }
  // Whether it certainly held `aSince` ago.
  bool IsValidFor(std::chrono::milliseconds aSince) const;
  // The owner that the store named last, if its lease is there.
  std::optional<owner_record> Owner() const;
  static std::string TermKey();

private:
  void OnRecord(const platform::record& aRecord);
  void OnDeleted(const std::string& aKey);
  void OnSynced();
  void ScheduleTry();
  std::chrono::milliseconds Patience();
  void Try();
  void Claim(platform::lease_id aLease);
  void OnClaimed(const owner_record& aClaim,
                 platform::lease_id aLease,
                 time_point aSentAt,
                 const result<platform::commit_outcome>& aResult);
  void ScheduleRenewal();
  void Renew();
  void Lose(const char* aReason);
  void EndLease();

  boost::asio::steady_timer mTryTimer;
  boost::asio::steady_timer mRenewTimer;
  const clock_source& mClock;
  platform::transactional_store& mStore;
  const std::string mNode;
  const std::string mAddress;
  const election_settings mSettings;
  const election_handlers mHandlers;
  std::shared_ptr<mirror> mMirror;
  std::minstd_rand mRandom;
  owner_record mTerm;       // newest seen
  std::string mLeaseHolder; // empty: nobody holds the lease
  std::optional<platform::lease_id> mLease;
  time_point mRenewedAt{};
  time_point mStartedAt{};
  bool mIsOwner = false;
  bool mIsTrying = false;
  bool mIsRetired = false;
  boost::asio::io_context& mIo;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_ELECTION_H
