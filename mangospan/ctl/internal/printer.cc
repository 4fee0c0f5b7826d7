#include "mangospan/ctl/internal/printer.h"

#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/exit_code.h"

namespace mangospan::ctl {

namespace {

exit_code
ExitCode(error_code aCode)
{
  switch (aCode) {
    case error_code::kConflict:
      return exit_code::kConflict;
    case error_code::kUnavailable:
    case error_code::kUnknownResult:
    case error_code::kTimeout:
      return exit_code::kUnreachable;
    default:
      return exit_code::kRefused;
  }
}

} // namespace

printer::printer(std::ostream& aOut, std::ostream& aErr, output_format aFormat)
  : mOut(aOut)
  , mErr(aErr)
  , mFormat(aFormat)
{
}

void
printer::Line(const std::string& aText)
{
  if (mFormat == output_format::kText) {
    mOut << aText << std::endl; // progress is read while the command runs
  }
}

void
printer::Json(const nlohmann::json& aDocument)
{
  if (mFormat == output_format::kJson) {
    constexpr int kIndent = 2;
    mOut << aDocument.dump(
              kIndent, ' ', false, nlohmann::json::error_handler_t::replace)
         << "\n";
  }
}

void
printer::Refusal(const std::string& aMessage)
{
  mErr << "mangospanctl: " << aMessage << "\n";
}

exit_code
printer::Fail(const error& aError)
{
  Refusal(Describe(aError));
  return ExitCode(aError.mCode);
}

} // namespace mangospan::ctl
