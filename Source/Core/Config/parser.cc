#include "Core/Config/parser.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <set>

#include "Core/Common/text.h"
#include "Core/Config/yaml_reader.h"

namespace primrosecove {
namespace {

constexpr uint32_t kMaxCount = 1'000'000;
constexpr double kMaxRate = 1e9;
constexpr size_t kMaxNameBytes = 100;

// Names appear in store keys, HTTP headers and file names, so only characters
// that are safe in all of them are allowed.
bool IsValidName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

void ReadName(YamlMapReader* reader, std::string_view key, std::string* out) {
  reader->ReadRequiredText(key, out);
  if (out->empty() || IsValidName(*out)) return;
  reader->AddError(
      "'" + std::string(key) +
      "' may contain only letters, digits, '-', '_' and '.'; maximum length " +
      std::to_string(kMaxNameBytes));
}

void ReadDigest(YamlMapReader* reader, std::string_view key, Digest* out) {
  std::string text;
  reader->ReadRequiredText(key, &text);
  if (text.empty()) return;
  auto digest = Digest::FromHex(text);
  if (digest) {
    *out = digest.value();
  } else {
    reader->AddError("'" + std::string(key) + "': " + digest.error().message);
  }
}

// Reads the sections of one file into a configuration.
class SourceReader {
 public:
  SourceReader(Configuration* config, YamlErrors* errors)
      : config_(config), errors_(errors) {}

  void ReadBase(const YAML::Node& root) {
    YamlMapReader reader(root, "base file", errors_);
    ReadName(&reader, "deployment", &config_->deployment);
    reader.ReadSequence("places", [&](const YAML::Node& it) { ReadPlace(it); });
    reader.ReadSequence("services",
                        [&](const YAML::Node& it) { ReadService(it); });
    reader.ReadSequence("upstreams",
                        [&](const YAML::Node& it) { ReadUpstream(it, ""); });
    reader.ReadSequence("models", [&](const YAML::Node& it) { ReadModel(it); });
    reader.ReadSequence("workspaces",
                        [&](const YAML::Node& it) { ReadWorkspace(it); });
    reader.ReadSection("links", [&](const YAML::Node& it) { ReadLinks(it); });
    reader.ReportUnknownKeys();
  }

  // Reads an overlay. Site-specific values are always validated, but kept only
  // if `own_site`.
  void ReadOverlay(const YAML::Node& root, const std::string& site,
                   bool own_site) {
    Configuration scratch = *config_;
    Configuration* shared = config_;
    YamlMapReader reader(root, "overlay", errors_);
    std::string declared_site;
    reader.ReadRequiredText("site", &declared_site);
    if (!declared_site.empty() && declared_site != site)
      reader.AddError("'site' must be '" + site + "'");
    reader.ReadSequence("add_upstreams",
                        [&](const YAML::Node& it) { ReadUpstream(it, site); });
    reader.ReadSequence("remove_upstreams", [&](const YAML::Node& it) {
      RemoveUpstream(it, site);
    });
    scratch.upstreams = shared->upstreams;
    if (!own_site) config_ = &scratch;
    reader.ReadMap("workspaces",
                   [&](const std::string& name, const YAML::Node& it) {
                     OverrideNamed(&config_->workspaces, "workspace", name, it,
                                   [&](Workspace* w, YamlMapReader* r) {
                                     ReadWorkspaceLimits(r, w);
                                   });
                   });
    reader.ReadMap("services", [&](const std::string& name,
                                   const YAML::Node& it) {
      OverrideNamed(&config_->services, "service", name, it,
                    [&](Service* s, YamlMapReader* r) {
                      r->ReadSection("objectives", [&](const YAML::Node& o) {
                        ReadObjectives(o, &s->objectives);
                      });
                    });
    });
    reader.ReadSection("links", [&](const YAML::Node& it) { ReadLinks(it); });
    reader.ReportUnknownKeys();
    config_ = shared;
  }

 private:
  template <typename T>
  void AddUnique(std::vector<T>* items, T item, const char* what,
                 YamlMapReader* reader) {
    bool duplicate =
        std::any_of(items->begin(), items->end(),
                    [&](const T& it) { return it.name == item.name; });
    if (duplicate)
      reader->AddError(std::string(what) + " '" + item.name +
                       "' is given twice");
    if (!duplicate) items->push_back(std::move(item));
  }

  template <typename T, typename Read>
  void OverrideNamed(std::vector<T>* items, const char* what,
                     const std::string& name, const YAML::Node& node,
                     Read read) {
    auto it = std::find_if(items->begin(), items->end(),
                           [&](const T& i) { return i.name == name; });
    if (it == items->end()) {
      errors_->Add(node, std::string("unknown ") + what + " '" + name + "'");
      return;
    }
    YamlMapReader reader(node, what, errors_);
    read(&*it, &reader);
    reader.ReportUnknownKeys();
  }

