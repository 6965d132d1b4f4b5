#include "Core/Config/bundle.h"

#include <nlohmann/json.hpp>

namespace primrosecove {
namespace {

using Json = nlohmann::json;

Json ParseObject(std::string_view text) {
  Json out = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return out.is_object() ? out : Json();
}

}  // namespace

std::string Bundle::Encode() const {
  return Json{{"base", base}, {"overlays", overlays}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

Result<Bundle> Bundle::Decode(std::string_view text) {
  if (text.size() > kMaxEncodedBytes) {
    return Fail(ErrorCode::kTooLarge,
                "configuration of " + std::to_string(text.size()) +
                    " bytes exceeds " + std::to_string(kMaxEncodedBytes));
  }
  Json json = ParseObject(text);
  if (!json.contains("base") || !json["base"].is_string() ||
      !json.contains("overlays") || !json["overlays"].is_object()) {
    return Fail(ErrorCode::kInvalidArgument, "malformed configuration bundle");
  }
  Bundle out;
  out.base = json["base"].get<std::string>();
  for (const auto& [site, overlay] : json["overlays"].items()) {
    if (!overlay.is_string())
      return Fail(ErrorCode::kInvalidArgument, "malformed overlay");
    out.overlays[site] = overlay.get<std::string>();
  }
  return out;
}

std::string Head::Encode() const {
  return Json{{"revision", revision},   {"bundle", bundle.ToHex()},
              {"operation", operation}, {"author", author},
              {"time_ms", time_ms},     {"summary", summary}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Head> Head::Decode(std::string_view text) {
  Json json = ParseObject(text);
  auto malformed = [] {
    return Fail(ErrorCode::kInvalidArgument, "malformed configuration head");
  };
  if (!json.contains("revision") || !json["revision"].is_number_unsigned())
    return malformed();
  if (!json.contains("bundle") || !json["bundle"].is_string())
    return malformed();
  Head out;
  out.revision = json["revision"].get<uint64_t>();
  BOOST_OUTCOME_TRY(bundle, Digest::FromHex(json["bundle"].get<std::string>()));
  out.bundle = bundle;
  auto string_or_empty = [&](const char* key) {
    return json.contains(key) && json[key].is_string()
               ? json[key].get<std::string>()
               : std::string();
  };
  out.operation = string_or_empty("operation");
  out.author = string_or_empty("author");
  out.summary = string_or_empty("summary");
  if (json.contains("time_ms") && json["time_ms"].is_number_integer()) {
    out.time_ms = json["time_ms"].get<int64_t>();
  }
  return out;
}

}  // namespace primrosecove
