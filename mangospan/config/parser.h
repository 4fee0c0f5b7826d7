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

// The largest canonical text, in bytes: the platform's store holds a megabyte
// as one value, and the record around the text needs some of it.
inline constexpr std::size_t kMaxDocumentBytes = 999'000;

// Parses and checks `aText`. Errors are kInvalidArgument (or kTooLarge) with
// `aSource` as the peer and a message that names the line or the JSON pointer.
// A document that is returned has passed `Check` (config/check.h).
result<document>
Parse(std::string_view aText, std::string_view aSource);

// The canonical text without comments: equal documents give equal texts.
std::string
ToText(const document& aDocument);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_PARSER_H
