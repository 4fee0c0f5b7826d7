// Validates the header block of a request more strictly than Boost.Beast.
//
// If two parsers on the path of a request disagree on where it ends, a caller
// can smuggle a second request past one of them. Every ambiguous form is
// therefore rejected. Used by mangospan/http only.
#ifndef MANGOSPAN_HTTP_INTERNAL_HEADER_CHECK_H
#define MANGOSPAN_HTTP_INTERNAL_HEADER_CHECK_H

#include <string_view>

#include "mangospan/http/message.h"

namespace mangospan::http::internal {

// Returns why the raw header block, including its final empty line, is invalid,
// or nullptr if it is valid. Rejects folded lines, bare CR, bare LF and NUL.
const char*
ValidateHeaderBytes(std::string_view aBlock);

// Returns why the parsed headers are invalid, or nullptr if they are valid.
// `aVersion` is 10 for HTTP/1.0 and 11 for HTTP/1.1.
const char*
ValidateHeaders(const header_list& aHeaders, unsigned aVersion);

// Returns true if the header's name and value contain no character that would
// change the structure of the message, such as a line break.
bool
IsSafeHeader(const header& aHeader);

// Returns true if the text is non-empty and has no space or control character.
bool
IsSafeToken(std::string_view aText);

// Returns true if the comma-separated list contains the token, ignoring case.
bool
ListContains(std::string_view aList, std::string_view aToken);

} // namespace mangospan::http::internal

#endif // MANGOSPAN_HTTP_INTERNAL_HEADER_CHECK_H
