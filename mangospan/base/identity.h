// Value types for the names and identifiers that messages and records carry.
//
// Each name is its own type, so a pool can not be passed where a host is due:
//
//   host_name host{ "ra-a-07" };
//   std::map<host_name, pool_name> poolOf;
#ifndef MANGOSPAN_BASE_IDENTITY_H
#define MANGOSPAN_BASE_IDENTITY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mangospan {

// A string that is only comparable to strings of the same `Tag`.
template<typename Tag>
struct name
{
  std::string mValue;

  name() = default;
  explicit name(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Str() const { return mValue; }
  bool Empty() const { return mValue.empty(); }
  friend bool operator==(const name& aLeft, const name& aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator!=(const name& aLeft, const name& aRight)
  {
    return aLeft.mValue != aRight.mValue;
  }
  friend bool operator<(const name& aLeft, const name& aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

using host_name = name<struct host_tag>;
using zone_name = name<struct zone_tag>;
using rack_name = name<struct rack_tag>;
using pool_name = name<struct pool_tag>;
using service_name = name<struct service_tag>;
using class_name = name<struct class_tag>;
using team_name = name<struct team_tag>;
using caller_name = name<struct caller_tag>;
using customer_name = name<struct customer_tag>;

// Drawn at random when a process starts; tells two runs at one address apart.
struct boot_id
{
  std::uint64_t mValue = 0;

  friend bool operator==(boot_id aLeft, boot_id aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend bool operator!=(boot_id aLeft, boot_id aRight)
  {
    return aLeft.mValue != aRight.mValue;
  }
  friend bool operator<(boot_id aLeft, boot_id aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
};

// A fresh, unpredictable boot id; never zero, at most 53 bits so that JSON
// readers keep it exact.
boot_id
DrawBootId();

// Names one write of one process: repeated after a lost answer, it lets the
// writer recognise its own value.
struct write_id
{
  boot_id mBoot;
  std::uint64_t mSequence = 0;

  friend bool operator==(const write_id& aLeft, const write_id& aRight)
  {
    return aLeft.mBoot == aRight.mBoot && aLeft.mSequence == aRight.mSequence;
  }
};

} // namespace mangospan

template<typename Tag>
struct std::hash<mangospan::name<Tag>>
{
  std::size_t operator()(const mangospan::name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>()(aName.mValue);
  }
};

#endif // MANGOSPAN_BASE_IDENTITY_H
