// JSON patches (RFC 6902) between canonical texts, so that processes pass on
// only what has changed.
//
//   BOOST_OUTCOME_TRY(patch, config::MakePatch(held, newest));
//   BOOST_OUTCOME_TRY(text, config::ApplyPatch(held, patch)); // == newest
#ifndef MANGOSPAN_CONFIG_PATCH_H
#define MANGOSPAN_CONFIG_PATCH_H

#include <cstdint>
#include <string>
#include <string_view>

#include "mangospan/base/error.h"
#include "mangospan/config/document.h"

namespace mangospan::config {

// The patch that turns `aFrom` into `aTo`, two texts of `ToText`. It can be
// longer than `aTo`: send the shorter one. Errors: kInvalidArgument for a text
// that is not JSON.
result<std::string>
MakePatch(std::string_view aFrom, std::string_view aTo);

// The canonical text after the patch. Errors: kInvalidArgument if either is
// not JSON or the patch does not fit the text; kTooLarge if the outcome is
// larger than a document may be.
result<std::string>
ApplyPatch(std::string_view aText, std::string_view aPatch);

// The whole text after an update as processes pass it on: `aText` is whole if
// `aBaseRevision` is 0, else a patch to the document of that revision. Errors:
// kConflict if that is not the one held; as ApplyPatch.
result<std::string>
ApplyUpdate(const revisioned_document& aHeld,
            std::uint64_t aBaseRevision,
            const std::string& aText);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_PATCH_H
