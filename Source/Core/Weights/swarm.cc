#include "Core/Weights/swarm.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kTickPeriod{250};
// Limits on a member's open chunk requests, in total, to one peer and to the
// origin. They cover a round trip and the sender's queue; larger limits would
// assign requests to senders that prove slow.
constexpr size_t kMaxOpenRequests = 6;
constexpr size_t kMaxOpenToOnePeer = 2;
constexpr size_t kMaxOpenAtOrigin = 2;
// Candidates that the chunk strategy chooses from; bounds the work for weights
// with many chunks.
constexpr size_t kMaxCandidates = 64;
// Delay before stored chunks are announced, so that several share one message.
constexpr Milliseconds kHaveDelay{4};
constexpr Milliseconds kExclusionTime{60'000};
constexpr Milliseconds kMinStallTimeout{1000};
constexpr int kStallTimeoutInChunkTimes = 24;
constexpr Milliseconds kMinOriginBackoff{100};
constexpr Milliseconds kMaxOriginBackoff{5000};
constexpr Milliseconds kManifestFetchDelay{1000};
// Assumed transfer time of a chunk when the link has no limit.
constexpr Milliseconds kDefaultChunkTime{20};
// Burst of a link's token bucket; the minimum is two of the largest chunks in
// use.
constexpr double kBurstSeconds = 0.03;
constexpr double kMinBurstBytes = 256 << 10;

double BurstOf(uint64_t rate) {
  return std::max(kMinBurstBytes, static_cast<double>(rate) * kBurstSeconds);
}

uint8_t TypeOf(PeerFrameType type) { return static_cast<uint8_t>(type); }

}  // namespace

Swarm::Swarm(EventLoop* loop, PeerService* peers, Origin* origin,
             SwarmMember self, SwarmOptions options, SwarmPolicy policy,
             DoneCallback on_done)
    : loop_(loop),
      peers_(peers),
      origin_(origin),
      self_(std::move(self)),
      options_(options),
      policy_(std::move(policy)),
      on_done_(std::move(on_done)),
      store_(options.memory_bytes),
      uplink_(0, 0),
      downlink_(0, 0),
      origin_share_(0, 0),
      uploads_(loop, peers, &uplink_,
               [this](const ChunkId& id) -> std::shared_ptr<const std::string> {
                 SwarmTransfer* transfer = Find(id.manifest);
                 if (transfer == nullptr || !transfer->has_manifest())
                   return nullptr;
                 if (id.chunk >= transfer->manifest().chunks.size())
                   return nullptr;
                 return store_.Find(transfer->manifest().chunks[id.chunk]);
               }),
      random_(RandomU64()) {
  using Method = void (Swarm::*)(Peer*, std::string_view);
  struct Entry {
    PeerFrameType type;
    Method method;
  };
  static constexpr Entry kHandlers[] = {
      {PeerFrameType::kManifestRequest, &Swarm::OnManifestRequest},
      {PeerFrameType::kHave, &Swarm::OnHave},
      {PeerFrameType::kHaveUpdate, &Swarm::OnHaveUpdate},
      {PeerFrameType::kChunkRequest, &Swarm::OnChunkRequest},
      {PeerFrameType::kChunk, &Swarm::OnChunk},
      {PeerFrameType::kBusy, &Swarm::OnBusy},
      {PeerFrameType::kCancel, &Swarm::OnCancel}};
  for (const Entry& it : kHandlers) {
    peers_->RegisterHandler(it.type, [this, method = it.method](
                                         Peer* peer, std::string_view payload) {
      (this->*method)(peer, payload);
    });
  }
  peers_->RegisterHandler(
      PeerFrameType::kManifest,
      [this](Peer*, std::string_view payload) { OnManifest(payload); });
  peers_->AddConnectedHandler([this](Peer* peer) { OnPeerConnected(peer); });
  peers_->AddDisconnectedHandler(
      [this](Peer* peer) { OnPeerDisconnected(peer); });
  SetLinks(options_.link_bytes_per_second, options_.origin_bytes_per_second);
  tick_timer_ = loop_->Every(kTickPeriod, [this] { Tick(); });
}

void Swarm::SetMembers(std::vector<SwarmMember> members) {
  std::sort(members.begin(), members.end(),
            [](const SwarmMember& a, const SwarmMember& b) {
              return a.name < b.name;
            });
  members_ = std::move(members);
  ranked_members_.clear();
  SetLinks(options_.link_bytes_per_second, options_.origin_bytes_per_second);
  EnsureNeighbours();
}

