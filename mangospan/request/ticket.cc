#include "mangospan/request/ticket.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <optional>
#include <system_error>

namespace mangospan::request {

namespace {

constexpr std::string_view kPrefix = "ms1";
constexpr char kSeparator = '_';
constexpr std::size_t kFieldCount = 5; // prefix, issuer, boot, sequence, expiry
constexpr std::size_t kMaxLength = 128;
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;

using milliseconds = std::chrono::milliseconds;

std::string
ToHex(std::uint64_t aValue)
{
  std::array<char, kHexDigits> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aValue, kHexBase);
  const std::string text(digits.data(), end.ptr);
  return std::string(kHexDigits - text.size(), '0') + text;
}

// Accepts exactly sixteen lower-case hexadecimal digits, so that each value has
// a single representation.
std::optional<std::uint64_t>
FromHex(std::string_view aText)
{
  if (aText.size() != kHexDigits ||
      aText.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value, kHexBase);
  return value;
}

std::optional<std::array<std::string_view, kFieldCount>>
Split(std::string_view aText)
{
  std::array<std::string_view, kFieldCount> fields;
  for (std::size_t i = 0; i + 1 < kFieldCount; ++i) {
    const std::size_t end = aText.find(kSeparator);
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    fields[i] = aText.substr(0, end);
    aText.remove_prefix(end + 1);
  }
  fields[kFieldCount - 1] = aText;
  return fields;
}

bool
IsNumberUpTo(std::string_view aText, unsigned aMaxValue)
{
  unsigned value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool leadingZero = aText.size() > 1 && aText.front() == '0';
  return parsed.ec == std::errc() &&
         parsed.ptr == aText.data() + aText.size() && value <= aMaxValue &&
         !leadingZero;
}

bool
IsIpv4(std::string_view aText)
{
  for (int i = 0; i < 3; ++i) {
    const std::size_t dot = aText.find('.');
    if (dot == std::string_view::npos ||
        !IsNumberUpTo(aText.substr(0, dot), 255)) {
      return false;
    }
    aText.remove_prefix(dot + 1);
  }
  return IsNumberUpTo(aText, 255);
}

bool
IsBracketedIpv6(std::string_view aText)
{
  return aText.size() > 4 && aText.front() == '[' && aText.back() == ']' &&
         aText.substr(1, aText.size() - 2)
             .find_first_not_of("0123456789abcdef:.") == std::string_view::npos;
}

// Accepts an IP address and a nonzero port. Entries connect to the address in a
// ticket, so host names and paths must be rejected.
bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view port = aText.substr(colon + 1);
  const std::string_view address = aText.substr(0, colon);
  return IsNumberUpTo(port, 65535) && port != "0" &&
         (IsIpv4(address) || IsBracketedIpv6(address));
}

} // namespace

std::string
ToText(const ticket& aTicket)
{
  const auto expires =
    std::chrono::floor<milliseconds>(aTicket.mExpires.time_since_epoch());
  std::string text(kPrefix);
  text += kSeparator + aTicket.mIssuer;
  text += kSeparator + ToHex(aTicket.mBoot.mValue);
  text += kSeparator + ToHex(aTicket.mSequence);
  text += kSeparator + ToHex(static_cast<std::uint64_t>(expires.count()));
  return text;
}

result<ticket>
ParseTicket(std::string_view aText)
{
  const error malformed{ error_code::kInvalidArgument,
                         "ticket.parse",
                         "",
                         "not a ticket of this system" };
  if (aText.size() > kMaxLength) {
    return malformed;
  }
  const auto fields = Split(aText);
  if (!fields || (*fields)[0] != kPrefix || !IsAddress((*fields)[1])) {
    return malformed;
  }
  const auto boot = FromHex((*fields)[2]);
  const auto sequence = FromHex((*fields)[3]);
  const auto expires = FromHex((*fields)[4]);
  constexpr std::uint64_t kMaxExpiryMs = // fits into int64_t as nanoseconds
    std::uint64_t{ INT64_MAX } / 1000000;
  if (!boot || !sequence || !expires || *expires > kMaxExpiryMs) {
    return malformed;
  }
  ticket parsed;
  parsed.mIssuer = std::string((*fields)[1]);
  parsed.mBoot = boot_id{ *boot };
  parsed.mSequence = *sequence;
  parsed.mExpires =
    time_point(milliseconds(static_cast<std::int64_t>(*expires)));
  return parsed;
}

} // namespace mangospan::request
