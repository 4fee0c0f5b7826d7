#include "platform.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace standins {

namespace {

constexpr char kDigits[] =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
ToBase64(const std::string& aBytes)
{
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char each : aBytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(each);
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kDigits[(bits >> static_cast<unsigned>(count)) & 63U];
    }
  }
  if (count > 0) {
    out += kDigits[(bits << static_cast<unsigned>(6 - count)) & 63U];
  }
  while (out.size() % 4 != 0) {
    out += '=';
  }
  return out;
}

std::string
FromBase64(const std::string& aText)
{
  const std::string digits = kDigits;
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char each : aText) {
    const auto at = digits.find(each);
    if (at == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(at);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return out;
}

} // namespace

time_point
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
Join(std::initializer_list<std::string> aWords)
{
  std::string out;
  for (const std::string& each : aWords) {
    if (!out.empty()) {
      out += ' ';
    }
    out += each;
  }
  return out;
}

struct record::impl
{
  std::ofstream mFile;
  mutable std::mutex mMutex;
  time_point mBegan = Now();
  std::size_t mBroken = 0;
};

record::record(const std::string& aFile)
  : mImpl(std::make_unique<impl>())
{
  mImpl->mFile.open(aFile);
}

record::~record() = default;

std::int64_t
record::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(Now() - mImpl->mBegan)
    .count();
}

void
record::Add(const std::string& aLine)
{
  const std::lock_guard lock(mImpl->mMutex);
  mImpl->mFile << Elapsed() << ' ' << aLine << std::endl;
}

void
record::Break(const std::string& aLine)
{
  Add("BROKEN " + aLine);
  const std::lock_guard lock(mImpl->mMutex);
  ++mImpl->mBroken;
  std::cout << Elapsed() << " BROKEN " << aLine << std::endl;
}

std::size_t
record::Broken() const
{
  const std::lock_guard lock(mImpl->mMutex);
  return mImpl->mBroken;
}

struct store::impl : public std::enable_shared_from_this<impl>
{
  struct item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
  };
  struct lease
  {
    milliseconds mTtl{ 0 };
    time_point mEndsAt;
  };

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, item> mItems;
  std::map<std::uint64_t, lease> mLeases;
  std::vector<json> mHistory;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 1;
  bool mIsSilent = false;
  bool mIsOver = false;
  std::function<int(const json&)> mFate;
  std::unique_ptr<server> mServer;
  std::thread mTicker;

  static json Encode(const std::string& aKey, const item& aItem)
  {
    return { { "key", aKey },
             { "value", ToBase64(aItem.mValue) },
             { "revision", aItem.mRevision },
             { "created", aItem.mCreated },
             { "lease", aItem.mLease } };
  }
  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease)
  {
    item& one = mItems[aKey];
    one.mValue = aValue;
    one.mLease = aLease;
    one.mRevision = mRevision;
    if (one.mCreated == 0) {
      one.mCreated = mRevision;
    }
    mHistory.push_back(Encode(aKey, one));
  }
  void RemoveLocked(const std::string& aKey)
  {
    if (mItems.erase(aKey) > 0) {
      mHistory.push_back(
        { { "key", aKey }, { "revision", mRevision }, { "deleted", true } });
    }
  }
  void EndLeaseLocked(std::uint64_t aLease)
  {
    mLeases.erase(aLease);
    std::vector<std::string> gone;
    for (const auto& [key, each] : mItems) {
      if (each.mLease == aLease) {
        gone.push_back(key);
      }
    }
    if (gone.empty()) {
      return;
    }
    ++mRevision;
    for (const std::string& each : gone) {
      RemoveLocked(each);
    }
    mChanged.notify_all();
  }
  reply Answer(const request& aRequest);
  reply Range(const request& aRequest);
  reply Watch(const request& aRequest, std::unique_lock<std::mutex>& aLock);
  reply Transact(const json& aBody);
  reply Lease(const request& aRequest);
};

reply
store::impl::Range(const request& aRequest)
{
  const std::string prefix = aRequest.mQuery.at("prefix");
  const auto after = aRequest.mQuery.find("after");
  constexpr std::size_t kMaxItems = 500;
  constexpr std::size_t kMaxBytes = 1'000'000;
  json items = json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (const auto& [key, each] : mItems) {
    if (key.compare(0, prefix.size(), prefix) != 0 ||
        (after != aRequest.mQuery.end() && key <= after->second)) {
      continue;
    }
    if (items.size() == kMaxItems || bytes > kMaxBytes) {
      more = true;
      break;
    }
    items.push_back(Encode(key, each));
    bytes += items.back().at("value").get_ref<const std::string&>().size();
  }
  return {
    200,
    json{ { "items", items }, { "as-of", mRevision }, { "more-pages", more } }
      .dump()
  };
}

reply
store::impl::Watch(const request& aRequest, std::unique_lock<std::mutex>& aLock)
{
  const std::string prefix = aRequest.mQuery.at("prefix");
  const std::uint64_t after = std::stoull(aRequest.mQuery.at("after"));
  const auto until =
    Now() + milliseconds(std::stoll(aRequest.mQuery.at("wait-ms")));
  while (true) {
    json events = json::array();
    for (auto it = mHistory.rbegin();
         it != mHistory.rend() && it->at("revision") > after;
         ++it) {
      if (it->at("key").get<std::string>().compare(0, prefix.size(), prefix) ==
          0) {
        events.push_back(*it);
      }
    }
    if (mIsSilent) {
      return { 0, "", true };
    }
    if (!events.empty() || Now() >= until || mIsOver) {
      std::reverse(events.begin(), events.end());
      return { 200,
               json{ { "events", events }, { "as-of", mRevision } }.dump() };
    }
    mChanged.wait_until(aLock, until);
  }
}

