// What a node needs from the platform besides the store. Implementations only
// translate; every decision is on this side.
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

// A runner and the term in which it is given orders.
struct runner_target
{
  jobs::runner_name mRunner;
  std::string mAddress; // "ip:port"
  std::uint64_t mTerm = 0;
};

struct look_answer
{
  jobs::order_outcome mOutcome = jobs::order_outcome::kUnknown;
  std::optional<jobs::look_report> mReport; // with kDone
};

using outcome_handler = std::function<void(jobs::order_outcome)>;
using look_handler = std::function<void(look_answer)>;

// Calls to runners. Handlers are called once, never from inside the call.
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
  virtual void Pace(const runner_target& aTarget,
                    const jobs::pace_order& aOrder,
                    outcome_handler aHandler) = 0;
  virtual void Look(const runner_target& aTarget,
                    const jobs::look_order& aOrder,
                    look_handler aHandler) = 0;
};

enum class host_state
{
  kUp,
  kMoving, // between two pools
  kUpkeep, // down for maintenance
  kDown,
};

struct host_entry
{
  host_name mHost;
  service_name mPool;
  host_state mState = host_state::kUp;
  jobs::runner_name mRunner; // empty while it has none
  zone_name mZone;
  rack_name mRack;
  jobs::resources mCapacity;
};

// Who orders and in which term, so that the platform can fence an old holder.
struct order_fence
{
  std::string mHolder;
  std::uint64_t mTerm = 0;
};

enum class host_order_outcome
{
  kDone,
  kFenced,  // a holder with a higher term has ordered
  kBusy,    // not up, or leaving
  kRefused, // it makes no sense: another wave, no such host or pool
  kNotDone, // certainly not carried out; try later
  kUnknown,
};

using host_order_handler = std::function<void(host_order_outcome)>;

class host_port
{
public:
  virtual ~host_port() = default;
  virtual void List(std::function<void(result<std::vector<host_entry>>)>) = 0;
  virtual void Move(const order_fence& aFence,
                    const host_name& aHost,
                    const service_name& aPool,
                    host_order_handler aHandler) = 0;
  virtual void Maintain(const order_fence& aFence,
                        const host_name& aHost,
                        std::uint64_t aWave,
                        host_order_handler aHandler) = 0;
};

// A maintenance wave that the operators ask for.
struct wave_request
{
  std::uint64_t mNumber = 0;
  std::vector<host_name> mHosts;
  std::chrono::milliseconds mCompleteBy{ 0 }; // from the request
  std::size_t mMaxDown = 1;                   // at the same time
};

// The keys and the form of the records that others keep in the store.
class record_format
{
public:
  virtual ~record_format() = default;
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string RunnerPrefix() const = 0;
  // Whether the key holds the configuration.
  virtual bool IsCatalog(std::string_view aKey) const = 0;
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
