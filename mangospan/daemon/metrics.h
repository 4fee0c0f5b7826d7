// Counters, gauges and distributions, in the Prometheus text form.
//
//   daemon::metrics metrics;
//   metrics.Add("mangospan_requests_total", { { "class", "survey" } });
//   metrics.Observe("mangospan_latency_seconds", {}, 0.012);
//   std::string text = metrics.Render();
#ifndef MANGOSPAN_DAEMON_METRICS_H
#define MANGOSPAN_DAEMON_METRICS_H

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangospan::daemon {

using metric_labels = std::vector<std::pair<std::string, std::string>>;

class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Sets the help text and makes the name appear in the output; optional.
  void Describe(std::string_view aName, std::string_view aHelp);

  // Adds to a counter, which starts at zero.
  void Add(std::string_view aName,
           const metric_labels& aLabels,
           double aBy = 1);

  // Sets a gauge.
  void Set(std::string_view aName, const metric_labels& aLabels, double aValue);

  // Adds a sample to a distribution: count, sum, and the quantiles 0.5, 0.9
  // and 0.99 of all samples.
  void Observe(std::string_view aName,
               const metric_labels& aLabels,
               double aValue);

  // Every metric in the Prometheus text form, sorted by name.
  std::string Render() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace mangospan::daemon

#endif // MANGOSPAN_DAEMON_METRICS_H
