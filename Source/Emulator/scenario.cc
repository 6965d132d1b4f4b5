#include "Emulator/scenario.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "Core/Config/yaml_reader.h"
#include "Core/Fleet/admission.h"
#include "Emulator/silence_policy.h"

namespace primrosecove {
namespace {

constexpr double kMaxNumber = 1e9;
constexpr double kMsPerSecond = 1000;
constexpr uint32_t kMaxCount = 100'000;

const std::vector<std::string_view>& IncidentNames() {
  static const std::vector<std::string_view> kNames = {
      "burst", "shift",   "leave", "crash", "slow",
      "join",  "version", "drain", "limit", "stall"};
  return kNames;
}

void ReadCount(YamlMapReader* reader, std::string_view key, uint32_t minimum,
               int* out) {
  auto value = static_cast<uint32_t>(*out);
  reader->ReadU32(key, &value, minimum, kMaxCount);
  *out = static_cast<int>(value);
}

void ReadMilliseconds(YamlMapReader* reader, std::string_view key,
                      Milliseconds* out) {
  double value = static_cast<double>(out->count());
  reader->ReadDouble(key, &value, 0, kMaxNumber);
  *out = Milliseconds(static_cast<int64_t>(value));
}

SizeDistribution ReadSizeDistribution(const YAML::Node& node,
                                      YamlErrors* errors) {
  SizeDistribution out;
  YamlMapReader reader(node, "size", errors);
  reader.ReadDouble("mean", &out.mean, 0, kMaxNumber);
  reader.ReadDouble("variation", &out.variation, 0, kMaxNumber);
  reader.ReadDouble("most", &out.upper_limit, 0, kMaxNumber);
  reader.ReportUnknownKeys();
  return out;
}

RequestClass ReadClass(const YAML::Node& node, YamlErrors* errors) {
  RequestClass out;
  YamlMapReader reader(node, "class", errors);
  reader.ReadRequiredText("name", &out.name);
  reader.ReadDouble("per_second", &out.per_second, 0, kMaxNumber);
  reader.ReadSection("prompt_tokens", [&](const YAML::Node& it) {
    out.prompt = ReadSizeDistribution(it, errors);
  });
  reader.ReadSection("events", [&](const YAML::Node& it) {
    out.events = ReadSizeDistribution(it, errors);
  });
  ReadMilliseconds(&reader, "target_ms", &out.target);
  ReadMilliseconds(&reader, "pause_ms", &out.max_event_gap);
  ReadMilliseconds(&reader, "patience_ms", &out.patience);
  reader.ReadDouble("worth", &out.utility, 0, kMaxNumber);
  reader.ReadDouble("late_worth", &out.late_utility, 0, kMaxNumber);
  ReadCount(&reader, "returns", 0, &out.max_retries);
  reader.ReportUnknownKeys();
  return out;
}

EmulatedZone ReadZone(const YAML::Node& node, YamlErrors* errors) {
  EmulatedZone out;
  YamlMapReader reader(node, "zone", errors);
  reader.ReadRequiredText("name", &out.name);
  reader.ReadText("region", &out.region);
  ReadCount(&reader, "routers", 1, &out.routers);
  ReadCount(&reader, "engines", 0, &out.engines);
  reader.ReadDouble("share", &out.share, 0, kMaxNumber);
  reader.ReportUnknownKeys();
  return out;
}

Incident ReadIncident(const YAML::Node& node, YamlErrors* errors) {
  Incident out;
  size_t kind = 0;
  YamlMapReader reader(node, "incident", errors);
  reader.ReadChoice("kind", IncidentNames(), &kind);
  out.kind = static_cast<Incident::Kind>(kind);
  reader.ReadDouble("at_s", &out.at_s, 0, kMaxNumber);
  reader.ReadDouble("for_s", &out.duration_s, 0, kMaxNumber);
  reader.ReadDouble("share", &out.share, 0, 1);
  reader.ReadDouble("factor", &out.factor, 0, kMaxNumber);
  reader.ReadText("class", &out.request_class);
  static const std::vector<std::string_view> kAgents = {"still", "reports"};
  size_t agent = 0;
  reader.ReadChoice("agent", kAgents, &agent);
  out.stalled_agent = static_cast<Incident::StalledAgent>(agent);
  reader.ReportUnknownKeys();
  return out;
}

TrafficStep ReadTrafficStep(const YAML::Node& node, YamlErrors* errors) {
  TrafficStep out;
  YamlMapReader reader(node, "traffic step", errors);
  reader.ReadDouble("at_s", &out.at_s, 0, kMaxNumber);
  reader.ReadDouble("factor", &out.factor, 0, kMaxNumber);
  reader.ReportUnknownKeys();
  return out;
}

EngineProfile ReadEngine(const YAML::Node& node, YamlErrors* errors) {
  EngineProfile out;
  YamlMapReader reader(node, "engine", errors);
  ReadCount(&reader, "slots", 1, &out.slots);
  double cache_tokens = 0;
  reader.ReadDouble("cache_tokens", &cache_tokens, 0, kMaxNumber);
  out.kv_cache_tokens = static_cast<int64_t>(cache_tokens);
  ReadCount(&reader, "steps_per_pass", 1, &out.steps_per_iteration);
  reader.ReadDouble("step_ms", &out.step_ms, 0, kMaxNumber);
  reader.ReadDouble("sequence_ms", &out.sequence_ms, 0, kMaxNumber);
  reader.ReadDouble("context_ms_per_k", &out.context_ms_per_k, 0, kMaxNumber);
  reader.ReadDouble("prefill_tokens_per_s", &out.prefill_tokens_per_s, 0,
                    kMaxNumber);
  reader.ReadDouble("pair_ms_per_million", &out.attention_ms_per_million_pairs,
                    0, kMaxNumber);
  ReadCount(&reader, "prefill_chunk_tokens", 0, &out.prefill_chunk_tokens);
  ReadMilliseconds(&reader, "report_lag_ms", &out.status_lag);
  reader.ReportUnknownKeys();
  return out;
}

template <typename T>
void ReadList(YamlMapReader* reader, std::string_view key, YamlErrors* errors,
              T (*read)(const YAML::Node&, YamlErrors*), std::vector<T>* out) {
  reader->ReadSequence(
      key, [=](const YAML::Node& it) { out->push_back(read(it, errors)); });
}

Scenario ReadScenario(const YAML::Node& node, YamlErrors* errors) {
  Scenario out;
  YamlMapReader reader(node, "scenario", errors);
  reader.ReadRequiredText("name", &out.name);
  reader.ReadDouble("seconds", &out.seconds, 1, kMaxNumber);
  reader.ReadSection("engine", [&](const YAML::Node& it) {
    out.engine = ReadEngine(it, errors);
  });
  ReadCount(&reader, "engine_queue", 0, &out.engine_queue);
  reader.ReadDouble("copy_ms", &out.copy_ms, 0, kMaxNumber);
  reader.ReadDouble("warm_up_ms", &out.warm_up_ms, 0, kMaxNumber);
  reader.ReadDouble("version_bound_ms", &out.version_bound_ms, 0, kMaxNumber);
  reader.ReadDouble("zone_delay_ms", &out.zone_delay_ms, 0, kMaxNumber);
  reader.ReadDouble("region_delay_ms", &out.region_delay_ms, 0, kMaxNumber);
  reader.ReadDouble("caller_delay_ms", &out.caller_delay_ms, 0, kMaxNumber);
  reader.ReadDouble("report_interval_ms", &out.status_interval_ms, 1,
                    kMaxNumber);
  ReadCount(&reader, "tokens_per_event", 1, &out.tokens_per_event);
  ReadCount(&reader, "workspaces", 1, &out.workspaces);
  reader.ReadText("silence_policy", &out.silence_policy);
  ReadList(&reader, "zones", errors, ReadZone, &out.zones);
  ReadList(&reader, "classes", errors, ReadClass, &out.classes);
  ReadList(&reader, "traffic", errors, ReadTrafficStep, &out.traffic);
  ReadList(&reader, "incidents", errors, ReadIncident, &out.incidents);
  if (out.zones.empty()) reader.AddError("no zones");
  if (out.classes.empty()) reader.AddError("no classes");
  if (MakeSilencePolicy(out.silence_policy) == nullptr) {
    reader.AddError("unknown silence_policy \"" + out.silence_policy + "\"");
  }
  reader.ReportUnknownKeys();
  return out;
}

}  // namespace

Result<Scenario> Scenario::Parse(const std::string& file,
                                 const std::string& text) {
  YamlErrors errors(file);
  YAML::Node node;
  try {
    node = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    return Fail(ErrorCode::kInvalidArgument, file + ": " + e.what());
  }
  Scenario out = ReadScenario(node, &errors);
  if (!errors.empty()) return Fail(ErrorCode::kInvalidArgument, errors.Join());
  return out;
}

Result<Scenario> Scenario::Load(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Fail(ErrorCode::kNotFound, "can't read " + path);
  std::stringstream text;
  text << file.rdbuf();
  return Parse(path, text.str());
}

double Scenario::PeakLoad() const {
  double demanded_ms = 0;
  for (const RequestClass& it : classes) {
    demanded_ms +=
        it.per_second *
        EngineTimeMs(engine, it.prompt.mean, it.events.mean * tokens_per_event);
  }
  double factor = traffic.empty() ? 1 : 0;
  for (const TrafficStep& it : traffic) factor = std::max(factor, it.factor);
  int engines = 0;
  for (const EmulatedZone& it : zones) engines += it.engines;
  return demanded_ms * factor / (std::max(engines, 1) * kMsPerSecond);
}

double EngineTimeMs(const EngineProfile& engine, double prompt_tokens,
                    double output_tokens) {
  constexpr double kTokensPerK = 1000;
  double slots = std::max(engine.slots, 1);
  double context = slots * (prompt_tokens + output_tokens / 2);
  double step = engine.step_ms + engine.sequence_ms * slots +
                engine.context_ms_per_k * context / kTokensPerK;
  return PrefillMs(engine, static_cast<int64_t>(prompt_tokens)) +
         step * output_tokens / slots;
}

}  // namespace primrosecove
