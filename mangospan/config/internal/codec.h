// Reads and writes a section of the configuration by one table of its keys.
//
//   const codec_table<team>& TeamFields();
//   BOOST_OUTCOME_TRY(ReadByTable(value, where, TeamFields(), team));
//   nlohmann::json written = WriteByTable(TeamFields(), team);
#ifndef MANGOSPAN_CONFIG_INTERNAL_CODEC_H
#define MANGOSPAN_CONFIG_INTERNAL_CODEC_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/config/internal/units.h"
#include "mangospan/json/checked_json.h"

namespace mangospan::config::internal {

inline nlohmann::json
WriteValue(const std::string& aText)
{
  return aText;
}

inline nlohmann::json
WriteValue(bool aValue)
{
  return aValue;
}

inline nlohmann::json
WriteValue(std::size_t aValue)
{
  return aValue;
}

inline nlohmann::json
WriteValue(double aValue)
{
  return aValue;
}

template<typename Tag>
nlohmann::json
WriteValue(const name<Tag>& aName)
{
  return aName.Str();
}

template<typename Item>
nlohmann::json
WriteValue(const std::vector<Item>& aItems)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Item& each : aItems) {
    list.push_back(WriteValue(each));
  }
  return list;
}

// How one key is read, and how it is written.
template<typename Object>
struct codec
{
  json::field<Object> mField;
  std::function<void(const Object&, nlohmann::json&)> mWrite;
};

template<typename Object>
using codec_table = std::vector<codec<Object>>;

enum class presence
{
  kRequired, // always written
  kOptional, // written unless it is the default
};

template<typename Object, typename Member>
codec<Object>
Key(std::string_view aKey, Member Object::*aMember, presence aPresence)
{
  json::field<Object> field{ aKey,
                             [aMember](const nlohmann::json& aValue,
                                       const json::location& aWhere,
                                       Object& aObject) {
                               return ReadValue(
                                 aValue, aWhere, aObject.*aMember);
                             },
                             aPresence == presence::kRequired };
  return { std::move(field),
           [aKey, aMember, aPresence](const Object& aObject,
                                      nlohmann::json& aInto) {
             const bool isDefault = aObject.*aMember == Object{}.*aMember;
             if (aPresence == presence::kRequired || !isDefault) {
               aInto[std::string(aKey)] = WriteValue(aObject.*aMember);
             }
           } };
}

template<typename Object>
status
ReadByTable(const nlohmann::json& aValue,
            const json::location& aWhere,
            const codec_table<Object>& aTable,
            Object& aInto)
{
  json::field_table<Object> fields;
  for (const codec<Object>& each : aTable) {
    fields.push_back(each.mField);
  }
  return json::ReadObject(aValue, aWhere, fields, aInto);
}

template<typename Object>
nlohmann::json
WriteByTable(const codec_table<Object>& aTable, const Object& aObject)
{
  nlohmann::json written = nlohmann::json::object();
  for (const codec<Object>& each : aTable) {
    each.mWrite(aObject, written);
  }
  return written;
}

} // namespace mangospan::config::internal

#endif // MANGOSPAN_CONFIG_INTERNAL_CODEC_H
