// The JSON form of jobs in Mangospan's own HTTP interface, between nodes and in
// the store.
#ifndef MANGOSPAN_JOBS_CODEC_H
#define MANGOSPAN_JOBS_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/jobs/job.h"
#include "mangospan/jobs/orders.h"

namespace mangospan::jobs {

// Returns the JSON text of the specification.
std::string
EncodeSpec(const job_spec& aSpec);

// Parses and validates a specification. Errors: kInvalidArgument, with a
// message that names the key or, for an invalid specification, is that of
// `ValidateSpec`.
result<job_spec>
DecodeSpec(std::string_view aText);

// Returns the JSON text under which a job is stored. The record of a final job
// holds only its state, its queue and when it ended.
std::string
EncodeRecord(const job& aJob);

// Parses a stored record. A record holds no live runs, so no task of the result
// is live. Errors: kInvalidArgument.
result<job>
DecodeRecord(const job_name& aName, std::string_view aText);

// Returns the JSON text of the roster, from which the next owner learns where
// runs may still be live, and how long they take.
std::string
EncodeRoster(const std::vector<roster_entry>& aRunners,
             const std::vector<run_time_summary>& aRunTimes = {});

// Parses a roster. Errors: kInvalidArgument.
result<std::vector<roster_entry>>
DecodeRoster(std::string_view aText);

// Parses the learned run times in a roster; the result is empty if it has none.
// Errors: kInvalidArgument. An error does not mean that the rest of the roster
// is malformed.
result<std::vector<run_time_summary>>
DecodeRunTimes(std::string_view aRoster);

} // namespace mangospan::jobs

#endif // MANGOSPAN_JOBS_CODEC_H
