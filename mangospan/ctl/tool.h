// The operators' command line as a library: `main` only connects it.
//
//   ctl::environment environment{ io, connect, send, clock, sleep, drawId,
//                                 std::cout, std::cerr, "10.0.9.1:2379", "ann"
//                                 };
//   return static_cast<int>(ctl::Run(argc, argv, environment));
#ifndef MANGOSPAN_CTL_TOOL_H
#define MANGOSPAN_CTL_TOOL_H

#include <chrono>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>

#include "mangospan/base/time.h"
#include "mangospan/ctl/exit_code.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"
#include "mangospan/platform/store.h"

namespace boost::asio {
class io_context;
}

namespace mangospan::ctl {

// Everything outside the tool that a command uses.
struct environment
{
  boost::asio::io_context& mIo;

  // The platform's store at "ip:port".
  std::function<std::unique_ptr<platform::store>(const std::string&)> mConnect;

  // As http::client::Send.
  std::function<void(const std::string& aAddress,
                     http::request aRequest,
                     std::chrono::milliseconds aTimeout,
                     http::response_handler aHandler)>
    mSend;

  const clock_source& mClock;
  std::function<void(std::chrono::milliseconds)> mSleep;
  std::function<std::string()> mDrawId; // unique for each change

  std::ostream& mOut;
  std::ostream& mErr;

  std::string mPlatformAddress; // unless --platform is given; may be empty
  std::string mAuthor;          // unless --author is given
};

// Runs one command line. Results go to `mOut`, refusals to `mErr` as one line.
exit_code
Run(int aCount, const char* const* aArguments, environment& aEnvironment);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_TOOL_H
