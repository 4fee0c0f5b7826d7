// HTTP messages as plain values, so that users of this header do not include
// Boost.Beast.
//
//   http::response answer{ 503, {}, "{\"code\":\"overloaded\"}" };
//   answer.Set("Mangospan-Outcome", "not-run");
#ifndef MANGOSPAN_HTTP_MESSAGE_H
#define MANGOSPAN_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace mangospan::http {

// A header field, such as "Retry-After: 1".
struct header
{
  std::string mName;
  std::string mValue;
};

// The headers of a request or response, in order. Header names are compared
// case-insensitively.
struct header_list
{
  std::vector<header> mHeaders;

  // Returns the value of the first header named `aName`, or an empty string.
  std::string_view Get(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  // Replaces every header named `aName` with a single one.
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);
};

// An HTTP request with its complete body.
struct request : header_list
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::string mBody;
  std::string mRemoteAddress; // "ip:port" of the sender; set by the server
};

// An HTTP response with its complete body.
struct response : header_list
{
  int mStatus = 200;
  std::string mBody;
};

// Returns the path of the request target, without its query.
std::string_view
Path(const request& aRequest);

// Returns the value of the query parameter `aName` without percent-decoding it,
// or an empty string if the parameter is absent.
std::string_view
QueryValue(const request& aRequest, std::string_view aName);

// Returns a response with the JSON body `aBody` and the matching Content-Type.
response
JsonResponse(int aStatus, std::string aBody);

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_MESSAGE_H
