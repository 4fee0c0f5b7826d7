// What differs between two configurations, change by change.
//
//   for (const config::change& each : config::Diff(current, wanted)) {
//     std::cout << config::ToLine(each) << "\n";
//   }
#ifndef MANGOSPAN_CONFIG_DIFF_H
#define MANGOSPAN_CONFIG_DIFF_H

#include <string>
#include <vector>

#include "mangospan/config/document.h"

namespace mangospan::config {

enum class change_kind
{
  kAdded,
  kRemoved,
  kChanged,
  kReordered, // the order of classes decides between equal matches
};

// The kind's name in JSON output: "added".
const char*
Name(change_kind aKind);

// One change. `mSection` is the document's key ("pools"), `mName` the name of
// the pool, class or team, and `mKey` the key within it; both are empty where
// they do not apply. Old and new value are JSON texts, empty if there is none.
struct change
{
  change_kind mKind = change_kind::kChanged;
  std::string mSection;
  std::string mName;
  std::string mKey;
  std::string mOld;
  std::string mNew;
};

// The changes that lead from `aOld` to `aNew`, in the order of the sections;
// none if and only if the documents are equal.
std::vector<change>
Diff(const document& aOld, const document& aNew);

// One line for people: "~ pools survey max_unavailable: 1 -> \"25%\"".
std::string
ToLine(const change& aChange);

} // namespace mangospan::config

#endif // MANGOSPAN_CONFIG_DIFF_H
