// What the store keeps of maintenance waves: which hosts were maintained, for a
// later duty for hosts, and whether each wave is completed, for the operators.
#ifndef MANGOSPAN_NODE_WAVE_RECORDS_H
#define MANGOSPAN_NODE_WAVE_RECORDS_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "mangospan/node/election.h"
#include "mangospan/node/ports.h"
#include "mangospan/platform/store.h"

namespace mangospan::node {

class wave_records : public std::enable_shared_from_this<wave_records>
{
public:
  // The references must outlive it.
  wave_records(platform::transactional_store& aStore,
               const record_format& aFormat,
               term_fence aFence);

  // No handler is called any more.
  void Stop() { mIsStopped = true; }
  // Calls the handler with the hosts that an earlier duty has maintained, if
  // that is known.
  void Load(std::uint64_t aWave,
            std::function<void(const std::vector<host_name>&)> aHandler);
  void Keep(std::uint64_t aWave, const std::vector<host_name>& aMaintained);
  // Whether the operators should be told, since they were told otherwise or
  // nothing, and nothing else is being told.
  bool IsReportDue(std::uint64_t aWave, bool aIsCompleted) const;
  void Report(std::uint64_t aWave, bool aIsCompleted);

private:
  platform::transactional_store& mStore;
  const record_format& mFormat;
  const term_fence mFence;
  std::map<std::uint64_t, bool> mReported; // wave, completed
  bool mIsReporting = false;
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_WAVE_RECORDS_H
