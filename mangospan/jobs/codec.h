// The JSON form of jobs: on the own interface, between nodes, and in the store.
#ifndef MANGOSPAN_JOBS_CODEC_H
#define MANGOSPAN_JOBS_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

std::string
EncodeSpec(const job_spec& aSpec);

// Errors: kInvalidArgument that names the key, or `FindFlaw`.
result<job_spec>
DecodeSpec(std::string_view aText);

// The stored record. A final job's record leaves out its steps.
std::string
EncodeRecord(const job& aJob);

// Errors: kInvalidArgument. Live runs are not part of the record.
result<job>
DecodeRecord(const job_name& aName, std::string_view aText);

// The runners that an owner uses, for its successor.
std::string
EncodeRoster(const std::vector<roster_entry>& aRunners);

// Errors: kInvalidArgument.
result<std::vector<roster_entry>>
DecodeRoster(std::string_view aText);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_CODEC_H
