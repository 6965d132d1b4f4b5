#include "Core/Config/diff.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace primrosecove {
namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

std::string FormatNumber(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

Fields FieldsOf(const Place& it) {
  return {{"region", it.region}, {"failure_domain", it.failure_domain}};
}

Fields FieldsOf(const Upstream& it) {
  return {{"service", it.service}, {"place", it.place}};
}

Fields FieldsOf(const Service& it) {
  Fields out = {
      {"kind", it.kind == ServiceKind::kEngine ? "engine" : "plain"},
      {"reports_load", it.reports_load ? "true" : "false"},
      {"path_prefix", it.path_prefix},
      {"concurrency", std::to_string(it.concurrency)},
      {"queue", std::to_string(it.queue)},
      {"first_token_ms", std::to_string(it.objectives.first_token_ms)},
      {"token_gap_ms", std::to_string(it.objectives.token_gap_ms)},
      {"latency_share", FormatNumber(it.objectives.latency_share)},
      {"availability_share", FormatNumber(it.objectives.availability_share)}};
  std::string rules;
  for (const NonIdempotentRule& rule : it.non_idempotent) {
    rules += (rules.empty() ? "" : ", ") + rule.method + " " + rule.path_prefix;
  }
  out.emplace_back("non_idempotent", rules);
  return out;
}

Fields FieldsOf(const Model& it) {
  Fields out = {{"service", it.service},
                {"version", it.version},
                {"replicas", std::to_string(it.replicas)},
                {"max_out", std::to_string(it.max_unavailable)},
                {"time_to_serve_s", std::to_string(it.time_to_serve_s)}};
  for (const ModelVersion& version : it.versions) {
    out.emplace_back("versions." + version.name, version.manifest.ShortHex());
  }
  for (const Adapter& adapter : it.adapters) {
    out.emplace_back("adapters." + adapter.name, adapter.manifest.ShortHex());
  }
  return out;
}

Fields FieldsOf(const Workspace& it) {
  return {{"requests_per_second", FormatNumber(it.requests_per_second)},
          {"requests_in_flight", std::to_string(it.requests_in_flight)},
          {"tokens_in_flight", std::to_string(it.tokens_in_flight)},
          {"weight", std::to_string(it.weight)},
          {"priority", std::to_string(it.priority)}};
}

const std::string* FindField(const Fields& fields, const std::string& name) {
  for (const auto& it : fields) {
    if (it.first == name) return &it.second;
  }
  return nullptr;
}

void CompareFields(const std::string& what, const Fields& before,
                   const Fields& after, std::vector<std::string>* out) {
  for (const auto& [name, value] : after) {
    const std::string* previous = FindField(before, name);
    if (previous == nullptr) {
      out->push_back(what + ": " + name + " added (" + value + ")");
    } else if (*previous != value) {
      out->push_back(what + ": " + name + " " + *previous + " -> " + value);
    }
  }
  for (const auto& [name, value] : before) {
    if (FindField(after, name) == nullptr)
      out->push_back(what + ": " + name + " removed");
  }
}

template <typename T>
const T* FindByName(const std::vector<T>& items, const std::string& name) {
  auto it = std::find_if(items.begin(), items.end(),
                         [&](const T& i) { return i.name == name; });
  return it == items.end() ? nullptr : &*it;
}

template <typename T>
void CompareItems(const char* kind, const std::vector<T>& before,
                  const std::vector<T>& after, std::vector<std::string>* out) {
  for (const T& it : after) {
    std::string what = std::string(kind) + " " + it.name;
    const T* previous = FindByName(before, it.name);
    if (previous == nullptr) {
      out->push_back(what + ": added");
    } else {
      CompareFields(what, FieldsOf(*previous), FieldsOf(it), out);
    }
  }
  for (const T& it : before) {
    if (FindByName(after, it.name) == nullptr) {
      out->push_back(std::string(kind) + " " + it.name + ": removed");
    }
  }
}

Fields FieldsOf(const Links& it) {
  return {
      {"origin_bytes_per_second", std::to_string(it.origin_bytes_per_second)},
      {"host_bytes_per_second", std::to_string(it.host_bytes_per_second)}};
}

}  // namespace

std::vector<std::string> DescribeChanges(const Configuration& before,
                                         const Configuration& after) {
  std::vector<std::string> out;
  CompareItems("place", before.places, after.places, &out);
  CompareItems("service", before.services, after.services, &out);
  CompareItems("upstream", before.upstreams, after.upstreams, &out);
  CompareItems("model", before.models, after.models, &out);
  CompareItems("workspace", before.workspaces, after.workspaces, &out);
  CompareFields("links", FieldsOf(before.links), FieldsOf(after.links), &out);
  return out;
}

}  // namespace primrosecove