reply
store::impl::Transact(const json& aBody)
{
  json present = json::array();
  bool holds = true;
  for (const json& each : aBody.at("expect")) {
    const auto key = each.at("key").get<std::string>();
    const auto found = mItems.find(key);
    const std::uint64_t revision =
      found == mItems.end() ? 0 : found->second.mRevision;
    holds = holds && revision == each.at("revision").get<std::uint64_t>();
    present.push_back(found == mItems.end()
                        ? json{ { "key", key }, { "revision", 0 } }
                        : Encode(key, found->second));
  }
  if (!holds) {
    return { 412, json{ { "items", present } }.dump() };
  }
  for (const json& each : aBody.at("puts")) {
    const auto lease = each.value("lease", std::uint64_t{ 0 });
    if (lease > 0 && mLeases.count(lease) == 0) {
      return { 404, "{}" };
    }
  }
  ++mRevision;
  for (const json& each : aBody.at("puts")) {
    PutLocked(each.at("key"),
              FromBase64(each.at("value")),
              each.value("lease", std::uint64_t{ 0 }));
  }
  for (const json& each : aBody.at("remove")) {
    RemoveLocked(each);
  }
  mChanged.notify_all();
  return { 200, json{ { "revision", mRevision } }.dump() };
}

reply
store::impl::Lease(const request& aRequest)
{
  const std::string number =
    aRequest.mPath.substr(aRequest.mPath.rfind('/') + 1);
  if (aRequest.mPath == "/kv-lease") {
    const milliseconds ttl(json::parse(aRequest.mBody).at("ttl-ms").get<int>());
    mLeases[mNextLease] = { ttl, Now() + ttl };
    return {
      200, json{ { "lease", mNextLease++ }, { "ttl-ms", ttl.count() } }.dump()
    };
  }
  const auto found = mLeases.find(std::stoull(number));
  if (found == mLeases.end()) {
    return { 404, "{}" };
  }
  if (aRequest.mMethod == "DELETE") {
    EndLeaseLocked(found->first);
  } else {
    found->second.mEndsAt = Now() + found->second.mTtl;
  }
  return { 200, "{}" };
}

reply
store::impl::Answer(const request& aRequest)
{
  std::unique_lock lock(mMutex);
  if (mIsSilent) {
    return { 0, "", true };
  }
  const std::string& path = aRequest.mPath;
  if (path == "/kv-key") {
    const auto found = mItems.find(aRequest.mQuery.at("key"));
    return found == mItems.end()
             ? reply{ 404, "{}" }
             : reply{ 200, Encode(found->first, found->second).dump() };
  }
  if (path == "/kv-range") {
    return Range(aRequest);
  }
  if (path == "/kv-watch") {
    return Watch(aRequest, lock);
  }
  if (path == "/kv-txn") {
    const json body = json::parse(aRequest.mBody);
    const int fate = mFate ? mFate(body) : 0;
    if (fate == 0) {
      return Transact(body);
    }
    if (fate < 0) {
      Transact(body);
    } else {
      std::thread([self = shared_from_this(), body, fate] {
        std::this_thread::sleep_for(milliseconds(fate));
        const std::lock_guard late(self->mMutex);
        self->Transact(body);
      }).detach();
    }
    return { 0, "", true };
  }
  return Lease(aRequest);
}

store::store()
  : mImpl(std::make_shared<impl>())
{
}

store::~store()
{
  mImpl->mIsOver = true;
  mImpl->mTicker.join();
}

void
store::Start()
{
  mImpl->mServer = std::make_unique<server>(
    [self = mImpl](const request& aRequest) { return self->Answer(aRequest); });
  mImpl->mServer->Start();
  mImpl->mTicker = std::thread([self = mImpl.get()] {
    time_point before = Now();
    while (!self->mIsOver) {
      std::this_thread::sleep_for(milliseconds(5));
      const std::lock_guard lock(self->mMutex);
      const time_point now = Now();
      std::vector<std::uint64_t> ended;
      for (auto& [number, each] : self->mLeases) {
        if (self->mIsSilent) {
          each.mEndsAt += now - before; // paused
        } else if (now >= each.mEndsAt) {
          ended.push_back(number);
        }
      }
      for (const std::uint64_t each : ended) {
        self->EndLeaseLocked(each);
      }
      before = now;
    }
  });
}

std::string
store::Address() const
{
  return mImpl->mServer->Address();
}

void
store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mImpl->mMutex);
  ++mImpl->mRevision;
  mImpl->PutLocked(aKey, aValue, 0);
  mImpl->mChanged.notify_all();
}

void
store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(mImpl->mMutex);
  ++mImpl->mRevision;
  mImpl->RemoveLocked(aKey);
  mImpl->mChanged.notify_all();
}

std::string
store::Value(const std::string& aKey) const
{
  const std::lock_guard lock(mImpl->mMutex);
  const auto found = mImpl->mItems.find(aKey);
  return found == mImpl->mItems.end() ? std::string() : found->second.mValue;
}

void
store::SetSilent(bool aIsSilent)
{
  const std::lock_guard lock(mImpl->mMutex);
  mImpl->mIsSilent = aIsSilent;
  mImpl->mChanged.notify_all();
}

void
store::SetFate(std::function<int(const json&)> aFate)
{
  const std::lock_guard lock(mImpl->mMutex);
  mImpl->mFate = std::move(aFate);
}

void
store::Revoke(const std::string& aKey)
{
  const std::lock_guard lock(mImpl->mMutex);
  const auto found = mImpl->mItems.find(aKey);
  if (found != mImpl->mItems.end() && found->second.mLease > 0) {
    mImpl->EndLeaseLocked(found->second.mLease);
  }
}

} // namespace standins
