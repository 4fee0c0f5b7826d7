#include "mangospan/config/diff.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/config/document.h"
#include "mangospan/config/internal/document_fields.h"

namespace mangospan::config {

namespace {

using nlohmann::json;

std::string
ValueText(const json& aObject, const std::string& aKey)
{
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? "" : found->dump();
}

// One change for each key whose value differs.
void
DiffKeys(const std::string& aSection,
         const std::string& aName,
         const json& aOld,
         const json& aNew,
         std::vector<change>& aInto)
{
  std::set<std::string> keys;
  for (const json* object : { &aOld, &aNew }) {
    for (const auto& item : object->items()) {
      keys.insert(item.key());
    }
  }
  for (const std::string& key : keys) {
    std::string before = ValueText(aOld, key);
    std::string after = ValueText(aNew, key);
    if (before != after) {
      aInto.push_back({ change_kind::kChanged,
                        aSection,
                        aName,
                        key,
                        std::move(before),
                        std::move(after) });
    }
  }
}

using items_by_name = std::map<std::string, const json*>;

std::string
NameOf(const json& aItem)
{
  return aItem.at("name").get<std::string>();
}

items_by_name
ByName(const json& aItems)
{
  items_by_name byName;
  for (const json& item : aItems) {
    byName.emplace(NameOf(item), &item);
  }
  return byName;
}

// The names of `aItems` that `aOther` has too, in order, as a JSON text.
std::string
CommonOrder(const json& aItems, const items_by_name& aOther)
{
  json order = json::array();
  for (const json& item : aItems) {
    const std::string name = NameOf(item);
    if (aOther.count(name) > 0) {
      order.push_back(name);
    }
  }
  return order.dump();
}

void
DiffItems(const std::string& aSection,
          const json& aOld,
          const json& aNew,
          std::vector<change>& aInto)
{
  const items_by_name before = ByName(aOld);
  const items_by_name after = ByName(aNew);
  for (const auto& [name, item] : before) {
    if (after.count(name) == 0) {
      aInto.push_back(
        { change_kind::kRemoved, aSection, name, "", item->dump(), "" });
    }
  }
  for (const auto& [name, item] : after) {
    const auto old = before.find(name);
    if (old == before.end()) {
      aInto.push_back(
        { change_kind::kAdded, aSection, name, "", "", item->dump() });
    } else {
      DiffKeys(aSection, name, *old->second, *item, aInto);
    }
  }
  std::string oldOrder = CommonOrder(aOld, after);
  std::string newOrder = CommonOrder(aNew, before);
  if (oldOrder != newOrder) {
    aInto.push_back({ change_kind::kReordered,
                      aSection,
                      "",
                      "",
                      std::move(oldOrder),
                      std::move(newOrder) });
  }
}

} // namespace

const char*
Name(change_kind aKind)
{
  switch (aKind) {
    case change_kind::kAdded:
      return "added";
    case change_kind::kRemoved:
      return "removed";
    case change_kind::kChanged:
      return "changed";
    case change_kind::kReordered:
      return "reordered";
  }
  return "changed";
}

std::vector<change>
Diff(const document& aOld, const document& aNew)
{
  const json before = WriteValue(aOld);
  const json after = WriteValue(aNew);
  std::vector<change> changes;
  for (const char* section : { "pools", "classes", "teams" }) {
    DiffItems(section,
              before.value(section, json::array()),
              after.value(section, json::array()),
              changes);
  }
  DiffKeys("maintenance",
           "",
           before.value("maintenance", json::object()),
           after.value("maintenance", json::object()),
           changes);
  DiffKeys("prefer",
           "",
           { { "prefer", before.at("prefer") } },
           { { "prefer", after.at("prefer") } },
           changes);
  return changes;
}

std::string
ToLine(const change& aChange)
{
  std::string place = aChange.mSection;
  for (const std::string* part : { &aChange.mName, &aChange.mKey }) {
    if (!part->empty() && *part != aChange.mSection) {
      place.append(" ").append(*part);
    }
  }
  const auto shown = [](const std::string& aValue) {
    return aValue.empty() ? std::string("(default)") : aValue;
  };
  switch (aChange.mKind) {
    case change_kind::kAdded:
      return "+ " + place + ": " + aChange.mNew;
    case change_kind::kRemoved:
      return "- " + place + ": " + aChange.mOld;
    case change_kind::kReordered:
      return "~ " + place + " order: " + aChange.mOld + " -> " + aChange.mNew;
    case change_kind::kChanged:
      break;
  }
  return "~ " + place + ": " + shown(aChange.mOld) + " -> " +
         shown(aChange.mNew);
}

} // namespace mangospan::config
