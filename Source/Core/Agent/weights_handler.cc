#include "Core/Agent/weights_handler.h"

namespace primrosecove {
namespace {

constexpr std::string_view kPrefix = "/weights/";
constexpr size_t kMaxPendingBytes = 8 << 20;

// A response that is being streamed. It holds the bytes of one chunk at a time,
// so that removing the weights meanwhile aborts the response instead of mixing
// versions.
struct WeightsResponse : std::enable_shared_from_this<WeightsResponse> {
  Swarm* swarm;
  std::shared_ptr<HttpExchange> exchange;
  Digest manifest;
  size_t next = 0;

  void SendNext() {
    while (exchange->pending_bytes() < kMaxPendingBytes) {
      const Manifest* weights = swarm->FindManifest(manifest);
      if (weights == nullptr) return exchange->Abort();
      if (next == weights->chunks.size()) return exchange->EndStream();
      auto bytes = swarm->store().Find(weights->chunks[next]);
      if (bytes == nullptr) return exchange->Abort();
      exchange->Write(*bytes);
      ++next;
    }
  }
};

}  // namespace

bool ServeWeights(Swarm* swarm, const std::shared_ptr<HttpExchange>& exchange) {
  std::string_view path = exchange->request().Path();
  if (!path.starts_with(kPrefix)) return false;
  auto digest = Digest::FromHex(path.substr(kPrefix.size()));
  if (!digest || !swarm->IsComplete(digest.value())) {
    exchange->Respond(404, {{"Content-Type", "text/plain"}},
                      "these weights are not complete here\n");
    return true;
  }
  auto response = std::make_shared<WeightsResponse>();
  response->swarm = swarm;
  response->exchange = exchange;
  response->manifest = digest.value();
  exchange->StartStream(200, {{"Content-Type", "application/octet-stream"}});
  exchange->OnDrained([response] { response->SendNext(); });
  response->SendNext();
  return true;
}

}  // namespace primrosecove