void Swarm::SetLinks(uint64_t link_bytes_per_second,
                     uint64_t origin_bytes_per_second) {
  options_.link_bytes_per_second = link_bytes_per_second;
  options_.origin_bytes_per_second = origin_bytes_per_second;
  auto link = static_cast<double>(link_bytes_per_second);
  uplink_.SetRate(link, BurstOf(link_bytes_per_second));
  downlink_.SetRate(link, BurstOf(link_bytes_per_second));
  size_t fetchers =
      std::max<size_t>(1, policy_.origin->FetcherCount(members_.size()));
  uint64_t share = origin_bytes_per_second / fetchers;
  origin_share_.SetRate(static_cast<double>(share), BurstOf(share));
}

SwarmTransfer* Swarm::Find(const Digest& manifest) {
  auto it = transfers_.find(manifest);
  return it == transfers_.end() ? nullptr : &it->second;
}

void Swarm::StartFetch(const Digest& manifest) {
  if (transfers_.contains(manifest)) return;
  auto it = transfers_.emplace(manifest, SwarmTransfer(manifest)).first;
  manifest_requested_since_[manifest] = EventLoop::Now();
  EnsureNeighbours();
  RequestManifest(&it->second);
}

void Swarm::Remove(const Digest& manifest) {
  std::erase_if(origin_requests_,
                [&](const auto& it) { return it.first.first == manifest; });
  manifest_fetches_.erase(manifest);
  manifest_requested_since_.erase(manifest);
  unsent_haves_.erase(manifest);
  transfers_.erase(manifest);
  store_.RemoveManifest(manifest);
}

std::vector<Digest> Swarm::KnownManifests() const {
  std::vector<Digest> out;
  for (const auto& [digest, transfer] : transfers_) out.push_back(digest);
  return out;
}

bool Swarm::IsComplete(const Digest& manifest) const {
  auto it = transfers_.find(manifest);
  return it != transfers_.end() && it->second.complete();
}

const Manifest* Swarm::FindManifest(const Digest& manifest) const {
  auto it = transfers_.find(manifest);
  return it == transfers_.end() || !it->second.has_manifest()
             ? nullptr
             : &it->second.manifest();
}

uint8_t Swarm::PercentComplete(const Digest& manifest) const {
  constexpr size_t kPercent = 100;
  auto it = transfers_.find(manifest);
  if (it == transfers_.end() || !it->second.has_manifest()) return 0;
  const Bitmap& have = it->second.have();
  return static_cast<uint8_t>(have.count() * kPercent / have.size());
}

void Swarm::ChargeLink(uint64_t bytes) {
  SteadyTime now = EventLoop::Now();
  uplink_.Take(static_cast<double>(bytes), now);
}

Milliseconds Swarm::ChunkTime(const SwarmTransfer& transfer) const {
  if (options_.link_bytes_per_second == 0 || !transfer.has_manifest())
    return kDefaultChunkTime;
  constexpr uint64_t kMsPerSecond = 1000;
  uint64_t ms = transfer.manifest().chunk_bytes * kMsPerSecond /
                options_.link_bytes_per_second;
  return Milliseconds(std::max<uint64_t>(ms, 1));
}

void Swarm::Tick() {
  EnsureNeighbours();
  SteadyTime now = EventLoop::Now();
  for (auto& [digest, transfer] : transfers_) {
    if (!transfer.has_manifest()) {
      RequestManifest(&transfer);
    } else {
      transfer.MarkStalled(
          now, std::max(kMinStallTimeout,
                        ChunkTime(transfer) * kStallTimeoutInChunkTimes));
      if (!transfer.complete()) RequestFromOrigin(&transfer);
    }
  }
  RequestChunks();
}

void Swarm::EnsureNeighbours() {
  if (transfers_.empty()) return;
  SteadyTime now = EventLoop::Now();
  std::erase_if(excluded_until_,
                [&](const auto& it) { return it.second <= now; });
  for (const std::string& name : policy_.neighbours->Choose(self_, members_)) {
    if (excluded_until_.contains(name) || peers_->Find(name) != nullptr)
      continue;
    auto it =
        std::find_if(members_.begin(), members_.end(),
                     [&](const SwarmMember& m) { return m.name == name; });
    if (it != members_.end()) peers_->Connect(it->peer);
  }
}

