#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/platform/http_platform.h"
#include "mangospan/platform/internal/call.h"

namespace mangospan::platform {

using internal::call_kind;
using internal::PostError;
using internal::Send;
using internal::SendAndParse;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Added to a watch's wait time for the request timeout, since the response may
// arrive after the wait ends.
constexpr milliseconds kWatchMargin{ 2'000 };

record
ParseRecord(const json& aFields)
{
  return { aFields.at("key").get<std::string>(),
           aFields.at("value").get<std::string>(),
           aFields.at("revision").get<revision>() };
}

std::vector<record>
ParseRecords(const json& aFields)
{
  std::vector<record> records;
  for (const json& each : aFields.at("records")) {
    records.push_back(ParseRecord(each));
  }
  return records;
}

revision
ParseRevision(const json& aFields)
{
  return aFields.at("revision").get<revision>();
}

lease_id
ParseLease(const json& aFields)
{
  return { aFields.at("lease").get<std::uint64_t>() };
}

change_batch
ParseChanges(const json& aFields)
{
  change_batch batch;
  batch.mRevision = ParseRevision(aFields);
  for (const json& each : aFields.at("changes")) {
    change next;
    next.mDeleted = each.at("deleted").get<bool>();
    next.mRecord.mKey = each.at("key").get<std::string>();
    next.mRecord.mValue = each.value("value", std::string());
    next.mRecord.mRevision = ParseRevision(each);
    batch.mChanges.push_back(std::move(next));
  }
  return batch;
}

std::string
LeaseTarget(lease_id aLease)
{
  return "/v1/leases/" + std::to_string(aLease.mValue);
}

// Returns a handler that passes `aLease` to `aHandler` on success, for calls
// whose response has no content.
handler<json>
ReplyWithLease(lease_id aLease, handler<lease_id> aHandler)
{
  return [aLease, handler = std::move(aHandler)](result<json> aResult) {
    if (aResult.has_error()) {
      handler(std::move(aResult).assume_error());
    } else {
      handler(aLease);
    }
  };
}

} // namespace

http_store::http_store(boost::asio::io_context& aIo,
                       http::client& aClient,
                       std::string aAddress,
                       zone_name aZone)
  : mPlatform{ aIo, aClient, std::move(aAddress), std::move(aZone) }
{
}

void
http_store::Read(std::string aKey,
                 milliseconds aTimeout,
                 handler<std::optional<record>> aHandler)
{
  if (aKey.empty() || !internal::IsUrlSafe(aKey)) {
    PostError(mPlatform, internal::InvalidKey("store.read", aKey), aHandler);
    return;
  }
  SendAndParse<record>(
    mPlatform,
    { call_kind::kRead, "store.read", "GET", "/v1/kv/" + aKey, {}, aTimeout },
    ParseRecord,
    [handler = std::move(aHandler)](result<record> aResult) {
      if (aResult.has_value()) {
        handler(std::optional<record>(std::move(aResult).assume_value()));
      } else if (aResult.assume_error().mCode == error_code::kNotFound) {
        handler(std::optional<record>());
      } else {
        handler(std::move(aResult).assume_error());
      }
    });
}

void
http_store::List(std::string aPrefix,
                 milliseconds aTimeout,
                 handler<std::vector<record>> aHandler)
{
  if (!internal::IsUrlSafe(aPrefix)) {
    PostError(mPlatform, internal::InvalidKey("store.list", aPrefix), aHandler);
    return;
  }
  SendAndParse<std::vector<record>>(mPlatform,
                                    { call_kind::kRead,
                                      "store.list",
                                      "GET",
                                      "/v1/kv?prefix=" + aPrefix,
                                      {},
                                      aTimeout },
                                    ParseRecords,
                                    std::move(aHandler));
}

void
http_store::CompareAndSwap(swap_request aRequest,
                           milliseconds aTimeout,
                           handler<revision> aHandler)
{
  if (aRequest.mKey.empty() || !internal::IsUrlSafe(aRequest.mKey)) {
    PostError(
      mPlatform, internal::InvalidKey("store.cas", aRequest.mKey), aHandler);
    return;
  }
  if (aRequest.mValue.size() > kMaxValueBytes) {
    PostError(mPlatform,
              { error_code::kTooLarge,
                "store.cas",
                "",
                aRequest.mKey + ": " + std::to_string(aRequest.mValue.size()) +
                  " bytes, over " + std::to_string(kMaxValueBytes) },
              aHandler);
    return;
  }
  json body{ { "expect", aRequest.mExpected },
             { "value", std::move(aRequest.mValue) } };
  if (aRequest.mLease) {
    body["lease"] = aRequest.mLease->mValue;
  }
  SendAndParse<revision>(mPlatform,
                         { call_kind::kWrite,
                           "store.cas",
                           "PUT",
                           "/v1/kv/" + aRequest.mKey,
                           std::move(body),
                           aTimeout },
                         ParseRevision,
                         std::move(aHandler));
}

void
http_store::Delete(std::string aKey,
                   revision aExpected,
                   milliseconds aTimeout,
                   handler<revision> aHandler)
{
  if (aKey.empty() || !internal::IsUrlSafe(aKey)) {
    PostError(mPlatform, internal::InvalidKey("store.delete", aKey), aHandler);
    return;
  }
  SendAndParse<revision>(
    mPlatform,
    { call_kind::kWrite,
      "store.delete",
      "DELETE",
      "/v1/kv/" + aKey + "?expect=" + std::to_string(aExpected),
      {},
      aTimeout },
    ParseRevision,
    std::move(aHandler));
}

void
http_store::GrantLease(milliseconds aTtl,
                       milliseconds aTimeout,
                       handler<lease_id> aHandler)
{
  SendAndParse<lease_id>(mPlatform,
                         { call_kind::kWrite,
                           "store.grant_lease",
                           "POST",
                           "/v1/leases",
                           { { "ttl_ms", aTtl.count() } },
                           aTimeout },
                         ParseLease,
                         std::move(aHandler));
}

void
http_store::RenewLease(lease_id aLease,
                       milliseconds aTimeout,
                       handler<lease_id> aHandler)
{
  Send(mPlatform,
       { call_kind::kWrite,
         "store.renew_lease",
         "POST",
         LeaseTarget(aLease) + "/renew",
         {},
         aTimeout },
       ReplyWithLease(aLease, std::move(aHandler)));
}

void
http_store::RevokeLease(lease_id aLease,
                        milliseconds aTimeout,
                        handler<lease_id> aHandler)
{
  Send(mPlatform,
       { call_kind::kWrite,
         "store.revoke_lease",
         "DELETE",
         LeaseTarget(aLease),
         {},
         aTimeout },
       ReplyWithLease(aLease, std::move(aHandler)));
}

void
http_store::Watch(std::string aPrefix,
                  revision aAfter,
                  milliseconds aWait,
                  handler<change_batch> aHandler)
{
  if (!internal::IsUrlSafe(aPrefix)) {
    PostError(
      mPlatform, internal::InvalidKey("store.watch", aPrefix), aHandler);
    return;
  }
  SendAndParse<change_batch>(mPlatform,
                             { call_kind::kRead,
                               "store.watch",
                               "GET",
                               "/v1/watch?prefix=" + aPrefix +
                                 "&after=" + std::to_string(aAfter) +
                                 "&wait_ms=" + std::to_string(aWait.count()),
                               {},
                               aWait + kWatchMargin },
                             ParseChanges,
                             std::move(aHandler));
}

} // namespace mangospan::platform
