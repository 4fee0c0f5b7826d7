// A record format for tests.
#ifndef MANGOSPAN_NODE_TESTING_RUNNER_RECORDS_H
#define MANGOSPAN_NODE_TESTING_RUNNER_RECORDS_H

#include <map>
#include <optional>
#include <string>

#include "mangospan/node/ports.h"

namespace mangospan::node::testing {

// A record format with runner records and, if `mCatalog` is set, the catalog.
// Ignores the text of a record: the content comes from `mInfos` and `mCatalog`.
class runner_records final : public record_format
{
public:
  std::string OperatorPrefix() const override { return "operators/"; }
  std::string RunnerPrefix() const override { return "runners/"; }
  bool IsCatalog(std::string_view aKey) const override
  {
    return mCatalog && aKey == CatalogKey();
  }
  std::string CatalogKey() const { return OperatorPrefix() + "catalog"; }
  bool IsWave(std::string_view /*aKey*/) const override { return false; }
  result<jobs::catalog> DecodeCatalog(std::string_view /*aText*/) const override
  {
    return mCatalog.value_or(jobs::catalog{});
  }
  result<wave_request> DecodeWave(std::string_view /*aText*/) const override
  {
    return wave_request{};
  }
  result<jobs::runner_info> DecodeRunner(
    std::string_view aKey,
    std::string_view /*aText*/) const override
  {
    const auto found = mInfos.find(
      jobs::runner_name{ std::string(aKey.substr(RunnerPrefix().size())) });
    if (found == mInfos.end()) {
      return error{
        error_code::kNotFound, "runner.decode", std::string(aKey), "unknown"
      };
    }
    return found->second;
  }
  std::string WaveStatusKey(std::uint64_t aWave) const override
  {
    return "waves/" + std::to_string(aWave);
  }
  std::string EncodeWaveStatus(std::uint64_t /*aWave*/,
                               bool aIsCompleted) const override
  {
    return aIsCompleted ? "completed" : "running";
  }

  std::map<jobs::runner_name, jobs::runner_info> mInfos;
  std::optional<jobs::catalog> mCatalog;
};

} // namespace mangospan::node::testing

#endif // MANGOSPAN_NODE_TESTING_RUNNER_RECORDS_H
