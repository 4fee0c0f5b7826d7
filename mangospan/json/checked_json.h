// Reads JSON with comments into typed objects, and refuses what it does not
// know: unknown and repeated keys, wrong types, missing keys.
//
// Use it for everything that people write. Each object type has one table of
// its keys; a value that needs its own checks has a `ReadValue` overload beside
// its type, found by argument-dependent lookup:
//
//   const field_table<retry_rule> kFields{
//     Required("name", &retry_rule::mName),
//     Optional("attempts", &retry_rule::mAttempts),
//   };
//   BOOST_OUTCOME_TRY(value, ParseText(text, { "retry.parse", "a.json"
//   })); retry_rule rule; BOOST_OUTCOME_TRY(ReadObject(value, where, kFields,
//   rule));
//
// Include it only in source files that include <nlohmann/json.hpp>.
#ifndef MANGOSPAN_JSON_CHECKED_JSON_H
#define MANGOSPAN_JSON_CHECKED_JSON_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"

namespace mangospan::json {

// Where a value stands, for error messages.
struct location
{
  std::string mStep;    // "settings.parse"
  std::string mSource;  // the file
  std::string mPointer; // JSON pointer; empty for the whole text

  location Child(std::string_view aKey) const;
  location Child(std::size_t aIndex) const;
};

// kInvalidArgument at the location: "/pools/0/name: <aMessage>".
error
Refuse(const location& aWhere, const std::string& aMessage);

// Parses JSON with comments. Errors name the line and column, or the pointer
// of a key that is written twice.
result<nlohmann::json>
ParseText(std::string_view aText, const location& aWhere);

// Errors that name the type that is due.
status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::string& aInto);
status
ReadValue(const nlohmann::json& aValue, const location& aWhere, bool& aInto);
status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::size_t& aInto);
// A non-negative number.
status
ReadValue(const nlohmann::json& aValue, const location& aWhere, double& aInto);

// A name that may stand in keys, paths and metrics: 1 to 64 letters, digits,
// '.', '_' and '-', beginning with a letter or digit.
status
ReadName(const nlohmann::json& aValue,
         const location& aWhere,
         std::string& aInto);

template<typename Tag>
status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          name<Tag>& aInto)
{
  return ReadName(aValue, aWhere, aInto.mValue);
}

// Calls `aReadItem` for each item of an array.
status
ReadItems(
  const nlohmann::json& aValue,
  const location& aWhere,
  const std::function<status(const nlohmann::json&, const location&)>& aRead);

template<typename Item>
status
ReadValue(const nlohmann::json& aValue,
          const location& aWhere,
          std::vector<Item>& aInto)
{
  aInto.clear();
  return ReadItems(
    aValue,
    aWhere,
    [&aInto](const nlohmann::json& aItem, const location& aAt) -> status {
      Item item{};
      BOOST_OUTCOME_TRY(ReadValue(aItem, aAt, item));
      aInto.push_back(std::move(item));
      return boost::outcome_v2::success();
    });
}

// One key of an object type.
template<typename Object>
struct field
{
  std::string_view mKey;
  std::function<status(const nlohmann::json&, const location&, Object&)> mRead;
  bool mRequired = false;
};

template<typename Object>
using field_table = std::vector<field<Object>>;

// A key that is read into a member by `aRead`.
template<typename Object, typename Member>
field<Object>
With(std::string_view aKey,
     Member Object::*aMember,
     status (*aRead)(const nlohmann::json&, const location&, Member&))
{
  return { aKey,
           [aMember, aRead](const nlohmann::json& aValue,
                            const location& aWhere,
                            Object& aObject) {
             return aRead(aValue, aWhere, aObject.*aMember);
           },
           false };
}

// A key that is read into a member by `ReadValue`.
template<typename Object, typename Member>
field<Object>
Optional(std::string_view aKey, Member Object::*aMember)
{
  return { aKey,
           [aMember](const nlohmann::json& aValue,
                     const location& aWhere,
                     Object& aObject) {
             return ReadValue(aValue, aWhere, aObject.*aMember);
           },
           false };
}

// The same key, but refused if it is absent.
template<typename Object>
field<Object>
Required(field<Object> aField)
{
  aField.mRequired = true;
  return aField;
}

template<typename Object, typename Member>
field<Object>
Required(std::string_view aKey, Member Object::*aMember)
{
  return Required(Optional(aKey, aMember));
}

// The key of `aKnown` that is the fewest edits away from `aKey`.
std::string_view
NearestKey(std::string_view aKey, const std::vector<std::string_view>& aKnown);

// Refuses a value that is not an object, a key that is not among `aKnown` (the
// nearest one is named), and the lack of one of `aRequired`.
status
CheckKeys(const nlohmann::json& aValue,
          const location& aWhere,
          const std::vector<std::string_view>& aKnown,
          const std::vector<std::string_view>& aRequired);

// The member of an object, or null.
const nlohmann::json*
Find(const nlohmann::json& aObject, std::string_view aKey);

// Reads an object by its table.
template<typename Object>
status
ReadObject(const nlohmann::json& aValue,
           const location& aWhere,
           const field_table<Object>& aFields,
           Object& aInto)
{
  std::vector<std::string_view> known;
  std::vector<std::string_view> required;
  for (const field<Object>& each : aFields) {
    known.push_back(each.mKey);
    if (each.mRequired) {
      required.push_back(each.mKey);
    }
  }
  BOOST_OUTCOME_TRY(CheckKeys(aValue, aWhere, known, required));
  for (const field<Object>& each : aFields) {
    if (const nlohmann::json* member = Find(aValue, each.mKey)) {
      BOOST_OUTCOME_TRY(each.mRead(*member, aWhere.Child(each.mKey), aInto));
    }
  }
  return boost::outcome_v2::success();
}

} // namespace mangospan::json

#endif // MANGOSPAN_JSON_CHECKED_JSON_H
