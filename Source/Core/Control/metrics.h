// Metrics of a process in the Prometheus text format.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace primrosecove {

/// Registers metrics whose values are read when Render is called, so that
/// counting costs one addition. Not thread safe.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;
  using Reader = std::function<double()>;

  Metrics();
  /// Adds a counter with the value of `read`, which must never decrease.
  void AddCounter(const std::string& name, const std::string& help,
                  const Labels& labels, Reader read);
  /// Adds a gauge with the value of `read`.
  void AddGauge(const std::string& name, const std::string& help,
                const Labels& labels, Reader read);
  /// Adds a histogram of seconds, in which the caller records observations. It
  /// is valid for the lifetime of this object.
  prometheus::Histogram* AddHistogram(const std::string& name,
                                      const std::string& help);
  /// Returns all metrics in the Prometheus text format.
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

/// Returns the resident memory of this process in bytes, or 0 if /proc is not
/// readable.
/// Thread safe.
uint64_t ResidentBytes();
/// Returns the user and system CPU time of this process in seconds. Thread
/// safe.
double ProcessorSeconds();

}  // namespace primrosecove
