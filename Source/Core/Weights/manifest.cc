#include "Core/Weights/manifest.h"

#include <nlohmann/json.hpp>

namespace primrosecove {
namespace {

using Json = nlohmann::json;

Result<uint64_t> ReadCount(const Json& json, const char* key) {
  if (json.contains(key) && json[key].is_number_unsigned())
    return json[key].get<uint64_t>();
  return Fail(ErrorCode::kInvalidArgument,
              std::string("manifest: '") + key +
                  "' is missing or not an unsigned number");
}

}  // namespace

uint32_t Manifest::ChunkSize(size_t i) const {
  uint64_t rest = total_bytes - ChunkOffset(i);
  return rest < chunk_bytes ? static_cast<uint32_t>(rest) : chunk_bytes;
}

Result<Manifest> Manifest::Parse(const Digest& expected, std::string text) {
  if (Sha256(text) != expected) {
    return Fail(ErrorCode::kCorrupt, "manifest " + expected.ShortHex() +
                                         " does not match its digest");
  }
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return Fail(ErrorCode::kInvalidArgument, "manifest is not a JSON object");
  Manifest out;
  out.digest = expected;
  if (json.contains("name") && json["name"].is_string())
    out.name = json["name"];
  BOOST_OUTCOME_TRY(chunk_bytes, ReadCount(json, "chunk_bytes"));
  BOOST_OUTCOME_TRY(total_bytes, ReadCount(json, "total_bytes"));
  if (chunk_bytes == 0 || chunk_bytes > kMaxChunkBytes || total_bytes == 0) {
    return Fail(ErrorCode::kInvalidArgument,
                "manifest: chunk_bytes or total_bytes is out of range");
  }
  out.chunk_bytes = static_cast<uint32_t>(chunk_bytes);
  out.total_bytes = total_bytes;
  uint64_t expected_chunks =
      total_bytes / chunk_bytes + (total_bytes % chunk_bytes != 0 ? 1 : 0);
  if (!json.contains("chunks") || !json["chunks"].is_array() ||
      json["chunks"].size() != expected_chunks ||
      expected_chunks > kMaxChunks) {
    return Fail(ErrorCode::kInvalidArgument,
                "manifest: wrong number of chunks");
  }
  for (const Json& it : json["chunks"]) {
    if (!it.is_string())
      return Fail(ErrorCode::kInvalidArgument,
                  "manifest: chunk digest is not a string");
    BOOST_OUTCOME_TRY(digest, Digest::FromHex(it.get<std::string>()));
    out.chunks.push_back(digest);
  }
  out.text = std::move(text);
  return out;
}

Manifest Manifest::FromBytes(std::string name, std::string_view bytes,
                             uint32_t chunk_bytes) {
  Json chunks = Json::array();
  for (size_t offset = 0; offset < bytes.size(); offset += chunk_bytes) {
    chunks.push_back(Sha256(bytes.substr(offset, chunk_bytes)).ToHex());
  }
  std::string text = Json{
      {"name", std::move(name)},
      {"chunk_bytes", chunk_bytes},
      {"total_bytes", bytes.size()},
      {"chunks", chunks}}.dump();
  Digest digest = Sha256(text);
  return Parse(digest, std::move(text)).value();
}

}  // namespace primrosecove
