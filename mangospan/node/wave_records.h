// Stores the progress of maintenance waves: the hosts already maintained, for a
// later fleet owner, and whether each wave is completed, for the operators.
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

// Reads and writes the records of maintenance waves. Writes fail once another
// node owns the fleet. Must be owned by a std::shared_ptr.
class wave_records : public std::enable_shared_from_this<wave_records>
{
public:
  // The references must outlive this object.
  wave_records(platform::transactional_store& aStore,
               const record_format& aFormat,
               term_fence aFence);

  // After this call, no handler is called.
  void Stop() { mIsStopped = true; }
  // Calls the handler with the hosts that earlier fleet owners have maintained
  // in the wave. Does not call it if there is no record or the read fails.
  void LoadMaintainedHosts(
    std::uint64_t aWave,
    std::function<void(const std::vector<host_name>&)> aHandler);
  // Writes the hosts that have been maintained in the wave so far.
  void StoreMaintainedHosts(std::uint64_t aWave,
                            const std::vector<host_name>& aMaintainedHosts);
  // Returns whether the status of the wave has to be reported: the last report
  // differs or there is none, and no other report is in progress.
  bool IsStatusReportDue(std::uint64_t aWave, bool aIsCompleted) const;
  // Writes the status of the wave for the operators.
  void ReportStatus(std::uint64_t aWave, bool aIsCompleted);

private:
  platform::transactional_store& mStore;
  const record_format& mFormat;
  const term_fence mFence;
  std::map<std::uint64_t, bool> mReportedStatus; // wave number -> completed
  bool mIsReportInFlight = false;
  bool mIsStopped = false;
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_WAVE_RECORDS_H
