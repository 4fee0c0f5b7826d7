// Strict checks of a request's header block, beyond what the library refuses.
//
// Two readers of one connection must never disagree on where a request ends,
// so every ambiguous form is refused. Meant for http/internal only.
#ifndef MANGOSPAN_HTTP_INTERNAL_HEADER_CHECK_H
#define MANGOSPAN_HTTP_INTERNAL_HEADER_CHECK_H

#include <string_view>

#include "mangospan/http/message.h"

namespace mangospan::http::internal {

// Why the raw block (up to and with the empty line) is refused, or null. It
// refuses folded lines, bare CR or LF and NUL.
const char*
FindFlawInBytes(std::string_view aBlock);

// Why the parsed headers are refused, or null. `aVersion` is 10 for HTTP/1.0.
const char*
FindFlawInHeaders(const header_list& aHeaders, unsigned aVersion);

// Whether name and value can be written without changing the message's shape.
bool
IsSafeHeader(const header& aHeader);

// Whether the text is non-empty and has no space or control character.
bool
IsSafeToken(std::string_view aText);

// Whether the comma-separated list holds the token, without case.
bool
ListContains(std::string_view aList, std::string_view aToken);

} // namespace mangospan::http::internal

#endif // MANGOSPAN_HTTP_INTERNAL_HEADER_CHECK_H
