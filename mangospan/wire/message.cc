#include "mangospan/wire/message.h"

#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "mangospan/wire/internal/fields.h"

namespace mangospan::wire {

using nlohmann::json;

namespace {

constexpr int kMaxDepth = 16;

// Stops at the first list or map nested too deeply. The library's reader calls
// itself for each level, so hostile bytes could exhaust the stack.
class depth_check final : public nlohmann::json_sax<json>
{
public:
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/,
                    const string_t& /*aText*/) override
  {
    return true;
  }
  bool string(string_t& /*aValue*/) override { return true; }
  bool binary(binary_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aSize*/) override { return Enter(); }
  bool key(string_t& /*aValue*/) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*aSize*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override
  {
    return false;
  }

private:
  bool Enter() { return ++mDepth <= kMaxDepth; }
  bool Leave()
  {
    --mDepth;
    return true;
  }

  int mDepth = 0;
};

// How one type of message is written and read.
struct codec
{
  const char* mName;
  json (*mWrite)(const message&);
  message (*mRead)(const json&);
};

template<typename Message>
json
WriteAs(const message& aMessage)
{
  return internal::Write(*std::get_if<Message>(&aMessage));
}

template<typename Message>
message
ReadAs(const json& aFields)
{
  Message out;
  internal::Read(aFields, out);
  return out;
}

template<typename Message>
constexpr codec
CodecOf(const char* aName)
{
  return { aName, WriteAs<Message>, ReadAs<Message> };
}

// In the order of the variant's alternatives.
constexpr std::array<codec, std::variant_size_v<message>> kCodecs{
  CodecOf<hello>("hello"),
  CodecOf<heartbeat>("heartbeat"),
  CodecOf<view_push>("view_push"),
  CodecOf<config_push>("config_push"),
  CodecOf<state_request>("state_request"),
  CodecOf<entry_report>("entry_report"),
  CodecOf<goodbye>("goodbye"),
  CodecOf<grant_request>("grant_request"),
  CodecOf<grant_reply>("grant_reply"),
  CodecOf<ticket_report>("ticket_report"),
};

error
Malformed(std::string aMessage)
{
  return error{
    error_code::kInvalidArgument, "wire.decode", "", std::move(aMessage)
  };
}

result<envelope>
FromJson(const json& aFields)
{
  const json& version = aFields.at("v");
  if (!version.is_number_integer() || version != kProtocolVersion) {
    return Malformed("unknown protocol version");
  }
  const auto& type = aFields.at("type").get_ref<const std::string&>();
  for (const codec& each : kCodecs) {
    if (type == each.mName) {
      envelope out;
      internal::Read(aFields.at("from"), out.mSender);
      out.mMessage = each.mRead(aFields.at("body"));
      return out;
    }
  }
  return Malformed("unknown message type " + type.substr(0, 40));
}

} // namespace

const char*
TypeName(const message& aMessage)
{
  return kCodecs.at(aMessage.index()).mName;
}

std::string
Encode(const envelope& aEnvelope)
{
  const codec& used = kCodecs.at(aEnvelope.mMessage.index());
  const json fields{ { "v", kProtocolVersion },
                     { "type", used.mName },
                     { "from", internal::Write(aEnvelope.mSender) },
                     { "body", used.mWrite(aEnvelope.mMessage) } };
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

result<envelope>
Decode(const std::string& aBytes)
{
  if (aBytes.size() > kMaxMessageBytes) {
    return error{ error_code::kTooLarge,
                  "wire.decode",
                  "",
                  std::to_string(aBytes.size()) + " bytes" };
  }
  depth_check check;
  if (!json::sax_parse(aBytes, &check, json::input_format_t::cbor)) {
    return Malformed("not a whole CBOR value, or nested too deeply");
  }
  const json fields = json::from_cbor(aBytes, true, false);
  if (!fields.is_object()) {
    return Malformed("not a CBOR map");
  }
  try {
    return FromJson(fields);
  } catch (const json::exception& failure) {
    return Malformed(failure.what());
  }
}

} // namespace mangospan::wire