// Requests the manifest from a random neighbour. The first members in rank also
// request it from the origin; with each kManifestFetchDelay without a manifest
// one more member does.
void Swarm::RequestManifest(SwarmTransfer* transfer) {
  const Digest& digest = transfer->digest();
  std::vector<Peer*> connected = peers_->Peers();
  if (!connected.empty()) {
    Peer* peer = connected[random_() % connected.size()];
    peer->channel->Send(TypeOf(PeerFrameType::kManifestRequest),
                        Encode(ManifestRequestMessage{digest}));
  }
  if (manifest_fetches_.contains(digest) ||
      EventLoop::Now() < origin_backoff_until_)
    return;
  auto elapsed = EventLoop::Now() - manifest_requested_since_[digest];
  size_t extra_fetchers = static_cast<size_t>(elapsed / kManifestFetchDelay);
  size_t fetcher_limit =
      policy_.origin->FetcherCount(members_.size()) + extra_fetchers;
  if (RankOfSelf(digest) >= fetcher_limit) return;
  Origin::Callbacks callbacks;
  callbacks.on_bytes = [this, digest](std::string text) {
    auto finished = std::move(manifest_fetches_[digest]);
    manifest_fetches_.erase(digest);
    ApplyManifest(digest, std::move(text));
    loop_->Post([fetch = std::shared_ptr<OriginFetch>(std::move(finished))] {});
  };
  callbacks.on_failure = [this, digest](const OriginFailure& failure) {
    auto finished = std::move(manifest_fetches_[digest]);
    manifest_fetches_.erase(digest);
    PC_WARN(kWeights,
            "manifest " << digest.ShortHex() << ": " << failure.error.message);
    origin_backoff_until_ =
        EventLoop::Now() + std::max(failure.retry_after, kMinOriginBackoff);
    loop_->Post([fetch = std::shared_ptr<OriginFetch>(std::move(finished))] {});
  };
  manifest_fetches_[digest] =
      origin_->FetchManifest(digest, std::move(callbacks));
}

void Swarm::ApplyManifest(const Digest& digest, std::string text) {
  SwarmTransfer* transfer = Find(digest);
  if (transfer == nullptr || transfer->has_manifest()) return;
  auto manifest = Manifest::Parse(digest, std::move(text));
  if (!manifest) {
    ++counters_.corrupt_chunks;
    PC_WARN(kWeights, manifest.error().message);
    return;
  }
  auto held = store_.AddManifest(manifest.value());
  if (!held) {
    PC_ERROR(kWeights, held.error().message);
    loop_->Post([this, digest, held] { on_done_(digest, held); });
    return;
  }
  Bitmap present = store_.PresentChunks(manifest.value());
  transfer->SetManifest(std::move(manifest).value(), std::move(present));
  transfer->SetShareCount(
      std::max<size_t>(1, policy_.origin->FetcherCount(members_.size())),
      EventLoop::Now());
  PC_INFO(kWeights, "fetching "
                        << transfer->manifest().name << " " << digest.ShortHex()
                        << ", " << transfer->have().count() << " of "
                        << transfer->have().size() << " chunks are stored");
  for (Peer* it : peers_->Peers()) SendHave(it, *transfer, true);
  if (transfer->complete()) {
    loop_->Post([this, digest] { on_done_(digest, outcome::success()); });
  }
  RequestChunks();
}

void Swarm::OnPeerConnected(Peer* peer) {
  for (auto& [digest, transfer] : transfers_) {
    if (transfer.has_manifest()) SendHave(peer, transfer, true);
  }
}

void Swarm::OnPeerDisconnected(Peer* peer) {
  for (auto& [digest, transfer] : transfers_)
    transfer.RemoveNeighbour(peer->name);
  uploads_.RemovePeer(peer->name);
  busy_until_.erase(peer->name);
  reported_queue_.erase(peer->name);
  ScheduleRequests(Milliseconds(0));
}

void Swarm::OnManifestRequest(Peer* peer, std::string_view payload) {
  ManifestRequestMessage request;
  if (!Decode(payload, &request)) return;
  SwarmTransfer* transfer = Find(request.manifest);
  if (transfer == nullptr || !transfer->has_manifest()) return;
  peer->channel->Send(
      TypeOf(PeerFrameType::kManifest),
      Encode(ManifestMessage{request.manifest, transfer->manifest().text}));
}

