#include "review/standins-2/store_gate.h"

#include <chrono>
#include <utility>

#include "mangospan/http/message.h"

namespace mangospan::review {

namespace {

// Longer than any node waits for the store.
constexpr std::chrono::milliseconds kTimeout{ 40'000 };

} // namespace

store_gate::store_gate(boost::asio::io_context& aIo, std::string aStoreAddress)
  : mIo(aIo)
  , mClient(aIo, {})
  , mStoreAddress(std::move(aStoreAddress))
{
}

status
store_gate::Open()
{
  mServer = std::make_unique<http::server>(
    mIo,
    http::server_options{},
    [weak = weak_from_this()](const http::request& aRequest,
                              const http::responder& aRespond) {
      if (const auto self = weak.lock()) {
        self->PassOn(aRequest, aRespond);
      }
    });
  const bool isFirst = mAddress.empty();
  BOOST_OUTCOME_TRYV(
    mServer->Listen(isFirst ? std::string("127.0.0.1:0") : mAddress));
  if (isFirst) {
    mAddress = "127.0.0.1:" + std::to_string(mServer->Port());
  }
  return boost::outcome_v2::success();
}

void
store_gate::Cut()
{
  mServer.reset();
}

void
store_gate::PassOn(const http::request& aRequest,
                   const http::responder& aRespond)
{
  http::request call;
  call.mMethod = aRequest.mMethod;
  call.mTarget = aRequest.mTarget;
  call.mBody = aRequest.mBody;
  call.Set("Content-Type", "application/json");
  mClient.Send(mStoreAddress,
               std::move(call),
               kTimeout,
               [aRespond](const result<http::response>& aResult) {
                 aRespond(aResult.has_value() ? aResult.assume_value()
                                              : http::JsonResponse(503, "{}"));
               });
}

} // namespace mangospan::review
