#include "mangospan/entry/classify.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace mangospan::entry {

namespace {

constexpr std::string_view kReserved = "/mangospan";

// FNV-1a: needs to be equal across builds, not to resist attacks.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325U;
constexpr std::uint64_t kFnvPrime = 0x100000001b3U;

void
Mix(std::string_view aText, std::uint64_t& aHash)
{
  for (const unsigned char byte : aText) {
    aHash = (aHash ^ byte) * kFnvPrime;
  }
  aHash = (aHash ^ aText.size()) * kFnvPrime; // keeps the parts apart
}

} // namespace

bool
IsReserved(const http::request& aRequest)
{
  const std::string_view path = http::Path(aRequest);
  return path.substr(0, kReserved.size()) == kReserved &&
         (path.size() == kReserved.size() || path[kReserved.size()] == '/');
}

request::arrival
ToArrival(const http::request& aRequest,
          request::request_id aId,
          time_point aNow)
{
  request::arrival arrival;
  arrival.mId = aId;
  arrival.mMethod = aRequest.mMethod;
  arrival.mArrived = aNow;
  arrival.mClass = class_name(std::string(aRequest.Get("Mangospan-Class")));
  arrival.mTeam = team_name(std::string(aRequest.Get("Mangospan-Team")));
  std::string_view caller = aRequest.Get("Mangospan-Caller");
  if (caller.empty()) {
    const std::string_view sender = aRequest.mRemoteAddress;
    caller = sender.substr(0, sender.rfind(':'));
  }
  arrival.mCaller = caller_name(std::string(caller));
  const std::string_view path = http::Path(aRequest);
  if (!path.empty() && path.front() == '/') {
    const std::size_t end = std::min(path.find('/', 1), path.size());
    arrival.mService = service_name(std::string(path.substr(1, end - 1)));
    arrival.mPath = std::string(path.substr(end));
  }
  if (arrival.mPath.empty()) {
    arrival.mPath = "/";
  }
  return arrival;
}

std::uint64_t
Fingerprint(const http::request& aRequest)
{
  std::uint64_t hash = kFnvOffset;
  Mix(aRequest.mMethod, hash);
  Mix(aRequest.mTarget, hash);
  Mix(aRequest.mBody, hash);
  return hash;
}

} // namespace mangospan::entry