void Swarm::OnManifest(std::string_view payload) {
  ManifestMessage message;
  if (Decode(payload, &message))
    ApplyManifest(message.manifest, std::move(message.text));
}

void Swarm::SendHave(Peer* peer, const SwarmTransfer& transfer,
                     bool reply_wanted) {
  HaveMessage message{transfer.digest(), transfer.have().bytes(), reply_wanted};
  peer->channel->Send(TypeOf(PeerFrameType::kHave), Encode(message));
}

void Swarm::OnHave(Peer* peer, std::string_view payload) {
  HaveMessage message;
  if (!Decode(payload, &message)) return;
  SwarmTransfer* transfer = Find(message.manifest);
  if (transfer == nullptr) return;
  if (!transfer->has_manifest()) {
    peer->channel->Send(TypeOf(PeerFrameType::kManifestRequest),
                        Encode(ManifestRequestMessage{message.manifest}));
    return;
  }
  transfer->AddNeighbourChunks(
      peer->name, Bitmap::FromBytes(message.bitmap, transfer->have().size()));
  if (message.reply_wanted) SendHave(peer, *transfer, false);
  RequestChunks();
}

void Swarm::OnHaveUpdate(Peer* peer, std::string_view payload) {
  HaveUpdateMessage message;
  if (!Decode(payload, &message)) return;
  SwarmTransfer* transfer = Find(message.manifest);
  if (transfer == nullptr || !transfer->has_manifest()) return;
  for (uint32_t chunk : message.chunks) {
    if (chunk < transfer->have().size())
      transfer->AddNeighbourChunk(peer->name, chunk);
  }
  RequestChunks();
}

void Swarm::FlushHaves() {
  for (auto& [digest, chunks] : unsent_haves_) {
    std::string payload = Encode(HaveUpdateMessage{digest, std::move(chunks)});
    for (Peer* it : peers_->Peers())
      it->channel->Send(TypeOf(PeerFrameType::kHaveUpdate), payload);
  }
  unsent_haves_.clear();
}

void Swarm::OnChunkRequest(Peer* peer, std::string_view payload) {
  ChunkId id;
  if (!Decode(payload, &id)) return;
  if (uploads_.Enqueue(peer->name, id)) return;
  peer->channel->Send(TypeOf(PeerFrameType::kBusy), Encode(id));
}

void Swarm::OnCancel(Peer* peer, std::string_view payload) {
  ChunkId id;
  if (Decode(payload, &id)) uploads_.Cancel(peer->name, id);
}

void Swarm::OnBusy(Peer* peer, std::string_view payload) {
  ChunkId id;
  if (!Decode(payload, &id)) return;
  ++counters_.busy_responses;
  SwarmTransfer* transfer = Find(id.manifest);
  if (transfer == nullptr || !transfer->RemoveRequest(id.chunk, peer->name))
    return;
  Milliseconds pause = std::max(ChunkTime(*transfer), Milliseconds(2));
  busy_until_[peer->name] = EventLoop::Now() + pause;
  RequestChunks();
  ScheduleRequests(pause);
}

void Swarm::OnChunk(Peer* peer, std::string_view payload) {
  ChunkMessage message;
  if (!Decode(payload, &message))
    return Exclude(peer, "sent a malformed chunk");
  counters_.chunk_bytes_from_peers += message.bytes.size();
  SwarmTransfer* transfer = Find(message.manifest);
  if (transfer == nullptr || !transfer->has_manifest()) return;
  if (message.chunk >= transfer->have().size())
    return Exclude(peer, "sent a chunk out of range");
  reported_queue_[peer->name] = message.queue;
  transfer->RemoveRequest(message.chunk, peer->name);
  StoreChunk(transfer, message.chunk, std::string(message.bytes), peer);
}

