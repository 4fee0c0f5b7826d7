// Prints results as text or as one JSON document, and refusals as one line.
#ifndef MANGOSPAN_CTL_INTERNAL_PRINTER_H
#define MANGOSPAN_CTL_INTERNAL_PRINTER_H

#include <iosfwd>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/ctl/exit_code.h"
#include "mangospan/ctl/internal/invocation.h"

namespace mangospan::ctl {

class printer
{
public:
  printer(std::ostream& aOut, std::ostream& aErr, output_format aFormat);

  // A line of the text form; nothing in the JSON form.
  void Line(const std::string& aText);

  // The document of the JSON form; nothing in the text form.
  void Json(const nlohmann::json& aDocument);

  // One line on standard error, in both forms.
  void Refusal(const std::string& aMessage);

  // Prints the failure and returns the exit code that belongs to it.
  exit_code Fail(const error& aError);

private:
  std::ostream& mOut;
  std::ostream& mErr;
  output_format mFormat;
};

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_PRINTER_H
