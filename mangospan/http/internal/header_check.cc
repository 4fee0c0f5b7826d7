#include "mangospan/http/internal/header_check.h"

#include <algorithm>
#include <cctype>
#include <string_view>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace mangospan::http::internal {

namespace {

std::size_t
CountHeaders(const header_list& aHeaders, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aHeaders.mHeaders.begin(),
                  aHeaders.mHeaders.end(),
                  [aName](const header& aHeader) {
                    return boost::algorithm::iequals(aHeader.mName, aName);
                  }));
}

} // namespace

const char*
ValidateHeaderBytes(std::string_view aBlock)
{
  for (std::size_t i = 0; i < aBlock.size(); ++i) {
    const char byte = aBlock[i];
    const char next = i + 1 < aBlock.size() ? aBlock[i + 1] : '\0';
    if (byte == '\0') {
      return "NUL in the header";
    }
    if (byte == '\r' && next != '\n') {
      return "CR without LF in the header";
    }
    if (byte != '\n') {
      continue;
    }
    if (i == 0 || aBlock[i - 1] != '\r') {
      return "LF without CR in the header";
    }
    if (next == ' ' || next == '\t') {
      return "folded header line";
    }
  }
  return nullptr;
}

const char*
ValidateHeaders(const header_list& aHeaders, unsigned aVersion)
{
  if (aVersion != 10 && aVersion != 11) {
    return "unsupported HTTP version";
  }
  const std::size_t hostCount = CountHeaders(aHeaders, "Host");
  if (hostCount > 1 || (hostCount == 0 && aVersion == 11)) {
    return "exactly one Host header is needed";
  }
  const std::size_t lengthCount = CountHeaders(aHeaders, "Content-Length");
  const std::size_t codingCount = CountHeaders(aHeaders, "Transfer-Encoding");
  if (lengthCount > 1) {
    return "more than one Content-Length";
  }
  if (lengthCount + codingCount > 1) {
    return "more than one of Content-Length and Transfer-Encoding";
  }
  if (codingCount == 1 &&
      (aVersion == 10 || !boost::algorithm::iequals(
                           aHeaders.Get("Transfer-Encoding"), "chunked"))) {
    return "transfer coding is not supported";
  }
  if (lengthCount == 1) {
    const std::string_view length = aHeaders.Get("Content-Length");
    const bool isNumber =
      std::all_of(length.begin(), length.end(), [](unsigned char aChar) {
        return std::isdigit(aChar) != 0;
      });
    if (length.empty() || !isNumber) {
      return "Content-Length is not a number";
    }
  }
  return nullptr;
}

bool
IsSafeHeader(const header& aHeader)
{
  const auto isForbidden = [](char aChar) {
    return aChar == '\r' || aChar == '\n' || aChar == '\0';
  };
  return IsSafeToken(aHeader.mName) &&
         aHeader.mName.find(':') == std::string::npos &&
         std::none_of(
           aHeader.mValue.begin(), aHeader.mValue.end(), isForbidden);
}

bool
IsSafeToken(std::string_view aText)
{
  return !aText.empty() &&
         std::none_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return aChar <= ' ' || aChar == 0x7f;
         });
}

bool
ListContains(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    const std::size_t end = std::min(aList.find(','), aList.size());
    const std::string item =
      boost::algorithm::trim_copy(std::string(aList.substr(0, end)));
    if (boost::algorithm::iequals(item, aToken)) {
      return true;
    }
    aList.remove_prefix(std::min(end + 1, aList.size()));
  }
  return false;
}

} // namespace mangospan::http::internal
