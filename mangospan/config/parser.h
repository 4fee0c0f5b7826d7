// Reads and writes the operators' configuration as JSON with comments.
//
// Use it wherever a configuration enters the system, so that nothing unchecked
// goes further:
//
//   auto parsed = config::Parse(text, "fleet.json");
//   if (parsed.has_error()) { std::cerr << Describe(parsed.assume_error()); }
#ifndef MANGOSPAN_CONFIG_PARSER_H
#define MANGOSPAN_CONFIG_PARSER_H

#include <cstddef>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"

namespace mangospan::config {

// The largest configuration the platform's store holds as one value, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 1000 * 1000;

// Parses and checks `aText`. Errors are kInvalidArgument (or kTooLarge) with
// `aSource` as the peer and a message that names the line or the JSON pointer.
result<document>
Parse(std::string_view aText, std::string_view aSource);

// The canonical text without comments: equal documents give equal texts.
std::string
ToText(const document& aDocument);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_PARSER_H
