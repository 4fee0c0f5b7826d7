// Reads scenario scripts: one step a line, '#' begins a comment.
//
//   BOOST_OUTCOME_TRY(steps, ParseScript(text, "takeover.scn"));
#ifndef TESTING_SCENARIO_PARSER_H
#define TESTING_SCENARIO_PARSER_H

#include <string>
#include <string_view>
#include <vector>

#include "mangospan/base/error.h"
#include "testing/scenario/step.h"

namespace mangospan::scenario {

// Errors: kInvalidArgument with "file:line" as peer.
result<std::vector<step>>
ParseScript(std::string_view aText, std::string_view aFile);

// What every step does, for --help.
std::string
DescribeSteps();

// A comparison such as "lost==0" or "in-force-ms<=8000".
struct expectation
{
  std::string mName;
  std::string mOperator;
  double mBound = 0;

  bool Holds(double aValue) const;
};

result<expectation>
ParseExpectation(const std::string& aText);

} // namespace mangospan::scenario

#endif // TESTING_SCENARIO_PARSER_H
