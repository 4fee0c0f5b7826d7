#include "mangospan/node/job_http.h"

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace mangospan::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Answers every request with the same status and body.
class fixed_peer
{
public:
  fixed_peer(boost::asio::io_context& aIo, int aStatus, std::string aBody)
    : mServer(
        aIo,
        {},
        [aStatus, body = std::move(aBody)](const http::request& /*aRequest*/,
                                           const http::responder& aRespond) {
          aRespond(http::JsonResponse(aStatus, body));
        })
  {
    EXPECT_TRUE(mServer.Listen("127.0.0.1:0").has_value());
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mServer.Port());
  }

private:
  http::server mServer;
};

// Takes every job.
class recording_service final : public job_service
{
public:
  void Submit(const jobs::job_name& aJob,
              const jobs::job_spec& /*aSpec*/,
              milliseconds /*aTimeout*/,
              reply_handler aHandler) override
  {
    mSubmitted = aJob.Str();
    Confirm(aHandler);
  }
  void Cancel(const jobs::job_name& /*aJob*/,
              milliseconds /*aTimeout*/,
              reply_handler aHandler) override
  {
    Confirm(aHandler);
  }
  void Read(const jobs::job_name& /*aJob*/,
            milliseconds /*aTimeout*/,
            reply_handler aHandler) override
  {
    Confirm(aHandler);
  }
  void CountWaiting(const jobs::queue_name& /*aQueue*/,
                    milliseconds /*aTimeout*/,
                    reply_handler aHandler) override
  {
    Confirm(aHandler);
  }

  std::string mSubmitted;

private:
  static void Confirm(const reply_handler& aHandler)
  {
    job_reply reply;
    reply.mKind = reply_kind::kOk;
    aHandler(reply);
  }
};

job_reply
ReadFrom(int aStatus, const std::string& aBody)
{
  boost::asio::io_context io;
  const fixed_peer peer(io, aStatus, aBody);
  http::client client(io, {});
  remote_job_service owner(client, peer.Address(), service_name{ "survey" });
  std::optional<job_reply> reply;
  owner.Read(jobs::job_name{ "a1" }, seconds(5), [&](const job_reply& aReply) {
    reply = aReply;
  });
  while (!reply) {
    io.run_one();
  }
  return *reply;
}

int
StatusOfPost(const std::string& aPath,
             const std::string& aBody,
             job_service& aService)
{
  http::request request;
  request.mMethod = "POST";
  request.mTarget = aPath;
  request.mBody = aBody;
  int status = 0;
  ServeJobs(request, aService, [&status](const http::response& aResponse) {
    status = aResponse.mStatus;
  });
  return status;
}

TEST(remote_job_service_test, ReplyIsRead)
{
  const job_reply reply = ReadFrom(200, R"({"state":"running"})");
  EXPECT_EQ(reply.mKind, reply_kind::kOk);
  EXPECT_EQ(reply.mJobState, jobs::job_state::kRunning);
}

// Another node may be of another version, or at fault. Its answer must not end
// this one, and says nothing of the job.
TEST(remote_job_service_test, MalformedReplyIsUnknown)
{
  for (const char* const each : { "",
                                  "{",
                                  "[]",
                                  R"({"state":7})",
                                  R"({"state":null})",
                                  R"({"waiting":"many"})",
                                  R"({"retry_after_ms":{}})",
                                  R"({"reason":["full"]})" }) {
    EXPECT_EQ(ReadFrom(200, each).mKind, reply_kind::kUnknown) << each;
    EXPECT_EQ(ReadFrom(503, each).mKind, reply_kind::kUnknown) << each;
  }
}

TEST(serve_jobs_test, MalformedSpecificationIsRefused)
{
  recording_service service;
  for (const char* const each :
       { "", "{", "[]", "\xff\xfe", "{\"a\":\"\xc3" }) {
    EXPECT_EQ(StatusOfPost("/mangospan/v1/jobs/a1", each, service), 400);
  }
  EXPECT_EQ(service.mSubmitted, "");
}

// A name that is no text could not be written to the store.
TEST(serve_jobs_test, NameThatIsNoTextIsRefused)
{
  recording_service service;
  const std::string spec = R"({"queue":"q","payload":"","steps":[{"tasks":1,)"
                           R"("cpu":100,"memory_mb":64,"estimate_ms":10}]})";
  EXPECT_EQ(StatusOfPost("/mangospan/v1/jobs/\xff", spec, service), 400);
  EXPECT_EQ(StatusOfPost("/mangospan/v1/jobs/", spec, service), 400);
  EXPECT_EQ(service.mSubmitted, "");
  EXPECT_EQ(StatusOfPost("/mangospan/v1/jobs/a1", spec, service), 200);
  EXPECT_EQ(service.mSubmitted, "a1");
}

} // namespace
} // namespace mangospan::node
