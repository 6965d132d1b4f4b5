#include "Core/Control/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

#include "Core/Common/build_info.h"

namespace primrosecove {

Metrics::Metrics() {
  BuildInfo build = GetBuildInfo();
  AddGauge("primrosecove_build_info", "1, with the identity of the build.",
           {{"version", build.version},
            {"commit", build.commit},
            {"sources", build.sources},
            {"compiler", build.compiler},
            {"arch", build.architecture},
            {"build", build.type}},
           [] { return 1.0; });
  AddGauge("primrosecove_resident_bytes", "Resident memory of the process.", {},
           [] { return static_cast<double>(ResidentBytes()); });
  AddCounter("primrosecove_processor_seconds_total", "Processor time used.", {},
             [] { return ProcessorSeconds(); });
}

void Metrics::AddCounter(const std::string& name, const std::string& help,
                         const Labels& labels, Reader read) {
  auto& family =
      prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
  counters_.push_back({&family.Add(labels), std::move(read)});
}

void Metrics::AddGauge(const std::string& name, const std::string& help,
                       const Labels& labels, Reader read) {
  auto& family =
      prometheus::BuildGauge().Name(name).Help(help).Register(registry_);
  gauges_.push_back({&family.Add(labels), std::move(read)});
}

prometheus::Histogram* Metrics::AddHistogram(const std::string& name,
                                             const std::string& help) {
  // From the typical response time of a plain service to the longest deadline,
  // in steps of factor 1.25 to 2.5.
  const prometheus::Histogram::BucketBoundaries bounds = {
      0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 6};
  auto& family =
      prometheus::BuildHistogram().Name(name).Help(help).Register(registry_);
  return &family.Add({}, bounds);
}

std::string Metrics::Render() {
  for (const CounterEntry& it : counters_) {
    double increase = it.read() - it.counter->Value();
    if (increase > 0) it.counter->Increment(increase);
  }
  for (const GaugeEntry& it : gauges_) it.gauge->Set(it.read());
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

uint64_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  uint64_t total = 0;
  uint64_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

double ProcessorSeconds() {
  constexpr double kMicrosecond = 1e-6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& tv) {
    return static_cast<double>(tv.tv_sec) +
           static_cast<double>(tv.tv_usec) * kMicrosecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace primrosecove
