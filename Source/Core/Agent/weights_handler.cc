#include "Core/Agent/weights_handler.h"

namespace primrosecove {
namespace {

constexpr std::string_view kPrefix = "/weights/";
constexpr size_t kMaxPendingBytes = 8 << 20;

// One answer under way. It keeps the chunks' bytes alive one by one, so that
// weights dropped in the middle break the answer off instead of mixing
// versions.
struct Answer : std::enable_shared_from_this<Answer> {
  Swarm* swarm;
  std::shared_ptr<HttpExchange> exchange;
  Digest manifest;
  size_t next = 0;

  void Continue() {
    while (exchange->pending_bytes() < kMaxPendingBytes) {
      const Manifest* found = swarm->FindManifest(manifest);
      if (found == nullptr) return exchange->Abort();
      if (next == found->chunks.size()) return exchange->EndStream();
      auto bytes = swarm->store().Find(found->chunks[next]);
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
  auto answer = std::make_shared<Answer>();
  answer->swarm = swarm;
  answer->exchange = exchange;
  answer->manifest = digest.value();
  exchange->StartStream(200, {{"Content-Type", "application/octet-stream"}});
  exchange->OnDrained([answer] { answer->Continue(); });
  answer->Continue();
  return true;
}

}  // namespace primrosecove
