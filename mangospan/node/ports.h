// The interfaces through which a node uses the platform, apart from the store.
// Implementations only translate between formats; the node makes every
// decision.
#ifndef MANGOSPAN_NODE_PORTS_H
#define MANGOSPAN_NODE_PORTS_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/jobs/orders.h"
#include "mangospan/jobs/spec.h"

namespace mangospan::node {

// A runner, and the owner's term under which orders are sent to it.
struct runner_target
{
  jobs::runner_name mRunner;
  std::string mAddress; // "ip:port"
  std::uint64_t mTerm = 0;
};

// The result of a poll of a runner.
struct poll_answer
{
  jobs::order_outcome mOutcome = jobs::order_outcome::kUnknown;
  std::optional<jobs::poll_report> mReport; // set if kDone
};

using outcome_handler = std::function<void(jobs::order_outcome)>;
using poll_handler = std::function<void(poll_answer)>;

// Sends orders to runners. Every handler is called exactly once, and never
// before the call that it was passed to has returned.
class runner_port
{
public:
  virtual ~runner_port() = default;
  virtual void Start(const runner_target& aTarget,
                     const jobs::start_order& aOrder,
                     outcome_handler aHandler) = 0;
  virtual void Stop(const runner_target& aTarget,
                    const jobs::stop_order& aOrder,
                    outcome_handler aHandler) = 0;
  virtual void Throttle(const runner_target& aTarget,
                        const jobs::throttle_order& aOrder,
                        outcome_handler aHandler) = 0;
  virtual void Poll(const runner_target& aTarget,
                    const jobs::poll_order& aOrder,
                    poll_handler aHandler) = 0;
};

enum class host_state
{
  kUp,
  kMoving,      // between two pools
  kMaintenance, // down for maintenance
  kDown,
};

// A host as the platform lists it.
struct host_entry
{
  host_name mHost;
  service_name mPool;
  host_state mState = host_state::kUp;
  jobs::runner_name mRunner; // empty while the host has no runner
  zone_name mZone;
  rack_name mRack;
  jobs::resources mCapacity;
};

// Identifies the node that sends an order and its term of fleet ownership, so
// that the platform can reject orders of a former owner.
struct order_fence
{
  std::string mHolder;
  std::uint64_t mTerm = 0;
};

// The result of an order to a host.
enum class host_order_outcome
{
  kDone,
  kFenced,      // an owner with a higher term has sent an order
  kBusy,        // the host is not up, or it is leaving
  kRefused,     // invalid: a different wave, or no such host or pool
  kNotExecuted, // certainly not executed; may be retried later
  kUnknown,     // no reply: the order may have been executed
};

using host_order_handler = std::function<void(host_order_outcome)>;

// Lists the hosts of the fleet and sends orders to them.
class host_port
{
public:
  virtual ~host_port() = default;
  // Passes all hosts of the fleet to the handler, or an error.
  virtual void List(std::function<void(result<std::vector<host_entry>>)>) = 0;
  // Moves the host to the pool `aPool`.
  virtual void Move(const order_fence& aFence,
                    const host_name& aHost,
                    const service_name& aPool,
                    host_order_handler aHandler) = 0;
  // Takes the host down for the maintenance of the wave `aWave`.
  virtual void Maintain(const order_fence& aFence,
                        const host_name& aHost,
                        std::uint64_t aWave,
                        host_order_handler aHandler) = 0;
};

// A maintenance wave that the operators have requested.
struct wave_request
{
  std::uint64_t mNumber = 0;
  std::vector<host_name> mHosts;
  // The time to complete the wave. The controller counts it from when it learns
  // of the wave, and again after a change of the fleet's owner.
  std::chrono::milliseconds mCompleteWithin{ 0 };
  std::size_t mMaxDown = 1; // hosts down at the same time
};

// The keys and the encoding of store records that are written or read by
// others: the operators' catalog and waves, the runners, the status of waves.
class record_format
{
public:
  virtual ~record_format() = default;
  // Returns the prefix of the keys that the operators write.
  virtual std::string OperatorPrefix() const = 0;
  // Returns the prefix of the keys under which service discovery lists runners.
  virtual std::string RunnerPrefix() const = 0;
  // Returns whether the key holds the catalog.
  virtual bool IsCatalog(std::string_view aKey) const = 0;
  // Returns whether the key holds a maintenance wave.
  virtual bool IsWave(std::string_view aKey) const = 0;
  virtual result<jobs::catalog> DecodeCatalog(std::string_view aText) const = 0;
  virtual result<wave_request> DecodeWave(std::string_view aText) const = 0;
  virtual result<jobs::runner_info> DecodeRunner(
    std::string_view aKey,
    std::string_view aText) const = 0;
  virtual std::string WaveStatusKey(std::uint64_t aWave) const = 0;
  virtual std::string EncodeWaveStatus(std::uint64_t aWave,
                                       bool aIsCompleted) const = 0;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_PORTS_H
