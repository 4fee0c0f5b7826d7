#include "mangospan/json/text_file.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

#include "mangospan/base/error.h"

namespace mangospan::json {

result<std::string>
ReadFile(const std::string& aFile, const char* aStep)
{
  // A directory can be opened like a file; only reading it fails.
  std::error_code ignored;
  if (std::filesystem::is_directory(aFile, ignored)) {
    return error{ error_code::kNotFound, aStep, aFile, "is a directory" };
  }
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return error{ error_code::kNotFound, aStep, aFile, "can not be opened" };
  }
  std::ostringstream text;
  if (stream.peek() != std::ifstream::traits_type::eof()) {
    text << stream.rdbuf();
  }
  if (stream.bad() || text.fail()) {
    return error{ error_code::kNotFound, aStep, aFile, "can not be read" };
  }
  return text.str();
}

} // namespace mangospan::json
