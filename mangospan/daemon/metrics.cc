#include "mangospan/daemon/metrics.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace mangospan::daemon {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.9, 0.99 };

// The P-square method keeps a few markers in place of the samples.
using accumulator = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

// The method's markers mean nothing before it has seen one sample for each, so
// the first samples are kept and ranked.
class distribution
{
public:
  void Add(double aSample)
  {
    mAccumulator(aSample);
    if (mFirst.size() < kMinSamples) {
      mFirst.push_back(aSample);
      std::sort(mFirst.begin(), mFirst.end());
    }
  }

  std::size_t Count() const { return acc::count(mAccumulator); }
  double Sum() const { return acc::sum(mAccumulator); }

  double Quantile(std::size_t aIndex) const
  {
    if (Count() > kMinSamples) {
      return acc::extended_p_square(
        mAccumulator)[static_cast<std::ptrdiff_t>(aIndex)];
    }
    const double rank =
      std::ceil(kQuantiles[aIndex] * static_cast<double>(mFirst.size()));
    return mFirst[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
  }

private:
  static constexpr std::size_t kMinSamples = 2 * kQuantiles.size() + 3;

  accumulator mAccumulator{ acc::extended_p_square_probabilities = kQuantiles };
  std::vector<double> mFirst; // sorted
};

// The shortest text that reads back as the same number.
std::string
Number(double aValue)
{
  std::array<char, 32> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aValue).ptr;
  return std::string(text.data(), end);
}

// The text form's escapes for label values and help texts.
std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (const char c : aText) {
    if (c == '\n') {
      escaped += "\\n";
    } else if (c == '\\' || c == '"') {
      escaped += '\\';
      escaped += c;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string
LabelText(const metric_labels& aLabels)
{
  std::string text;
  for (const auto& [key, value] : aLabels) {
    text.append(text.empty() ? "" : ",").append(key);
    text.append("=\"").append(Escape(value)).append("\"");
  }
  return text;
}

std::string
Braced(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

// All series of one name, by their labels. Only the map of the family's kind
// is filled.
struct family
{
  const char* mType = "untyped";
  std::string mHelp;
  std::map<std::string, double> mValues;
  std::map<std::string, distribution> mDistributions;
};

std::string
RenderDistribution(const std::string& aName,
                   const std::string& aLabels,
                   const distribution& aDistribution)
{
  std::string text;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    text.append(aName).append("{").append(aLabels);
    text.append(aLabels.empty() ? "" : ",").append("quantile=\"");
    text.append(Number(kQuantiles[i])).append("\"} ");
    text.append(Number(aDistribution.Quantile(i))).append("\n");
  }
  text +=
    aName + "_sum" + Braced(aLabels) + " " + Number(aDistribution.Sum()) + "\n";
  return text + aName + "_count" + Braced(aLabels) + " " +
         std::to_string(aDistribution.Count()) + "\n";
}

std::string
RenderFamily(const std::string& aName, const family& aFamily)
{
  std::string text;
  if (!aFamily.mHelp.empty()) {
    text += "# HELP " + aName + " " + aFamily.mHelp + "\n";
  }
  text += "# TYPE " + aName + " " + aFamily.mType + "\n";
  for (const auto& [labels, value] : aFamily.mValues) {
    text += aName + Braced(labels) + " " + Number(value) + "\n";
  }
  for (const auto& [labels, samples] : aFamily.mDistributions) {
    text += RenderDistribution(aName, labels, samples);
  }
  return text;
}

} // namespace

class metrics::impl
{
public:
  family& Get(std::string_view aName) { return mFamilies[std::string(aName)]; }

  family& Get(std::string_view aName, const char* aType)
  {
    family& found = Get(aName);
    found.mType = aType;
    return found;
  }

  std::string Render() const
  {
    std::string text;
    for (const auto& [name, each] : mFamilies) {
      text += RenderFamily(name, each);
    }
    return text;
  }

private:
  std::map<std::string, family> mFamilies;
};

metrics::metrics()
  : mImpl(std::make_unique<impl>())
{
}

metrics::~metrics() = default;

void
metrics::Describe(std::string_view aName, std::string_view aHelp)
{
  mImpl->Get(aName).mHelp = Escape(aHelp);
}

void
metrics::Add(std::string_view aName, const metric_labels& aLabels, double aBy)
{
  mImpl->Get(aName, "counter").mValues[LabelText(aLabels)] += aBy;
}

void
metrics::Set(std::string_view aName,
             const metric_labels& aLabels,
             double aValue)
{
  mImpl->Get(aName, "gauge").mValues[LabelText(aLabels)] = aValue;
}

void
metrics::Observe(std::string_view aName,
                 const metric_labels& aLabels,
                 double aValue)
{
  mImpl->Get(aName, "summary").mDistributions[LabelText(aLabels)].Add(aValue);
}

std::string
metrics::Render() const
{
  return mImpl->Render();
}

} // namespace mangospan::daemon
