// HTTP messages as plain values, so that only http/internal needs the library.
//
//   http::response answer{ 503, {}, "{\"code\":\"overloaded\"}" };
//   answer.Set("Mangospan-Outcome", "not-run");
#ifndef MANGOSPAN_HTTP_MESSAGE_H
#define MANGOSPAN_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace mangospan::http {

struct header
{
  std::string mName;
  std::string mValue;
};

// Common to requests and responses. Header names compare without case.
struct header_list
{
  std::vector<header> mHeaders;

  // The first header of that name, or an empty text.
  std::string_view Get(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  // Replaces every header of that name.
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);
};

struct request : header_list
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::string mBody;
  std::string mRemoteAddress; // "ip:port" of the sender; set by the server
};

struct response : header_list
{
  int mStatus = 200;
  std::string mBody;
};

// The target's path without its query.
std::string_view
Path(const request& aRequest);

// The value of the query's parameter, percent-decoding not applied; empty if
// it is absent.
std::string_view
QueryValue(const request& aRequest, std::string_view aName);

// A response with a JSON body.
response
JsonResponse(int aStatus, std::string aBody);

} // namespace mangospan::http

#endif // MANGOSPAN_HTTP_MESSAGE_H
