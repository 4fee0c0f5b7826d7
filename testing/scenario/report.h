// Gathers the stand-ins' records and judges the run so far.
//
//   BOOST_OUTCOME_TRY(found, MakeReport(world));
//   PrintReport(found, std::cout);
#ifndef TESTING_SCENARIO_REPORT_H
#define TESTING_SCENARIO_REPORT_H

#include <iosfwd>

#include "mangospan/base/error.h"
#include "testing/scenario/verdict.h"

namespace mangospan::scenario {

class world;

// The verdict on the load and, besides: over-slots, over-connections,
// wrong-service, killed (from the endpoints), moves, two-pools, store-calls
// (from the platform), late-work (on leaving hosts), in-force-ms.
result<verdict>
MakeReport(world& aWorld);

void
PrintReport(const verdict& aVerdict, std::ostream& aOut);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_REPORT_H