  void ReadPlace(const YAML::Node& node) {
    YamlMapReader reader(node, "place", errors_);
    Place out;
    ReadName(&reader, "name", &out.name);
    ReadName(&reader, "region", &out.region);
    out.failure_domain = out.name;
    reader.ReadText("failure_domain", &out.failure_domain);
    reader.ReportUnknownKeys();
    AddUnique(&config_->places, std::move(out), "place", &reader);
  }

  void ReadObjectives(const YAML::Node& node, Objectives* out) {
    YamlMapReader reader(node, "objectives", errors_);
    reader.ReadU32("first_token_ms", &out->first_token_ms, 1, kMaxCount);
    reader.ReadU32("token_gap_ms", &out->token_gap_ms, 1, kMaxCount);
    reader.ReadDouble("latency_share", &out->latency_share, 0, 0.999999);
    reader.ReadDouble("availability_share", &out->availability_share, 0,
                      0.999999);
    reader.ReportUnknownKeys();
  }

  void ReadService(const YAML::Node& node) {
    YamlMapReader reader(node, "service", errors_);
    Service out;
    ReadName(&reader, "name", &out.name);
    size_t kind = 1;
    reader.ReadChoice("kind", {"engine", "plain"}, &kind);
    out.kind = kind == 0 ? ServiceKind::kEngine : ServiceKind::kPlain;
    reader.ReadBool("reports_load", &out.reports_load);
    out.path_prefix = "/" + out.name + "/";
    reader.ReadText("path_prefix", &out.path_prefix);
    if (!out.path_prefix.starts_with("/"))
      reader.AddError("'path_prefix' must start with '/'");
    reader.ReadU32("concurrency", &out.concurrency, 1, kMaxCount);
    reader.ReadU32("queue", &out.queue, 0, kMaxCount);
    reader.ReadSection("objectives", [&](const YAML::Node& it) {
      ReadObjectives(it, &out.objectives);
    });
    reader.ReadSequence("non_idempotent", [&](const YAML::Node& it) {
      YamlMapReader rule_reader(it, "non_idempotent", errors_);
      NonIdempotentRule rule;
      rule_reader.ReadRequiredText("method", &rule.method);
      rule_reader.ReadRequiredText("path_prefix", &rule.path_prefix);
      rule_reader.ReportUnknownKeys();
      out.non_idempotent.push_back(std::move(rule));
    });
    reader.ReportUnknownKeys();
    AddUnique(&config_->services, std::move(out), "service", &reader);
  }

  // A non-empty `site` is the only place allowed for the upstream.
  void ReadUpstream(const YAML::Node& node, const std::string& site) {
    YamlMapReader reader(node, "upstream", errors_);
    Upstream out;
    out.place = site;
    ReadName(&reader, "name", &out.name);
    ReadName(&reader, "service", &out.service);
    if (site.empty()) {
      ReadName(&reader, "place", &out.place);
    } else {
      reader.ReadText("place", &out.place);
      if (out.place != site)
        reader.AddError("an overlay may add upstreams in its own place only");
    }
    reader.ReportUnknownKeys();
    if (config_->FindService(out.service) == nullptr) {
      reader.AddError("unknown service '" + out.service + "'");
    }
    if (config_->FindPlace(out.place) == nullptr)
      reader.AddError("unknown place '" + out.place + "'");
    AddUnique(&config_->upstreams, std::move(out), "upstream", &reader);
  }

  void RemoveUpstream(const YAML::Node& node, const std::string& site) {
    std::string name = node.IsScalar() ? node.Scalar() : std::string();
    const Upstream* found = config_->FindUpstream(name);
    if (found == nullptr) {
      errors_->Add(node, "overlay: unknown upstream '" + name +
                             "' in 'remove_upstreams'");
      return;
    }
    if (found->place != site) {
      errors_->Add(node, "overlay: upstream '" + name + "' belongs to place '" +
                             found->place + "'");
      return;
    }
    std::erase_if(config_->upstreams,
                  [&](const Upstream& it) { return it.name == name; });
  }

  void ReadModel(const YAML::Node& node) {
    YamlMapReader reader(node, "model", errors_);
    Model out;
    ReadName(&reader, "name", &out.name);
    ReadName(&reader, "service", &out.service);
    ReadName(&reader, "version", &out.version);
    reader.ReadSequence("versions", [&](const YAML::Node& it) {
      ReadManifestEntry(it, "version", &out.versions, &reader);
    });
    reader.ReadSequence("adapters", [&](const YAML::Node& it) {
      ReadManifestEntry(it, "adapter", &out.adapters, &reader);
    });
    reader.ReadU32("replicas", &out.replicas, 0, kMaxCount);
    reader.ReadU32("max_out", &out.max_unavailable, 1, kMaxCount);
    reader.ReadU32("time_to_serve_s", &out.time_to_serve_s, 1, kMaxCount);
    reader.ReportUnknownKeys();
    const Service* service = config_->FindService(out.service);
    if (service == nullptr || service->kind != ServiceKind::kEngine) {
      reader.AddError("'service' must name a service of kind engine");
    }
    bool listed = std::any_of(
        out.versions.begin(), out.versions.end(),
        [&](const ModelVersion& it) { return it.name == out.version; });
    if (!listed) reader.AddError("'version' must name one of 'versions'");
    AddUnique(&config_->models, std::move(out), "model", &reader);
  }

