// Typed errors that say at which step and against which peer they arose.
//
// Use `result<T>` as the return type of every operation that can fail:
//
//   result<int> ParsePort(std::string_view aText);
//   ...
//   BOOST_OUTCOME_TRY(port, ParsePort(text));
#ifndef MANGOSPAN_BASE_ERROR_H
#define MANGOSPAN_BASE_ERROR_H

#include <string>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace mangospan {

// What went wrong, as far as a caller can act on it.
enum class error_code
{
  kInvalidArgument, // the input is wrong; repeating it will not help
  kNotFound,
  kConflict,      // a compare-and-swap or a lease was lost to another writer
  kTooLarge,      // over a size limit; nothing was written
  kUnavailable,   // the peer was not reached; certainly nothing happened
  kUnknownResult, // the request was sent; it may or may not have taken effect
  kIncomplete,    // a read's response began and did not arrive whole in time
  kTimeout,       // our own deadline passed before anything was sent
  kCancelled,
  kInternal,
};

// The code's name as it appears in logs and in JSON, for example "conflict".
const char*
Name(error_code aCode);

// One failure. `mStep` names the operation ("store.cas"), `mPeer` the other
// side (an address, a file, a key) and may be empty.
struct error
{
  error_code mCode = error_code::kInternal;
  std::string mStep;
  std::string mPeer;
  std::string mMessage;
};

// One line for people: "store.cas to 127.0.0.1:80: conflict: revision is 7".
std::string
Describe(const error& aError);

// A value or an error. Check it before `assume_value()`.
template<typename T>
using result = boost::outcome_v2::
  basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

// Success without a value.
using status = result<void>;

} // namespace mangospan

#endif // MANGOSPAN_BASE_ERROR_H
