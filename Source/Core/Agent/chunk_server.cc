#include "Core/Agent/chunk_server.h"

#include <algorithm>
#include <utility>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

constexpr size_t kNumberBytes = 4;
constexpr int kByteBits = 8;
constexpr double kUsualPieceBytes = 32 << 10;
// Pieces that wait for their turn on the link; more are refused at once, since
// others may have them too, and sooner.
constexpr size_t kMaxUploadsWaiting = 3;
// Pieces are told together, to all who follow.
constexpr Milliseconds kNewsDelay{25};
constexpr std::string_view kPathRoot = "weights";

void AppendNumber(std::string* out, uint32_t value) {
  for (size_t i = kNumberBytes; i-- > 0;) {
    out->push_back(static_cast<char>((value >> (i * kByteBits)) & 0xff));
  }
}

uint32_t ReadNumber(std::string_view bytes) {
  uint32_t out = 0;
  for (size_t i = 0; i < kNumberBytes; ++i) {
    out = out << kByteBits | static_cast<unsigned char>(bytes[i]);
  }
  return out;
}

}  // namespace

std::string PeerPath(const std::string& model, uint64_t version) {
  return "/" + std::string(kPathRoot) + "/" + model + "/" +
         std::to_string(version);
}

std::vector<uint32_t> TakePieceNumbers(std::string* buf) {
  std::vector<uint32_t> out;
  std::string_view rest = *buf;
  for (; rest.size() >= kNumberBytes; rest.remove_prefix(kNumberBytes)) {
    out.push_back(ReadNumber(rest));
  }
  buf->erase(0, buf->size() - rest.size());
  return out;
}

PieceServer::PieceServer(EventLoop* loop, double link_bytes_per_second,
                         Lookup lookup)
    : loop_(loop),
      lookup_(std::move(lookup)),
      pacer_(link_bytes_per_second, kUsualPieceBytes) {}

void PieceServer::Serve(const std::shared_ptr<Http1Exchange>& exchange) {
  auto parts = Split(exchange->request().Path(), '/');
  auto version = parts.size() == 4 ? ParseU64(parts[3]) : std::nullopt;
  if (!version || parts[1] != kPathRoot) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  if (exchange->request().QueryValue("feed")) {
    return ServeNumbers(exchange, *version);
  }
  auto piece = exchange->request().QueryValue("piece");
  if (!piece) return ServeManifest(exchange, *version);
  auto n = ParseU64(*piece);
  ServePiece(exchange, *version, static_cast<uint32_t>(n.value_or(UINT32_MAX)));
}

void PieceServer::ServeManifest(const std::shared_ptr<Http1Exchange>& exchange,
                                uint64_t version) {
  const WeightCopy* copy = lookup_(version);
  if (copy == nullptr || !copy->has_digests()) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  std::string body;
  for (const Digest& it : copy->digests()) {
    if (!body.empty()) body.push_back('\n');
    body += it.ToHex();
  }
  exchange->Respond(200, "OK", {}, body);
}

void PieceServer::ServeNumbers(const std::shared_ptr<Http1Exchange>& exchange,
                               uint64_t version) {
  const WeightCopy* copy = lookup_(version);
  if (copy == nullptr && version < oldest_) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  exchange->StartStream(200, "OK", {});
  std::string numbers;
  for (uint32_t n = 0; copy != nullptr && n < copy->size(); ++n) {
    if (copy->Has(n)) AppendNumber(&numbers, n);
  }
  exchange->Write(numbers);
  followers_.push_back({exchange, version});
}

void PieceServer::Tell(uint64_t version, uint32_t n) {
  AppendNumber(&news_[version], n);
  if (news_timer_.pending()) return;
  news_timer_ = loop_->After(kNewsDelay, [this] { SendNews(); });
}

void PieceServer::SendNews() {
  auto news = std::exchange(news_, {});
  for (Follower& it : followers_) {
    auto found = news.find(it.version);
    if (found != news.end()) it.exchange->Write(found->second);
  }
}

void PieceServer::DropBelow(uint64_t version) {
  oldest_ = std::max(oldest_, version);
  for (Follower& it : followers_) {
    if (it.version < version) it.exchange->EndStream();
  }
  std::erase_if(followers_,
                [version](const auto& it) { return it.version < version; });
}

void PieceServer::ForgetFinished() {
  std::erase_if(followers_,
                [](const auto& it) { return it.exchange->finished(); });
}

void PieceServer::ServePiece(const std::shared_ptr<Http1Exchange>& exchange,
                             uint64_t version, uint32_t n) {
  const WeightCopy* copy = lookup_(version);
  if (copy == nullptr || !copy->Has(n)) {
    return exchange->Respond(404, "Not Found", {}, "");
  }
  if (uploads_.size() >= kMaxUploadsWaiting) {
    return exchange->Respond(503, "Service Unavailable", {}, "");
  }
  uploads_.push_back({exchange, version, n});
  SendNextUpload();
}

void PieceServer::SendNextUpload() {
  while (!uploads_.empty()) {
    const Upload& next = uploads_.front();
    const WeightCopy* copy = lookup_(next.version);
    if (copy == nullptr || next.exchange->finished()) {
      next.exchange->Respond(404, "Not Found", {}, "");
      uploads_.pop_front();
      continue;
    }
    std::string_view piece = copy->ChunkData(next.piece);
    SteadyTime now = EventLoop::Now();
    if (!pacer_.TrySend(piece.size(), now)) {
      upload_timer_ = loop_->After(
          std::max(pacer_.Wait(piece.size(), now), Milliseconds(1)),
          [this] { SendNextUpload(); });
      return;
    }
    sent_bytes_ += piece.size();
    next.exchange->Respond(200, "OK", {}, piece);
    uploads_.pop_front();
  }
}

}  // namespace primrosecove