void Swarm::StoreChunk(SwarmTransfer* transfer, uint32_t chunk,
                       std::string bytes, Peer* from) {
  if (transfer->have().Test(chunk)) {
    counters_.duplicate_bytes += bytes.size();
    return RequestChunks();
  }
  auto kept = store_.Put(transfer->manifest().chunks[chunk], std::move(bytes));
  if (!kept) {
    ++counters_.corrupt_chunks;
    PC_WARN(kWeights, (from != nullptr ? from->name : std::string("origin"))
                          << ": " << kept.error().message);
    if (from != nullptr) Exclude(from, "sent a corrupt chunk");
    return ScheduleRequests(Milliseconds(0));
  }
  for (const std::string& other : transfer->MarkComplete(chunk)) {
    Peer* peer = peers_->Find(other);
    ChunkId id{transfer->digest(), chunk};
    if (peer != nullptr)
      peer->channel->Send(TypeOf(PeerFrameType::kCancel), Encode(id));
    if (other.empty()) origin_requests_.erase({transfer->digest(), chunk});
  }
  unsent_haves_[transfer->digest()].push_back(chunk);
  if (!have_timer_.pending())
    have_timer_ = loop_->After(kHaveDelay, [this] { FlushHaves(); });
  if (transfer->complete()) {
    PC_INFO(kWeights, transfer->manifest().name << " "
                                                << transfer->digest().ShortHex()
                                                << " is complete");
    loop_->Post([this, digest = transfer->digest()] {
      if (IsComplete(digest)) on_done_(digest, outcome::success());
    });
  }
  RequestChunks();
}

void Swarm::Exclude(Peer* peer, const std::string& reason) {
  PC_WARN(kWeights, "excluded " << peer->name << ": " << reason);
  excluded_until_[peer->name] = EventLoop::Now() + kExclusionTime;
  // The peer is still in use by callers on the stack.
  loop_->Post([this, name = peer->name] { peers_->Disconnect(name); });
}

void Swarm::ScheduleRequests(Milliseconds delay) {
  if (request_timer_.pending()) return;
  request_timer_ = loop_->After(delay, [this] {
    request_timer_.Cancel();
    RequestChunks();
  });
}

void Swarm::RequestChunks() {
  for (auto& [digest, transfer] : transfers_) {
    if (!transfer.has_manifest() || transfer.complete()) continue;
    // Members that fetch from the origin only after a stall check for one at
    // each tick, not at each message.
    if (RankOfSelf(digest) < policy_.origin->FetcherCount(members_.size()))
      RequestFromOrigin(&transfer);
    RequestFromPeers(&transfer);
  }
}

bool Swarm::ReserveDownlink(const SwarmTransfer& transfer, uint32_t chunk) {
  auto n = static_cast<double>(transfer.manifest().ChunkSize(chunk));
  SteadyTime now = EventLoop::Now();
  if (downlink_.TryTake(n, now)) return true;
  ScheduleRequests(std::max(downlink_.Wait(n, now), Milliseconds(1)));
  return false;
}

void Swarm::RequestFromPeers(SwarmTransfer* transfer) {
  while (transfer->open_requests() < kMaxOpenRequests &&
         RequestFromBestPeer(transfer)) {
  }
}

// Prefers the neighbour with the fewest waiting requests, which balances the
// load on the uplinks.
bool Swarm::RequestFromBestPeer(SwarmTransfer* transfer) {
  SteadyTime now = EventLoop::Now();
  struct PeerChoice {
    size_t load;
    uint64_t tie_break;
    Peer* peer;
  };
  std::vector<PeerChoice> peer_choices;
  for (Peer* it : peers_->Peers()) {
    if (!policy_.neighbours->MayRequest(self_, it->name, members_)) continue;
    auto busy = busy_until_.find(it->name);
    if (busy != busy_until_.end() && busy->second > now) continue;
    size_t outstanding = transfer->RequestsTo(it->name);
    if (outstanding >= kMaxOpenToOnePeer) continue;
    auto queue = reported_queue_.find(it->name);
    size_t load = outstanding * kMaxOpenRequests +
                  (queue == reported_queue_.end() ? 0 : queue->second);
    peer_choices.push_back({load, random_(), it});
  }
  std::sort(peer_choices.begin(), peer_choices.end(),
            [](const PeerChoice& a, const PeerChoice& b) {
              return std::tie(a.load, a.tie_break) <
                     std::tie(b.load, b.tie_break);
            });
  for (const PeerChoice& it : peer_choices) {
    size_t start = random_() % transfer->have().size();
    auto candidates =
        transfer->Candidates(it.peer->name, start, kMaxCandidates);
    if (candidates.empty()) continue;
    uint32_t chunk =
        candidates[policy_.chunks->Choose(candidates, &random_)].chunk;
    if (!ReserveDownlink(*transfer, chunk)) return false;
    transfer->AddRequest(chunk, it.peer->name, now);
    it.peer->channel->Send(TypeOf(PeerFrameType::kChunkRequest),
                           Encode(ChunkId{transfer->digest(), chunk}));
    return true;
  }
  return false;
}