  template <typename T>
  void ReadManifestEntry(const YAML::Node& node, const char* what,
                         std::vector<T>* items, YamlMapReader* owner) {
    YamlMapReader reader(node, what, errors_);
    T out;
    ReadName(&reader, "name", &out.name);
    ReadDigest(&reader, "manifest", &out.manifest);
    reader.ReportUnknownKeys();
    AddUnique(items, std::move(out), what, owner);
  }

  void ReadWorkspace(const YAML::Node& node) {
    YamlMapReader reader(node, "workspace", errors_);
    Workspace out;
    ReadName(&reader, "name", &out.name);
    ReadWorkspaceLimits(&reader, &out);
    reader.ReportUnknownKeys();
    AddUnique(&config_->workspaces, std::move(out), "workspace", &reader);
  }

  void ReadWorkspaceLimits(YamlMapReader* reader, Workspace* out) {
    reader->ReadDouble("requests_per_second", &out->requests_per_second, 0,
                       kMaxRate);
    reader->ReadU32("requests_in_flight", &out->requests_in_flight, 0,
                    kMaxCount);
    reader->ReadU32("tokens_in_flight", &out->tokens_in_flight, 0,
                    1'000'000'000);
    reader->ReadU32("weight", &out->weight, 1, 1000);
    reader->ReadU32("priority", &out->priority, 0, 9);
  }

  void ReadLinks(const YAML::Node& node) {
    YamlMapReader reader(node, "links", errors_);
    reader.ReadU64("origin_bytes_per_second",
                   &config_->links.origin_bytes_per_second);
    reader.ReadU64("host_bytes_per_second",
                   &config_->links.host_bytes_per_second);
    reader.ReportUnknownKeys();
  }

  Configuration* config_;
  YamlErrors* errors_;
};

// Parses YAML; converts the exceptions by which yaml-cpp reports syntax errors
// into errors with file and line.
Result<YAML::Node> LoadYaml(const std::string& text, YamlErrors* errors) {
  if (text.size() > kMaxSourceBytes) {
    errors->AddLine(1, "file of " + std::to_string(text.size()) +
                           " bytes exceeds " + std::to_string(kMaxSourceBytes));
    return Fail(ErrorCode::kTooLarge, errors->Join());
  }
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& e) {
    errors->AddLine(e.mark.line + 1, e.msg);
    return Fail(ErrorCode::kInvalidArgument, errors->Join());
  }
}

template <typename Read>
Result<void> ReadSource(const std::string& text, const std::string& file,
                        Configuration* config, Read read) {
  YamlErrors errors(file);
  BOOST_OUTCOME_TRY(root, LoadYaml(text, &errors));
  try {
    SourceReader reader(config, &errors);
    read(&reader, root);
  } catch (const YAML::Exception& e) {
    errors.AddLine(e.mark.line + 1, e.msg);
  }
  if (!errors.empty()) return Fail(ErrorCode::kInvalidArgument, errors.Join());
  return outcome::success();
}

}  // namespace

Result<Configuration> ParseBundle(const Bundle& bundle, std::string_view site) {
  Configuration out;
  BOOST_OUTCOME_TRY(ReadSource(
      bundle.base, "base.yaml", &out,
      [](SourceReader* r, const YAML::Node& root) { r->ReadBase(root); }));
  for (const auto& overlay : bundle.overlays) {
    const std::string& name = overlay.first;
    std::string file = "overlays/" + name + ".yaml";
    if (out.FindPlace(name) == nullptr) {
      return Fail(ErrorCode::kInvalidArgument,
                  file + ":1: unknown place '" + name + "'");
    }
    BOOST_OUTCOME_TRY(ReadSource(overlay.second, file, &out,
                                 [&](SourceReader* r, const YAML::Node& root) {
                                   r->ReadOverlay(root, name, name == site);
                                 }));
  }
  return out;
}

Result<void> ValidateBundle(const Bundle& bundle) {
  BOOST_OUTCOME_TRY(common, ParseBundle(bundle, ""));
  for (const Place& it : common.places) {
    BOOST_OUTCOME_TRY(ParseBundle(bundle, it.name));
  }
  return outcome::success();
}

}  // namespace primrosecove
