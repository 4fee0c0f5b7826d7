// Elects one node as the owner of a subject by means of a lease in the store. A
// subject is the jobs of one service, or the hosts of the fleet.
//
// Each subject has two keys. The key `lease` exists as long as its holder
// renews it. The key `term` holds the number of the owner's term and is never
// deleted. A claim writes both in one transaction. Every write of an owner
// expects the revision of the term key, so that the claim of a successor fences
// it. Runners ignore orders of a term lower than the highest they have seen.
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

#include "mangospan/base/identity.h"
#include "mangospan/base/time.h"
#include "mangospan/base/timer.h"
#include "mangospan/jobs/answer_times.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

struct election_settings
{
  // The time to live of the lease.
  std::chrono::milliseconds mTtl{ 1'800 };
  // The interval at which the owner renews the lease.
  std::chrono::milliseconds mRenewalInterval{ 350 };
  // The timeout of a call to the store.
  std::chrono::milliseconds mCallTimeout{ 400 };
  // A renewal is repeated once it has had no answer for longer than answers
  // usually take, but not before this time, nor after `mCallTimeout`.
  std::chrono::milliseconds mMinRepeatDelay{ 60 };
  // The base of the delay before a claim. The last owner claims at once,
  // unless it has yielded; other nodes wait once to twice this long, so that an
  // owner whose lease was revoked can claim again without a takeover.
  std::chrono::milliseconds mClaimDelay{ 100 };
  // A node that started longer ago than this waits for one more `mClaimDelay`:
  // in a rolling restart, the nodes that have just restarted are the last to be
  // restarted again.
  std::chrono::milliseconds mRecentStartWindow{ 45'000 };
  // The delay of a claim per unit of the host's `CapacityShortfall`, since the
  // owner does most of the work.
  std::chrono::milliseconds mShortfallDelay{ 450 };
  // The delay of a claim per subject that the node owns already, which spreads
  // the subjects over the nodes.
  std::chrono::milliseconds mOwnedSubjectDelay{ 250 };
  // A node that has yielded the subject doesn't claim it again for this long.
  std::chrono::milliseconds mNoClaimAfterYield{ 2'000 };
  // The extra delay of a claim of a subject that never had an owner. It differs
  // between nodes, so that each node claims another subject first.
  std::chrono::milliseconds mFirstClaimDelay{ 0 };
  double mSufficientCores = 0.5;    // cores; more adds no advantage
  double mSufficientLinkMbps = 200; // more adds no advantage
  double mProcessorCores = 1.0;     // cores of this host
  double mLinkMbps = 1'000;         // network link of this host
  // The owner considers its lease expired this long before the store does.
  std::chrono::milliseconds mExpiryMargin{ 200 };
};

// An owner that certainly acts no more.
struct ended_owner
{
  platform::revision mElectedAt = 0; // the revision of its claim
  time_point mEndedBy{};
};

// The owner of a subject, as recorded in the store.
struct owner_record
{
  std::uint64_t mTerm = 0;
  std::string mNode;
  std::string mAddress;          // of the interface for other nodes
  double mCapacityShortfall = 0; // see `CapacityShortfall()`
  platform::revision mRevision = 0;
  boot_id mBoot{};             // of the process
  platform::lease_id mLease{}; // that the owner renews
  // The owner before, if it was on the same node, in this process or an earlier
  // one. Known to the owner itself only; the store does not hold it.
  std::optional<ended_owner> mPredecessor{};
};

// Guards writes of an owner: they fail once another node owns the subject.
struct term_fence
{
  std::string mTermKey;
  platform::revision mRevision = 0;

  // Returns a transaction that expects the term and writes nothing yet.
  platform::transaction Begin() const;
};

// Returns how far the host is below the sufficient capacity: the sum of the
// missing fractions of processor and network link, each 0 (none) to 1.
double
CapacityShortfall(const election_settings& aSettings);

struct election_handlers
{
  // Called when this node has become the owner.
  std::function<void(const owner_record&)> mOnElected;
  // Called when this node is no longer the owner.
  std::function<void()> mOnLost;
  // Returns how many subjects this node owns or is claiming.
  std::function<std::size_t()> mCountOwnedSubjects;
};

// Returns the subject for the hosts of the fleet.
std::string
FleetSubject();
// Returns the subject for the jobs of the service.
std::string
JobsSubject(const service_name& aService);
// Returns the service of a subject made by `JobsSubject()`, and nullopt for any
// other subject.
std::optional<service_name>
ServiceOfSubject(std::string_view aSubject);

// Returns the subject of an election's key, and an empty string for other keys.
std::string
SubjectOf(std::string_view aKey);

// This node's part in the election of the owner of one subject. The caller
// passes on what a mirror of `kPrefix` reports; claims begin with `OnSynced()`.
// Must be owned by a std::shared_ptr.
class election : public std::enable_shared_from_this<election>
{
public:
  // The prefix of the keys of all subjects.
  static constexpr const char* kPrefix = "mangospan/own/";
  // Returns the key that holds the term of the subject's owner.
  static std::string TermKey(const std::string& aSubject);

  election(boost::asio::io_context& aIo,
           const clock_source& aClock,
           platform::transactional_store& aStore,
           std::string aSubject,
           std::string aNode,
           std::string aAddress,
           election_settings aSettings,
           election_handlers aHandlers);

  // Takes a new or changed record of either key of the subject.
  void OnRecord(const platform::record& aRecord);
  // Takes the deletion of a key, which took place at or before `aRevision`. If
  // it is the lease, schedules a claim.
  void OnDeleted(const std::string& aKey, platform::revision aRevision);
  // Takes note that all records have been listed. Schedules a claim if no node
  // holds the lease.
  void OnSynced();

  // Ends the lease of the present owner and claims the subject. For an owner
  // that the other nodes can not reach; repeat the call while that is so. The
  // claim is delayed like one for a subject without an owner.
  void ReplaceOwner();

  // Renews the lease at once if the last renewal has failed. For use when the
  // store answers again.
  void OnStoreAnswersAgain();

  // Gives up the ownership for good: no further claims are made. Calls `aDone`
  // once the lease is revoked or its revocation has failed.
  void Retire(std::function<void()> aDone);
  // Gives up the ownership after a write has shown that the term is superseded.
  void StepDown();
  // Gives up the ownership in favor of another node, and makes no claim for
  // `election_settings::mNoClaimAfterYield`.
  void Yield();

  bool IsOwner() const { return mIsOwner; }
  // Returns whether this node is the owner, or has a claim in progress.
  bool IsOwnerOrClaiming() const { return mIsOwner || mIsClaiming; }
  // Returns when the mirror last reported a term that was new to this node. A
  // term that this node has just won need not count.
  time_point TermObservedAt() const { return mTermObservedAt; }
  // Returns whether this node is the owner and its lease is certainly valid
  // now.
  bool IsLeaseValid() const
  {
    return WasLeaseValid(std::chrono::milliseconds(0));
  }
  // Returns whether this node is the owner and its lease was certainly valid
  // `aAge` ago.
  bool WasLeaseValid(std::chrono::milliseconds aAge) const;
  // Returns when the latest renewal or claim that succeeded was sent: no other
  // node had been elected by then.
  time_point ConfirmedAt() const { return mRenewedAt; }
  // Returns the owner last seen in the store, or nullopt if no node holds the
  // lease.
  std::optional<owner_record> CurrentOwner() const;

private:
  void ScheduleClaim();
  std::chrono::milliseconds ClaimDelay();
  std::chrono::milliseconds PreferenceDelay(double aShortfall) const;
  // Returns whether the latest owner was an earlier process of this node.
  bool IsLatestOwnerEarlierProcess() const;
  // Returns the latest owner if it was on this node.
  std::optional<ended_owner> EndedPredecessor() const;
  void EndLeaseAfter(std::chrono::milliseconds aDelay);
  void EndLease(platform::revision aReplaced);
  void OnLeaseEnded(const owner_record& aReplaced,
                    const result<platform::lease_id>& aResult);
  void StartClaim();
  void Claim(platform::lease_id aLease);
  void OnClaimed(const owner_record& aClaim,
                 platform::lease_id aLease,
                 time_point aSentAt,
                 const result<platform::commit_outcome>& aResult);
  void ScheduleRenewal();
  // Renews the lease; if enough renewals wait for their answers, then as soon
  // as one of them has failed.
  void Renew();
  void SendRenewal();
  void OnRenewed(platform::lease_id aLease,
                 time_point aSentAt,
                 const result<platform::lease_id>& aResult);
  void LoseOwnership(const char* aReason);
  void ReleaseLease();

  timer mClaimTimer;
  timer mRenewTimer;
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
  owner_record mLatestOwner; // of the highest term seen
  std::string mLeaseHolder;  // empty if no node holds the lease
  boot_id mBoot = DrawBootId();
  std::optional<platform::lease_id> mLease;
  time_point mRenewedAt{};
  time_point mLostAt{}; // when this process ceased to be the owner
  const time_point mStartedAt;
  time_point mTermObservedAt{};
  time_point mNoClaimBefore{}; // set by `Yield()`
  bool mIsClaiming = false;
  std::size_t mOwnedSubjectsAtSchedule = 0;
  bool mIsOwner = false;
  bool mHasRenewalFailed = false; // the last one
  jobs::answer_time_estimator mRenewalTimes;
  time_point mRenewalSentAt{}; // the last one
  bool mIsRenewalDue = false;  // once one in flight has ended
  std::size_t mRenewalsInFlight = 0;
  std::size_t mRenewalsSinceAnswer = 0;
  bool mIsClaimPending = false;
  bool mIsRetired = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_ELECTION_H
