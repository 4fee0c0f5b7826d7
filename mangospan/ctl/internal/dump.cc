#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/internal/await.h"
#include "mangospan/ctl/internal/context.h"
#include "mangospan/http/client.h"
#include "mangospan/http/message.h"

namespace mangospan::ctl {

namespace {

result<http::response>
Fetch(const std::string& aAddress, context& aContext)
{
  environment& outside = aContext.mEnvironment;
  http::request request;
  request.mTarget = "/state";
  return Await<http::response>(
    outside.mIo, "dump", aAddress, [&](http::response_handler aHandler) {
      outside.mSend(
        aAddress, request, aContext.mInvocation.mTimeout, std::move(aHandler));
    });
}

} // namespace

exit_code
Execute(const dump_command& aCommand, context& aContext)
{
  printer& output = aContext.mPrinter;
  const auto answer = Fetch(aCommand.mAddress, aContext);
  if (answer.has_error()) {
    return output.Fail(answer.assume_error());
  }
  const http::response& dump = answer.assume_value();
  const auto state = nlohmann::json::parse(dump.mBody, nullptr, false);
  constexpr int kOkStatus = 200;
  if (dump.mStatus != kOkStatus || state.is_discarded()) {
    return output.Fail({ error_code::kInvalidArgument,
                         "dump",
                         aCommand.mAddress,
                         "no state: is this a daemon's operator address? "
                         "(status " +
                           std::to_string(dump.mStatus) + ")" });
  }
  constexpr int kIndent = 2;
  output.Line(state.dump(kIndent));
  output.Json(state);
  return exit_code::kOk;
}

} // namespace mangospan::ctl
