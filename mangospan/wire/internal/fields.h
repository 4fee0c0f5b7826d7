// How each message's fields appear in CBOR. Meant for wire/message.cc only.
//
// The functions throw nlohmann::json exceptions for fields that are missing or
// of another type; fields that are not known are ignored.
#ifndef MANGOSPAN_WIRE_INTERNAL_FIELDS_H
#define MANGOSPAN_WIRE_INTERNAL_FIELDS_H

#include <nlohmann/json.hpp>

#include "mangospan/wire/message.h"

namespace mangospan::wire::internal {

nlohmann::json
Write(const hello& aMessage);
nlohmann::json
Write(const heartbeat& aMessage);
nlohmann::json
Write(const view_push& aMessage);
nlohmann::json
Write(const config_push& aMessage);
nlohmann::json
Write(const state_request& aMessage);
nlohmann::json
Write(const entry_report& aMessage);
nlohmann::json
Write(const goodbye& aMessage);
nlohmann::json
Write(const grant_request& aMessage);
nlohmann::json
Write(const grant_reply& aMessage);
nlohmann::json
Write(const ticket_report& aMessage);
nlohmann::json
Write(const sender& aSender);

void
Read(const nlohmann::json& aFields, hello& aMessage);
void
Read(const nlohmann::json& aFields, heartbeat& aMessage);
void
Read(const nlohmann::json& aFields, view_push& aMessage);
void
Read(const nlohmann::json& aFields, config_push& aMessage);
void
Read(const nlohmann::json& aFields, state_request& aMessage);
void
Read(const nlohmann::json& aFields, entry_report& aMessage);
void
Read(const nlohmann::json& aFields, goodbye& aMessage);
void
Read(const nlohmann::json& aFields, grant_request& aMessage);
void
Read(const nlohmann::json& aFields, grant_reply& aMessage);
void
Read(const nlohmann::json& aFields, ticket_report& aMessage);
void
Read(const nlohmann::json& aFields, sender& aSender);

} // namespace mangospan::wire::internal

#endif // MANGOSPAN_WIRE_INTERNAL_FIELDS_H
