// What became of one request that the load client sent.
#ifndef TESTING_SCENARIO_ATTEMPT_H
#define TESTING_SCENARIO_ATTEMPT_H

#include <string>

#include "mangospan/base/time.h"

namespace mangospan::scenario {

enum class fate
{
  kPending,      // still open
  kAnswered,     // the whole answer to this request
  kRefused,      // "Mangospan-Outcome: not-run"
  kUnknown,      // "Mangospan-Outcome: unknown"
  kNotConnected, // no byte was sent
  kNoAnswer,     // sent, then cut off or timed out
  kForeign,      // an answer that is not this request's
};

const char*
Name(fate aFate);

struct attempt
{
  std::string mId;      // unique: "REQUEST.NUMBER"
  std::string mRequest; // common to the attempts of one request
  std::string mService;
  std::string mTarget; // the process it was sent to
  bool mIdempotent = true;
  fate mFate = fate::kPending;
  int mStatus = 0;
  std::string mDetail; // why there was no answer
  time_point mSent;
  time_point mEnded;
};

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_ATTEMPT_H
