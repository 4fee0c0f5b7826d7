// Concurrent callers on one thread, each with one request at a time.
//
//   caller_load callers;
//   const load_figures figures =
//     callers.Run({ "127.0.0.1:8080" }, "/permits/x", 32, seconds(2));
#ifndef MANGOSPAN_BENCH_ENTRY_CALLER_LOAD_H
#define MANGOSPAN_BENCH_ENTRY_CALLER_LOAD_H

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "bench/entry/io_thread.h"
#include "mangospan/http/client.h"

namespace mangospan::bench {

struct load_figures
{
  std::vector<std::chrono::nanoseconds> mLatencies; // of the served, sorted
  std::size_t mRefused = 0;                         // answers marked as not run
  std::size_t mOthers = 0;                          // errors and other answers
  std::chrono::nanoseconds mTook{ 0 };

  double ServedPerSecond() const;
  // `aShare` from 0 to 1; zero if nothing was served.
  std::chrono::nanoseconds Latency(double aShare) const;
};

class caller_load
{
public:
  caller_load();
  ~caller_load();
  caller_load(const caller_load&) = delete;
  caller_load& operator=(const caller_load&) = delete;

  // Each of `aCallers` asks its address (they take turns over `aAddresses`)
  // again as soon as it has its answer, for `aTime`. Returns once all have the
  // last one.
  load_figures Run(const std::vector<std::string>& aAddresses,
                   const std::string& aTarget,
                   std::size_t aCallers,
                   std::chrono::milliseconds aTime);

private:
  io_thread mThread;
  std::optional<http::client> mClient;
};

} // namespace mangospan::bench

#endif // MANGOSPAN_BENCH_ENTRY_CALLER_LOAD_H
