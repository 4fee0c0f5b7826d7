// The record `config/current` as operators write and read it.
#ifndef MANGOSPAN_CTL_INTERNAL_CONFIG_RECORD_H
#define MANGOSPAN_CTL_INTERNAL_CONFIG_RECORD_H

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/config/diff.h"
#include "mangospan/config/document.h"
#include "mangospan/ctl/internal/printer.h"
#include "mangospan/ctl/internal/session.h"
#include "mangospan/platform/store.h"

namespace mangospan::ctl {

// A configuration that the platform's store holds; revision 0: none yet.
struct held_config
{
  platform::revision mRevision = 0;
  std::string mChangeId;
  std::string mAuthor;
  config::document mDocument;
};

// Reads and checks a configuration file.
result<config::document>
LoadFile(const std::string& aFile);

// Errors of the store, and kInvalidArgument for a record that this version can
// not read.
result<held_config>
ReadCurrent(session& aSession);

result<held_config>
ParseHeld(const std::optional<platform::record>& aRecord);

// The record's value. Errors: kInvalidArgument for an author that does not fit
// on a line, kTooLarge for a value that the store would refuse.
result<std::string>
MakeRecord(const std::string& aChangeId,
           const std::string& aAuthor,
           const config::document& aDocument);

// One line for each change.
void
PrintChanges(const std::vector<config::change>& aChanges, printer& aPrinter);

nlohmann::json
ToJson(const std::vector<config::change>& aChanges);

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_CONFIG_RECORD_H
