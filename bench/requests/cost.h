// What the pipeline costs in processor time and memory.
#ifndef BENCH_REQUESTS_COST_H
#define BENCH_REQUESTS_COST_H

#include <cstddef>

namespace mangospan::bench {

struct request_cost
{
  double mServedMicroseconds = 0;  // arrival, dispatch, end of the attempt
  double mRefusedMicroseconds = 0; // arrival refused under overload
};

// Processor time of this process; takes about a second.
request_cost
MeasureCost();

// Bytes of heap per 1,000 requests that wait in a queue.
std::size_t
MeasureBytesPerThousandOpen();

} // namespace mangospan::bench

#endif // BENCH_REQUESTS_COST_H
