#include "mangospan/request/internal/classifier.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace mangospan::request {
namespace {

config::work_class
Class(const std::string& aName,
      const std::string& aPrefix,
      std::vector<std::string> aMethods = {})
{
  config::work_class made;
  made.mName = class_name(aName);
  made.mMatch = { service_name("permits"), aPrefix, std::move(aMethods) };
  made.mTarget.mWithin = std::chrono::seconds(2);
  return made;
}

config::document
Document()
{
  config::document document;
  document.mPools.emplace_back();
  document.mPools.back().mService = service_name("permits");
  document.mClasses = { Class("any", ""),
                        Class("filing", "/file"),
                        Class("filing-read", "/file", { "GET" }),
                        Class("ministry", "/file/ministry") };
  document.mClasses.back().mIdempotent = true;
  return document;
}

std::string
ClassOf(const std::string& aMethod, const std::string& aPath)
{
  const classifier classes(Document());
  arrival request;
  request.mService = service_name("permits");
  request.mMethod = aMethod;
  request.mPath = aPath;
  return classes.Classify(request).mWorkClass->mName.Str();
}

TEST(Classifier, TheLongestMatchingPrefixWinsThenTheFirstConfigured)
{
  EXPECT_EQ(ClassOf("POST", "/draft"), "any");
  EXPECT_EQ(ClassOf("POST", "/file"), "filing");
  EXPECT_EQ(ClassOf("GET", "/file/7"), "filing");
  EXPECT_EQ(ClassOf("GET", "/file/ministry/7"), "ministry");
  EXPECT_EQ(ClassOf("GET", "/filed"), "any");
}

TEST(Classifier, ANamedClassMustBelongToTheService)
{
  const classifier classes(Document());
  arrival request;
  request.mService = service_name("permits");
  request.mMethod = "POST";
  request.mPath = "/draft";
  request.mClass = class_name("ministry");
  EXPECT_EQ(classes.Classify(request).mWorkClass->mName,
            class_name("ministry"));
  request.mClass = class_name("none such");
  EXPECT_EQ(classes.Classify(request).mWorkClass, nullptr);
  EXPECT_EQ(classes.Classify(request).mRefusalCode, refusal_code::kNoSuchClass);
  request.mService = service_name("royalties");
  EXPECT_EQ(classes.Classify(request).mRefusalCode,
            refusal_code::kNoSuchService);
}

TEST(Classifier, IdempotencyFollowsTheHttpMethodUnlessTheClassSetsIt)
{
  const classifier classes(Document());
  arrival request;
  request.mService = service_name("permits");
  request.mPath = "/file";
  for (const char* method : { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" }) {
    request.mMethod = method;
    EXPECT_TRUE(classes.Classify(request).mIdempotent) << method;
  }
  for (const char* method : { "POST", "PATCH", "get", "BREW" }) {
    request.mMethod = method;
    EXPECT_FALSE(classes.Classify(request).mIdempotent) << method;
  }
  request.mPath = "/file/ministry";
  EXPECT_TRUE(classes.Classify(request).mIdempotent);
}

TEST(Classifier, AServiceWithoutClassesHasADefaultClass)
{
  config::document document = Document();
  document.mClasses.clear();
  const classifier classes(document);
  arrival request;
  request.mService = service_name("permits");
  request.mPath = "/x";
  EXPECT_EQ(classes.Classify(request).mWorkClass->mName,
            class_name("permits.default"));
}

} // namespace
} // namespace mangospan::request
