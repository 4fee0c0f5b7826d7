// Reads a whole file that people write.
//
//   BOOST_OUTCOME_TRY(text, json::ReadFile("entry.json", "settings.read"));
#ifndef MANGOSPAN_JSON_TEXT_FILE_H
#define MANGOSPAN_JSON_TEXT_FILE_H

#include <string>

#include "mangospan/base/error.h"

namespace mangospan::json {

// Errors: kNotFound with `aStep` as the step and the file as the peer.
result<std::string>
ReadFile(const std::string& aFile, const char* aStep);

} // namespace mangospan::json

#endif // MANGOSPAN_JSON_TEXT_FILE_H
