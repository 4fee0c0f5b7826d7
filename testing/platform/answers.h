// The bodies of the stand-in platform's answers.
#ifndef TESTING_PLATFORM_ANSWERS_H
#define TESTING_PLATFORM_ANSWERS_H

#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "mangospan/http/message.h"
#include "mangospan/platform/hosts.h"
#include "mangospan/platform/store.h"

namespace mangospan::standin {

http::response
Failure(int aStatus, std::string_view aMessage);

http::response
RevisionResponse(int aStatus, platform::revision aRevision);

nlohmann::json
ToJson(const platform::record& aRecord);

nlohmann::json
ToJson(const std::vector<platform::change>& aChanges);

http::response
BatchResponse(const platform::change_batch& aBatch);

http::response
ToResponse(const platform::action_status& aStatus);

} // namespace mangospan::standin

#endif // TESTING_PLATFORM_ANSWERS_H