const std::vector<std::string>& Swarm::RankedMembers(const Digest& manifest) {
  auto it = ranked_members_.find(manifest);
  if (it == ranked_members_.end())
    it = ranked_members_.emplace(manifest, RankMembers(manifest, members_))
             .first;
  return it->second;
}

size_t Swarm::RankOfSelf(const Digest& manifest) {
  const std::vector<std::string>& ranked = RankedMembers(manifest);
  auto it = std::find(ranked.begin(), ranked.end(), self_.name);
  return static_cast<size_t>(it - ranked.begin());
}

void Swarm::RequestFromOrigin(SwarmTransfer* transfer) {
  SteadyTime now = EventLoop::Now();
  if (now < origin_backoff_until_ ||
      origin_requests_.size() >= kMaxOpenAtOrigin)
    return;
  const std::vector<std::string>& ranked = RankedMembers(transfer->digest());
  Milliseconds period = std::max(
      kMinStallTimeout, ChunkTime(*transfer) * kStallTimeoutInChunkTimes);
  for (uint32_t chunk = 0; chunk < transfer->have().size(); ++chunk) {
    if (!transfer->OnlyAtOrigin(chunk)) continue;
    uint32_t stalled = transfer->StalledPeriods(chunk, now, period);
    if (!policy_.origin->ShouldFetch(self_.name, ranked, chunk, stalled))
      continue;
    auto n = static_cast<double>(transfer->manifest().ChunkSize(chunk));
    Milliseconds wait = origin_share_.Wait(n, now);
    if (wait.count() > 0) return ScheduleRequests(wait);
    if (!ReserveDownlink(*transfer, chunk)) return;
    origin_share_.Take(n, now);
    FetchFromOrigin(transfer, chunk);
    if (origin_requests_.size() >= kMaxOpenAtOrigin) return;
  }
}

void Swarm::FetchFromOrigin(SwarmTransfer* transfer, uint32_t chunk) {
  Digest digest = transfer->digest();
  transfer->AddRequest(chunk, "", EventLoop::Now());
  Origin::Callbacks callbacks;
  callbacks.on_bytes = [this, digest, chunk](std::string bytes) {
    auto node = std::make_shared<decltype(origin_requests_)::node_type>(
        origin_requests_.extract({digest, chunk}));
    loop_->Post([node] {});
    origin_backoff_ = Milliseconds(0);
    counters_.chunk_bytes_from_origin += bytes.size();
    SwarmTransfer* transfer = Find(digest);
    if (transfer == nullptr) return;
    transfer->RemoveRequest(chunk, "");
    StoreChunk(transfer, chunk, std::move(bytes), nullptr);
  };
  callbacks.on_failure = [this, digest, chunk](const OriginFailure& failure) {
    OnOriginFailure(digest, chunk, failure);
  };
  uint64_t offset = transfer->manifest().ChunkOffset(chunk);
  uint32_t size = transfer->manifest().ChunkSize(chunk);
  origin_requests_[{digest, chunk}].fetch =
      origin_->FetchRange(digest, offset, size, std::move(callbacks));
}

void Swarm::OnOriginFailure(const Digest& manifest, uint32_t chunk,
                            const OriginFailure& failure) {
  auto node = std::make_shared<decltype(origin_requests_)::node_type>(
      origin_requests_.extract({manifest, chunk}));
  loop_->Post([node] {});
  SwarmTransfer* transfer = Find(manifest);
  if (transfer != nullptr) transfer->RemoveRequest(chunk, "");
  origin_backoff_ =
      std::clamp(origin_backoff_ * 2, kMinOriginBackoff, kMaxOriginBackoff);
  Milliseconds wait = std::max(origin_backoff_, failure.retry_after);
  origin_backoff_until_ = EventLoop::Now() + wait;
  PC_INFO(kWeights,
          failure.error.message << "; retrying in " << wait.count() << " ms");
  ScheduleRequests(wait);
}

}  // namespace primrosecove
