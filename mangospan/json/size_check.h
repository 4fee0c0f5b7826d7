// Counts the elements and the nesting of a JSON text before it is decoded: a
// text of very short elements takes many times its size in memory.
#ifndef MANGOSPAN_JSON_SIZE_CHECK_H
#define MANGOSPAN_JSON_SIZE_CHECK_H

#include <cstddef>
#include <string_view>

namespace mangospan::json {

struct size_limits
{
  std::size_t mMaxElements = 30'000; // values of any kind, at any depth
  std::size_t mMaxDepth = 32;        // arrays and objects within each other
};

// Returns false if the text certainly exceeds a limit before its end or its
// first syntax error.
bool
IsWithin(std::string_view aText, const size_limits& aLimits);

} // namespace mangospan::json

#endif // MANGOSPAN_JSON_SIZE_CHECK_H
