// Calls with an API key while nodes lose the store, in virtual time and over
// whole nodes.
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "mangospan/node/testing/virtual_cluster.h"

namespace mangospan::node {
namespace {

using customers::key_verdict;
using std::chrono::milliseconds;
using testing::virtual_cluster;
using verdicts = std::map<key_verdict, std::size_t>;

const std::string kService = "drafts";
const std::vector<std::string> kZones{ "a", "b", "c" };
constexpr std::size_t kNodes = virtual_cluster::kNodesPerZone;
constexpr milliseconds kKnownWithin{ 3'000 }; // a new key, on all nodes

class key_revocation_test : public ::testing::Test
{
protected:
  key_revocation_test()
  {
    mCluster.SetKeys({ "first" });
    mCluster.RunFor(milliseconds(6'000));
  }

  verdicts Check(const std::string& aZone, const std::string& aKey)
  {
    return mCluster.CheckKey(aZone, kService, aKey);
  }

  virtual_cluster mCluster{ kZones, { kService } };
};

// Guards against nodes that go on accepting keys while the store can not tell
// them of a revocation, and against nodes that do not recover.
TEST_F(key_revocation_test, NoKeyIsAcceptedWhileTheStoreIsSilentForLong)
{
  for (const std::string& each : kZones) {
    ASSERT_EQ(Check(each, "first"),
              (verdicts{ { key_verdict::kAccepted, kNodes } }));
    ASSERT_EQ(Check(each, ""),
              (verdicts{ { key_verdict::kMissingKey, kNodes } }));
  }
  mCluster.SetStoreSilent(true);
  mCluster.RunFor(virtual_cluster::kRevocationBound * 6 / 10);
  for (const std::string& each : kZones) {
    for (const char* key : { "first", "unknown", "" }) {
      EXPECT_EQ(Check(each, key),
                (verdicts{ { key_verdict::kStaleConfiguration, kNodes } }))
        << each << " " << key;
    }
  }
  mCluster.SetStoreSilent(false);
  mCluster.RunFor(virtual_cluster::kMinRetryAfter);
  for (const std::string& each : kZones) {
    EXPECT_EQ(Check(each, "first"),
              (verdicts{ { key_verdict::kAccepted, kNodes } }));
  }
}

// Guards against a revoked key that a node accepts which does not learn of the
// revocation, and against a new key that is denied.
TEST_F(key_revocation_test, RevokedKeyIsRefusedAlsoByNodesThatAreCutOff)
{
  for (int i = 0; i < 10; ++i) {
    const std::string before = i == 0 ? "first" : "key-" + std::to_string(i);
    const std::string added = "key-" + std::to_string(i + 1);
    mCluster.SetCut("a", true);
    mCluster.RunFor(milliseconds(130 * i));
    mCluster.SetKeys({ added });
    for (milliseconds age{ 0 }; age < milliseconds(8'000);
         age += milliseconds(50)) {
      for (const std::string& each : kZones) {
        const verdicts ofOld = Check(each, before);
        if (age >= virtual_cluster::kRevocationBound) {
          ASSERT_EQ(ofOld.count(key_verdict::kAccepted), 0U)
            << each << " after " << age.count() << " ms";
        }
        if (age >= kKnownWithin) {
          ASSERT_EQ(Check(each, added),
                    (verdicts{ { each == "a" ? key_verdict::kStaleConfiguration
                                             : key_verdict::kAccepted,
                                 kNodes } }))
            << each << " after " << age.count() << " ms";
        }
      }
      mCluster.RunFor(milliseconds(50));
    }
    mCluster.SetCut("a", false);
    mCluster.RunFor(milliseconds(6'000));
    ASSERT_EQ(Check("a", added),
              (verdicts{ { key_verdict::kAccepted, kNodes } }));
  }
}

} // namespace
} // namespace mangospan::node
