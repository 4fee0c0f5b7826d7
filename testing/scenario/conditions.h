// What `wait-until` can wait for.
//
//   BOOST_OUTCOME_TRY(holds, CheckCondition(world, { "in-force" }));
#ifndef TESTING_SCENARIO_CONDITIONS_H
#define TESTING_SCENARIO_CONDITIONS_H

#include <string>
#include <vector>

#include "mangospan/base/error.h"

namespace mangospan::scenario {

class world;

// Whether it holds now:
//   ready               every running daemon says that it is healthy
//   in-force            every running daemon holds the stored configuration
//   in-pool HOST POOL   the store says that the host serves in that pool
//   phase HOST PHASE    the store says that the host is in that phase
//   no-move             every host of the store serves
//   wave-done POOL      each of the pool's hosts went through a maintenance
//                       wave and serves
//   acting ZONE         some running fleet process acts for the zone
//   one-acting ZONE     exactly one does
//   acting ZONE HOST    the one of that host does
// Errors: kInvalidArgument for another condition or a wrong number of words.
result<bool>
CheckCondition(world& aWorld, const std::vector<std::string>& aWords);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_CONDITIONS_H
