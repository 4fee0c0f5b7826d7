// Blocking HTTP for stand-ins: a server with a thread for each connection, and
// a client for one call.
#ifndef REVIEW_STANDINS3_HTTP_H
#define REVIEW_STANDINS3_HTTP_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standins {

struct request
{
  std::string mMethod = "GET";
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders; // names in lower case
  std::string mBody;
};

struct reply
{
  int mStatus = 200;
  std::string mBody = "{}";
  bool mIsSilent = false; // the caller gets no answer on this connection
};

class server
{
public:
  using handler = std::function<reply(const request&)>;

  explicit server(handler aHandler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // Listens on a free port of loopback; the same one after a `Stop`.
  void Start();
  // Refuses connections and ends the open ones.
  void Stop();
  std::string Address() const;

private:
  struct impl;
  std::shared_ptr<impl> mImpl;
};

// Status 0 means that no answer came.
struct answer
{
  int mStatus = 0;
  std::string mBody;
};

answer
Call(const std::string& aAddress,
     const request& aRequest,
     std::chrono::milliseconds aTimeout);

} // namespace standins

#endif // REVIEW_STANDINS3_HTTP_H
