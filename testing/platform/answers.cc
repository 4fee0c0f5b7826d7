#include "testing/platform/answers.h"

#include <utility>

namespace mangospan::standin {

namespace {

using http::JsonResponse;
using nlohmann::json;

constexpr int kOk = 200;

const char*
Name(platform::action_state aState)
{
  switch (aState) {
    case platform::action_state::kPending:
      return "pending";
    case platform::action_state::kDone:
      return "done";
    case platform::action_state::kFailed:
      return "failed";
  }
  return "failed";
}

} // namespace

http::response
Failure(int aStatus, std::string_view aMessage)
{
  return JsonResponse(aStatus, json{ { "message", aMessage } }.dump());
}

http::response
RevisionResponse(int aStatus, platform::revision aRevision)
{
  return JsonResponse(aStatus, json{ { "revision", aRevision } }.dump());
}

json
ToJson(const platform::record& aRecord)
{
  return { { "key", aRecord.mKey },
           { "value", aRecord.mValue },
           { "revision", aRecord.mRevision } };
}

json
ToJson(const std::vector<platform::change>& aChanges)
{
  json changes = json::array();
  for (const platform::change& each : aChanges) {
    json change = ToJson(each.mRecord);
    change["deleted"] = each.mDeleted;
    changes.push_back(std::move(change));
  }
  return changes;
}

http::response
BatchResponse(const platform::change_batch& aBatch)
{
  return JsonResponse(kOk,
                      json{ { "revision", aBatch.mRevision },
                            { "changes", ToJson(aBatch.mChanges) } }
                        .dump());
}

http::response
ToResponse(const platform::action_status& aStatus)
{
  return JsonResponse(
    kOk,
    json{ { "state", Name(aStatus.mState) }, { "message", aStatus.mMessage } }
      .dump());
}

} // namespace mangospan::standin
