// The two request paths that the benchmark compares, behind one interface.
#ifndef BENCH_REQUESTS_REQUEST_PATH_H
#define BENCH_REQUESTS_REQUEST_PATH_H

#include <cstdint>
#include <memory>
#include <optional>

#include "mangospan/base/time.h"
#include "mangospan/config/document.h"
#include "mangospan/request/pipeline.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::bench {

// One entry's decisions.
class request_path
{
public:
  virtual ~request_path() = default;
  virtual request::actions OnArrival(const request::arrival& aArrival,
                                     time_point aNow) = 0;
  virtual request::actions OnAttemptEnded(request::request_id aRequest,
                                          std::uint32_t aAttempt,
                                          const request::attempt_end& aEnd,
                                          time_point aNow) = 0;
  virtual request::actions OnTick(time_point aNow) = 0;
  virtual std::optional<time_point> NextWake() const = 0;
};

// The pipeline of mangospan/request.
std::unique_ptr<request_path>
MakePipelinePath(const config::document& aDocument,
                 const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 std::uint64_t aSeed,
                 time_point aNow);

// First come first served, least in flight, no admission and no retries.
std::unique_ptr<request_path>
MakeFirstComePath(const view::zone_view& aView, const view::entry_id& aOwn);

} // namespace mangospan::bench

#endif // BENCH_REQUESTS_REQUEST_PATH_H
