// Makes one node the owner of a subject - the jobs of one service, or the hosts
// of the fleet - by a lease in the store.
//
// Two keys a subject: `lease` lives as long as its holder renews it; `term`
// counts the owners and stays. Both are written in one transaction. Every write
// of an owner expects the term's revision, so that a successor's claim fences
// it, and runners ignore orders of a term lower than the highest they saw.
//
// The records come from a mirror that all elections of a node share.
#ifndef MANGOSPAN_NODE_ELECTION_H
#define MANGOSPAN_NODE_ELECTION_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
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
  std::chrono::milliseconds mHandicap{ 450 };
  // And once more for each subject that it owns already, so that they spread.
  std::chrono::milliseconds mBurden{ 250 };
  // After it has given the subject to another node.
  std::chrono::milliseconds mYieldTime{ 2'000 };
  // Of the first claims, which nodes make for different subjects first.
  std::chrono::milliseconds mStagger{ 0 };
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
  double mLack = 0;     // see `LackOf`
  platform::revision mRevision = 0;
};

// Makes writes that fail once another node owns the subject.
struct term_fence
{
  std::string mTermKey;
  platform::revision mRevision = 0;

  // A transaction that expects the term; add to it.
  platform::transaction Begin() const;
};

// What the host lacks of an ample one: 0 for none, up to 1 each for processor
// and network link.
double
LackOf(const election_settings& aSettings);

struct election_handlers
{
  std::function<void(const owner_record&)> mOnElected; // this node owns now
  std::function<void()> mOnLost;                       // and no longer
  std::function<std::size_t()> mBurden; // subjects that this node owns
};

// What elections are held for.
std::string
FleetSubject();
std::string
JobsSubject(const service_name& aService);
// The service whose jobs the subject is; nothing for another subject.
std::optional<service_name>
ServiceOf(std::string_view aSubject);

// The key's subject; empty for a key that is not an election's.
std::string
SubjectOf(std::string_view aKey);

class election : public std::enable_shared_from_this<election>
{
public:
  // Every subject's keys begin so.
  static constexpr const char* kPrefix = "mangospan/own/";
  static std::string TermKey(const std::string& aSubject);

  election(boost::asio::io_context& aIo,
           const clock_source& aClock,
           platform::transactional_store& aStore,
           std::string aSubject,
           std::string aNode,
           std::string aAddress,
           election_settings aSettings,
           election_handlers aHandlers);

  // From the mirror: a record of the subject, one that is gone, and that the
  // picture is complete.
  void OnRecord(const platform::record& aRecord);
  void OnDeleted(const std::string& aKey);
  void OnSynced();

  // Gives the ownership up and tries for it no more; then calls `aDone`.
  void Retire(std::function<void()> aDone);
  // Gives up a term that was found to be superseded.
  void StepDown();
  // Gives the ownership to another node, and leaves it to the others for a
  // while.
  void Yield();

  bool IsOwner() const { return mIsOwner; }
  // Whether it owns, or is about to.
  bool IsClaimed() const { return mIsOwner || mIsClaiming; }
  // When this node has heard of the present owner.
  time_point OwnerSince() const { return mOwnerSince; }
  // Whether the lease certainly holds.
  bool IsValid() const { return IsValidFor(std::chrono::milliseconds(0)); }
  // Whether it certainly held `aSince` ago.
  bool IsValidFor(std::chrono::milliseconds aSince) const;
  // The owner that the store named last, if its lease is there.
  std::optional<owner_record> Owner() const;

private:
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
  const std::string mSubject;
  const std::string mLeaseKey;
  const std::string mTermKey;
  const std::string mNode;
  const std::string mAddress;
  const election_settings mSettings;
  const election_handlers mHandlers;
  std::minstd_rand mRandom;
  owner_record mTerm;       // newest seen
  std::string mLeaseHolder; // empty: nobody holds the lease
  std::optional<platform::lease_id> mLease;
  time_point mRenewedAt{};
  const time_point mStartedAt;
  time_point mOwnerSince{};
  time_point mNotBefore{}; // leaves it to others until then
  bool mIsClaiming = false;
  std::size_t mBurdenAtTry = 0;
  bool mIsOwner = false;
  bool mIsTrying = false;
  bool mIsRetired = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_ELECTION_H
