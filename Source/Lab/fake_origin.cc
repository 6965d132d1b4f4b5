#include "Lab/fake_origin.h"

#include <cstdio>
#include <utility>

namespace primrosecove {
namespace {

constexpr uint64_t kPercent = 100;
constexpr double kBurstBytes = 256 << 10;
constexpr std::string_view kManifestsPath = "/manifests/";
constexpr std::string_view kWeightsPath = "/weights/";

}  // namespace

FakeOrigin::FakeOrigin(EventLoop* loop, uint64_t bytes_per_second,
                       uint64_t seed)
    : loop_(loop),
      link_(static_cast<double>(bytes_per_second), kBurstBytes),
      random_(seed) {}

void FakeOrigin::AddWeights(const WeightsSpec& spec) {
  Object object;
  object.bytes = spec.MakeBytes();
  object.manifest =
      Manifest::FromBytes(spec.name, object.bytes, spec.chunk_bytes);
  std::string digest = object.manifest.digest.ToHex();
  objects_.emplace(std::move(digest), std::move(object));
}

void FakeOrigin::SetFaults(OriginFaults faults) {
  faults_ = faults;
  if (!faults_.down) return;
  for (PendingResponse& it : pending_) it.exchange->Abort();
  pending_.clear();
}

void FakeOrigin::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  if (faults_.down) return exchange->Abort();
  std::string_view path = exchange->request().Path();
  bool is_manifest = path.starts_with(kManifestsPath);
  path.remove_prefix(is_manifest ? kManifestsPath.size() : kWeightsPath.size());
  auto it = objects_.find(std::string(path));
  if (it == objects_.end())
    return exchange->Respond(404, {}, "no such weights\n");
  if (random_() % kPercent < faults_.busy_percent) {
    return exchange->Respond(429, {{"Retry-After", "1"}}, "slow down\n");
  }
  if (is_manifest) return exchange->Respond(200, {}, it->second.manifest.text);
  SendRange(it->second, exchange);
}

void FakeOrigin::SendRange(const Object& object,
                           const std::shared_ptr<HttpExchange>& exchange) {
  std::string range(exchange->request().headers.Find("Range").value_or(""));
  unsigned long long first = 0;
  unsigned long long last = 0;
  bool parsed =
      std::sscanf(range.c_str(), "bytes=%llu-%llu", &first, &last) == 2;
  if (!parsed || first > last || last >= object.bytes.size()) {
    return exchange->Respond(416, {}, "a range within the weights is needed\n");
  }
  std::string body = object.bytes.substr(first, last - first + 1);
  if (random_() % kPercent < faults_.corrupt_percent) {
    body[random_() % body.size()] ^= 1;
  }
  pending_.push_back({exchange, std::move(body), first, object.bytes.size()});
  if (!send_timer_.pending()) SendPending();
}

void FakeOrigin::SendPending() {
  send_timer_.Cancel();
  while (!pending_.empty()) {
    PendingResponse& it = pending_.front();
    auto n = static_cast<double>(it.body.size());
    SteadyTime now = EventLoop::Now();
    if (!link_.TryTake(n, now)) {
      send_timer_ = loop_->After(link_.Wait(n, now), [this] { SendPending(); });
      return;
    }
    std::string range = "bytes " + std::to_string(it.offset) + "-" +
                        std::to_string(it.offset + it.body.size() - 1) + "/" +
                        std::to_string(it.total);
    bytes_sent_ += it.body.size();
    it.exchange->Respond(206, {{"Content-Range", range}}, it.body);
    pending_.pop_front();
    if (faults_.down_after_bytes > 0 &&
        bytes_sent_ >= faults_.down_after_bytes) {
      faults_.down = true;
      SetFaults(faults_);
    }
  }
}

}  // namespace primrosecove
