// A process's metrics page.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace primrosecove {

/// Registers values that are read when the page is asked for, so that counting
/// costs nothing but an addition. Not thread safe.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;
  using Reader = std::function<double()>;

  Metrics();
  /// Adds a counter that `read` returns; it must never go down.
  void AddCounter(const std::string& name, const std::string& help,
                  const Labels& labels, Reader read);
  /// Adds a gauge that `read` returns.
  void AddGauge(const std::string& name, const std::string& help,
                const Labels& labels, Reader read);
  /// Adds a histogram of seconds; the caller observes values in it. It lives
  /// as long as this object.
  prometheus::Histogram* AddHistogram(const std::string& name,
                                      const std::string& help);
  /// The page in the Prometheus text format.
  std::string Render();

 private:
  struct CounterEntry {
    prometheus::Counter* counter;
    Reader read;
  };
  struct GaugeEntry {
    prometheus::Gauge* gauge;
    Reader read;
  };
  prometheus::Registry registry_;
  std::vector<CounterEntry> counters_;
  std::vector<GaugeEntry> gauges_;
};

/// Resident memory of this process in bytes, or 0 when the system does not say.
/// Thread safe.
uint64_t ResidentBytes();
/// Processor time that this process has used, in seconds. Thread safe.
double ProcessorSeconds();

}  // namespace primrosecove
