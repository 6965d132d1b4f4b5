#include "Core/Agent/chunk_server.h"

#include <algorithm>
#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

constexpr size_t kChunkNumberBytes = 4;
constexpr int kBitsPerByte = 8;
// Chunk requests that wait for upload bandwidth. Further ones are rejected at
// once, because another peer may be able to send the chunk sooner.
constexpr size_t kMaxQueuedUploads = 3;
// Chunks that arrive within this delay are announced together.
constexpr Milliseconds kAnnounceDelay{25};
constexpr std::string_view kPathRoot = "weights";

void AppendChunkNumber(std::string* out, uint32_t value) {
  for (size_t i = kChunkNumberBytes; i-- > 0;) {
    out->push_back(static_cast<char>((value >> (i * kBitsPerByte)) & 0xff));
  }
}

uint32_t ReadChunkNumber(std::string_view bytes) {
  uint32_t out = 0;
  for (size_t i = 0; i < kChunkNumberBytes; ++i) {
    out = out << kBitsPerByte | static_cast<unsigned char>(bytes[i]);
  }
  return out;
}

}  // namespace

std::string PeerWeightsPath(const std::string& model, uint64_t version) {
  return "/" + std::string(kPathRoot) + "/" + model + "/" +
         std::to_string(version);
}

std::vector<uint32_t> ParseChunkNumbers(std::string* buf) {
  std::vector<uint32_t> out;
  std::string_view remaining = *buf;
  for (; remaining.size() >= kChunkNumberBytes;
       remaining.remove_prefix(kChunkNumberBytes)) {
    out.push_back(ReadChunkNumber(remaining));
  }
  buf->erase(0, buf->size() - remaining.size());
  return out;
}

ChunkServer::ChunkServer(EventLoop* loop, double link_bytes_per_second,
                         CopyLookup lookup)
    : loop_(loop), lookup_(std::move(lookup)), pacer_(link_bytes_per_second) {}

void ChunkServer::Serve(const std::shared_ptr<Http1Exchange>& exchange) {
  auto parts = Split(exchange->request().Path(), '/');
  auto version = parts.size() == 4 ? ParseU64(parts[3]) : std::nullopt;
  if (!version || parts[1] != kPathRoot) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  if (exchange->request().QueryValue("feed")) {
    return ServeFeed(exchange, *version);
  }
  auto chunk = exchange->request().QueryValue("piece");
  if (!chunk) return ServeManifest(exchange, *version);
  auto n = ParseU64(*chunk);
  ServeChunk(exchange, *version, static_cast<uint32_t>(n.value_or(UINT32_MAX)));
}

void ChunkServer::ServeManifest(const std::shared_ptr<Http1Exchange>& exchange,
                                uint64_t version) {
  const WeightCopy* copy = lookup_(version);
  if (copy == nullptr || !copy->has_digests() || copy->doubted()) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  std::string body;
  for (const Digest& it : copy->digests()) {
    if (!body.empty()) body.push_back('\n');
    body += it.ToHex();
  }
  exchange->Respond(200, "OK", {}, body);
}

void ChunkServer::ServeFeed(const std::shared_ptr<Http1Exchange>& exchange,
                            uint64_t version) {
  const WeightCopy* copy = lookup_(version);
  if (copy == nullptr && version < min_version_) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  exchange->StartStream(200, "OK", {});
  std::string numbers;
  for (uint32_t n = 0; copy != nullptr && n < copy->size(); ++n) {
    if (copy->Has(n)) AppendChunkNumber(&numbers, n);
  }
  exchange->Write(numbers);
  subscribers_.push_back({exchange, version});
}

void ChunkServer::AnnounceChunk(uint64_t version, uint32_t n) {
  AppendChunkNumber(&announcements_[version], n);
  if (announce_timer_.pending()) return;
  announce_timer_ =
      loop_->After(kAnnounceDelay, [this] { SendAnnouncements(); });
}

void ChunkServer::SendAnnouncements() {
  auto announcements = std::exchange(announcements_, {});
  for (Subscriber& it : subscribers_) {
    auto found = announcements.find(it.version);
    if (found != announcements.end()) it.exchange->Write(found->second);
  }
}

void ChunkServer::EndFeedsBelow(uint64_t version) {
  min_version_ = std::max(min_version_, version);
  for (Subscriber& it : subscribers_) {
    if (it.version < version) it.exchange->EndStream();
  }
  std::erase_if(subscribers_,
                [version](const auto& it) { return it.version < version; });
}

void ChunkServer::RemoveFinishedFeeds() {
  std::erase_if(subscribers_,
                [](const auto& it) { return it.exchange->finished(); });
}

void ChunkServer::ServeChunk(const std::shared_ptr<Http1Exchange>& exchange,
                             uint64_t version, uint32_t n) {
  const WeightCopy* copy = lookup_(version);
  if (copy == nullptr || !copy->Has(n)) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  if (queued_uploads_.size() >= kMaxQueuedUploads) {
    return exchange->Respond(503, "Service Unavailable", {}, "");
  }
  queued_uploads_.push_back({exchange, version, n});
  SendNextUpload();
}

void ChunkServer::SendNextUpload() {
  while (!queued_uploads_.empty()) {
    const Upload& next = queued_uploads_.front();
    const WeightCopy* copy = lookup_(next.version);
    if (copy == nullptr || next.exchange->finished()) {
      next.exchange->Respond(404, "Not Found", {}, "");
      queued_uploads_.pop_front();
      continue;
    }
    std::string_view chunk = copy->ChunkData(next.chunk);
    SteadyTime now = EventLoop::Now();
    if (!pacer_.TrySend(chunk.size(), now)) {
      upload_timer_ = loop_->After(
          std::max(pacer_.Wait(chunk.size(), now), Milliseconds(1)),
          [this] { SendNextUpload(); });
      return;
    }
    sent_bytes_ += chunk.size();
    next.exchange->Respond(200, "OK", {}, chunk);
    queued_uploads_.pop_front();
  }
}

}  // namespace primrosecove
