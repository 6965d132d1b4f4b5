#include "Core/Weights/swarm.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kTickPeriod{250};
// Chunk requests that a member has open, in all and to one peer. Enough to
// cover a round trip and the sender's queue; more would bind requests to
// senders that turn out slow.
constexpr size_t kMaxOpenRequests = 6;
constexpr size_t kMaxOpenToOnePeer = 2;
constexpr size_t kMaxOpenAtOrigin = 2;
// Candidates that the chunk strategy chooses among; bounds the work for weights
// of many chunks.
constexpr size_t kMaxCandidates = 64;
// News of chunks waits this long for more of the same.
constexpr Milliseconds kHaveDelay{4};
constexpr Milliseconds kExclusion{60'000};
constexpr Milliseconds kMinStall{1000};
constexpr int kStallChunkTimes = 24;
constexpr Milliseconds kMinOriginBackoff{100};
constexpr Milliseconds kMaxOriginBackoff{5000};
constexpr Milliseconds kManifestPatience{1000};
// Without a contract, the time of a chunk on a link is taken as this.
constexpr Milliseconds kDefaultChunkTime{20};
// A link's bucket holds this much, at least two of the largest chunks in use.
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
      uploads_(
          loop, peers, &uplink_,
          [this](const ChunkName& name) -> std::shared_ptr<const std::string> {
            SwarmObject* object = Find(name.manifest);
            if (object == nullptr || !object->has_manifest()) return nullptr;
            if (name.chunk >= object->manifest().chunks.size()) return nullptr;
            return store_.Find(object->manifest().chunks[name.chunk]);
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
      {PeerFrameType::kHaveMore, &Swarm::OnHaveMore},
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
  peers_->AddDisconnectedHandler([this](Peer* peer) { OnPeerLost(peer); });
  SetLinks(options_.link_bytes_per_second, options_.origin_bytes_per_second);
  tick_timer_ = loop_->Every(kTickPeriod, [this] { Tick(); });
}

void Swarm::SetMembers(std::vector<SwarmMember> members) {
  std::sort(members.begin(), members.end(),
            [](const SwarmMember& a, const SwarmMember& b) {
              return a.name < b.name;
            });
  members_ = std::move(members);
  ranked_.clear();
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
      std::max<size_t>(1, policy_.origin->Fetchers(members_.size()));
  uint64_t share = origin_bytes_per_second / fetchers;
  origin_share_.SetRate(static_cast<double>(share), BurstOf(share));
}

SwarmObject* Swarm::Find(const Digest& manifest) {
  auto it = objects_.find(manifest);
  return it == objects_.end() ? nullptr : &it->second;
}

void Swarm::StartFetch(const Digest& manifest) {
  if (objects_.contains(manifest)) return;
  auto it = objects_.emplace(manifest, SwarmObject(manifest)).first;
  manifest_wanted_since_[manifest] = EventLoop::Now();
  EnsureNeighbours();
  AskForManifest(&it->second);
}

void Swarm::Remove(const Digest& manifest) {
  std::erase_if(origin_requests_,
                [&](const auto& it) { return it.first.first == manifest; });
  manifest_fetches_.erase(manifest);
  manifest_wanted_since_.erase(manifest);
  unsent_haves_.erase(manifest);
  objects_.erase(manifest);
  store_.Release(manifest);
}

std::vector<Digest> Swarm::KnownManifests() const {
  std::vector<Digest> out;
  for (const auto& [digest, object] : objects_) out.push_back(digest);
  return out;
}

bool Swarm::IsComplete(const Digest& manifest) const {
  auto it = objects_.find(manifest);
  return it != objects_.end() && it->second.complete();
}

const Manifest* Swarm::FindManifest(const Digest& manifest) const {
  auto it = objects_.find(manifest);
  return it == objects_.end() || !it->second.has_manifest()
             ? nullptr
             : &it->second.manifest();
}

uint8_t Swarm::PercentComplete(const Digest& manifest) const {
  constexpr size_t kWhole = 100;
  auto it = objects_.find(manifest);
  if (it == objects_.end() || !it->second.has_manifest()) return 0;
  const Bitmap& have = it->second.have();
  return static_cast<uint8_t>(have.count() * kWhole / have.size());
}

void Swarm::ChargeLink(uint64_t bytes) {
  SteadyTime now = EventLoop::Now();
  uplink_.Take(static_cast<double>(bytes), now);
}

Milliseconds Swarm::ChunkTime(const SwarmObject& object) const {
  if (options_.link_bytes_per_second == 0 || !object.has_manifest())
    return kDefaultChunkTime;
  constexpr uint64_t kMsPerSecond = 1000;
  uint64_t ms = object.manifest().chunk_bytes * kMsPerSecond /
                options_.link_bytes_per_second;
  return Milliseconds(std::max<uint64_t>(ms, 1));
}

void Swarm::Tick() {
  EnsureNeighbours();
  SteadyTime now = EventLoop::Now();
  for (auto& [digest, object] : objects_) {
    if (!object.has_manifest()) {
      AskForManifest(&object);
    } else {
      object.MarkStalled(
          now, std::max(kMinStall, ChunkTime(object) * kStallChunkTimes));
      if (!object.complete()) PumpOrigin(&object);
    }
  }
  Pump();
}

void Swarm::EnsureNeighbours() {
  if (objects_.empty()) return;
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

// Asks a random neighbour; the first fetchers in rank also ask the origin,
// others only when the manifest has not come in time.
void Swarm::AskForManifest(SwarmObject* object) {
  const Digest& digest = object->digest();
  std::vector<Peer*> connected = peers_->Peers();
  if (!connected.empty()) {
    Peer* peer = connected[random_() % connected.size()];
    peer->channel->Send(TypeOf(PeerFrameType::kManifestRequest),
                        Encode(ManifestRequestMessage{digest}));
  }
  if (manifest_fetches_.contains(digest) ||
      EventLoop::Now() < origin_backoff_until_)
    return;
  auto waited = EventLoop::Now() - manifest_wanted_since_[digest];
  size_t patient = static_cast<size_t>(waited / kManifestPatience);
  size_t asking = policy_.origin->Fetchers(members_.size()) + patient;
  if (RankOfSelf(digest) >= asking) return;
  Origin::Callbacks callbacks;
  callbacks.on_bytes = [this, digest](std::string text) {
    auto keep = std::move(manifest_fetches_[digest]);
    manifest_fetches_.erase(digest);
    TakeManifest(digest, std::move(text));
    loop_->Post([fetch = std::shared_ptr<OriginFetch>(std::move(keep))] {});
  };
  callbacks.on_failure = [this, digest](const OriginFailure& failure) {
    auto keep = std::move(manifest_fetches_[digest]);
    manifest_fetches_.erase(digest);
    PC_WARN(kWeights,
            "manifest " << digest.ShortHex() << ": " << failure.error.message);
    origin_backoff_until_ =
        EventLoop::Now() + std::max(failure.retry_after, kMinOriginBackoff);
    loop_->Post([fetch = std::shared_ptr<OriginFetch>(std::move(keep))] {});
  };
  manifest_fetches_[digest] =
      origin_->FetchManifest(digest, std::move(callbacks));
}

void Swarm::TakeManifest(const Digest& digest, std::string text) {
  SwarmObject* object = Find(digest);
  if (object == nullptr || object->has_manifest()) return;
  auto manifest = Manifest::Parse(digest, std::move(text));
  if (!manifest) {
    ++counters_.corrupt_chunks;
    PC_WARN(kWeights, manifest.error().message);
    return;
  }
  auto held = store_.Hold(manifest.value());
  if (!held) {
    PC_ERROR(kWeights, held.error().message);
    loop_->Post([this, digest, held] { on_done_(digest, held); });
    return;
  }
  Bitmap present = store_.Present(manifest.value());
  object->SetManifest(std::move(manifest).value(), std::move(present));
  object->SetShares(
      std::max<size_t>(1, policy_.origin->Fetchers(members_.size())),
      EventLoop::Now());
  PC_INFO(kWeights, "fetching " << object->manifest().name << " "
                                << digest.ShortHex() << ", "
                                << object->have().count() << " of "
                                << object->have().size() << " chunks are here");
  for (Peer* it : peers_->Peers()) SendHave(it, *object, true);
  if (object->complete()) {
    loop_->Post([this, digest] { on_done_(digest, outcome::success()); });
  }
  Pump();
}

void Swarm::OnPeerConnected(Peer* peer) {
  for (auto& [digest, object] : objects_) {
    if (object.has_manifest()) SendHave(peer, object, true);
  }
}

void Swarm::OnPeerLost(Peer* peer) {
  for (auto& [digest, object] : objects_) object.RemoveNeighbour(peer->name);
  uploads_.RemovePeer(peer->name);
  busy_until_.erase(peer->name);
  reported_queue_.erase(peer->name);
  PumpLater(Milliseconds(0));
}

void Swarm::OnManifestRequest(Peer* peer, std::string_view payload) {
  ManifestRequestMessage request;
  if (!Decode(payload, &request)) return;
  SwarmObject* object = Find(request.manifest);
  if (object == nullptr || !object->has_manifest()) return;
  peer->channel->Send(
      TypeOf(PeerFrameType::kManifest),
      Encode(ManifestMessage{request.manifest, object->manifest().text}));
}

void Swarm::OnManifest(std::string_view payload) {
  ManifestMessage message;
  if (Decode(payload, &message))
    TakeManifest(message.manifest, std::move(message.text));
}

void Swarm::SendHave(Peer* peer, const SwarmObject& object, bool reply_wanted) {
  HaveMessage message{object.digest(), object.have().bytes(), reply_wanted};
  peer->channel->Send(TypeOf(PeerFrameType::kHave), Encode(message));
}

void Swarm::OnHave(Peer* peer, std::string_view payload) {
  HaveMessage message;
  if (!Decode(payload, &message)) return;
  SwarmObject* object = Find(message.manifest);
  if (object == nullptr) return;
  if (!object->has_manifest()) {
    peer->channel->Send(TypeOf(PeerFrameType::kManifestRequest),
                        Encode(ManifestRequestMessage{message.manifest}));
    return;
  }
  object->SetNeighbour(
      peer->name, Bitmap::FromBytes(message.bitmap, object->have().size()));
  if (message.reply_wanted) SendHave(peer, *object, false);
  Pump();
}

void Swarm::OnHaveMore(Peer* peer, std::string_view payload) {
  HaveMoreMessage message;
  if (!Decode(payload, &message)) return;
  SwarmObject* object = Find(message.manifest);
  if (object == nullptr || !object->has_manifest()) return;
  for (uint32_t chunk : message.chunks) {
    if (chunk < object->have().size())
      object->AddNeighbourChunk(peer->name, chunk);
  }
  Pump();
}

void Swarm::FlushHaves() {
  for (auto& [digest, chunks] : unsent_haves_) {
    std::string payload = Encode(HaveMoreMessage{digest, std::move(chunks)});
    for (Peer* it : peers_->Peers())
      it->channel->Send(TypeOf(PeerFrameType::kHaveMore), payload);
  }
  unsent_haves_.clear();
}

void Swarm::OnChunkRequest(Peer* peer, std::string_view payload) {
  ChunkName name;
  if (!Decode(payload, &name)) return;
  if (uploads_.Enqueue(peer->name, name)) return;
  peer->channel->Send(TypeOf(PeerFrameType::kBusy), Encode(name));
}

void Swarm::OnCancel(Peer* peer, std::string_view payload) {
  ChunkName name;
  if (Decode(payload, &name)) uploads_.Cancel(peer->name, name);
}

void Swarm::OnBusy(Peer* peer, std::string_view payload) {
  ChunkName name;
  if (!Decode(payload, &name)) return;
  ++counters_.busy_responses;
  SwarmObject* object = Find(name.manifest);
  if (object == nullptr || !object->RemoveRequest(name.chunk, peer->name))
    return;
  Milliseconds pause = std::max(ChunkTime(*object), Milliseconds(2));
  busy_until_[peer->name] = EventLoop::Now() + pause;
  Pump();
  PumpLater(pause);
}

void Swarm::OnChunk(Peer* peer, std::string_view payload) {
  ChunkMessage message;
  if (!Decode(payload, &message))
    return Exclude(peer, "sent a malformed chunk");
  counters_.chunk_bytes_from_peers += message.bytes.size();
  SwarmObject* object = Find(message.manifest);
  if (object == nullptr || !object->has_manifest()) return;
  if (message.chunk >= object->have().size())
    return Exclude(peer, "sent a chunk out of range");
  reported_queue_[peer->name] = message.queue;
  object->RemoveRequest(message.chunk, peer->name);
  TakeChunk(object, message.chunk, std::string(message.bytes), peer);
}

void Swarm::TakeChunk(SwarmObject* object, uint32_t chunk, std::string bytes,
                      Peer* from) {
  if (object->have().Test(chunk)) {
    counters_.duplicate_bytes += bytes.size();
    return Pump();
  }
  auto kept = store_.Put(object->manifest().chunks[chunk], std::move(bytes));
  if (!kept) {
    ++counters_.corrupt_chunks;
    PC_WARN(kWeights, (from != nullptr ? from->name : std::string("origin"))
                          << ": " << kept.error().message);
    if (from != nullptr) Exclude(from, "sent a corrupt chunk");
    return PumpLater(Milliseconds(0));
  }
  for (const std::string& other : object->Complete(chunk)) {
    Peer* peer = peers_->Find(other);
    ChunkName name{object->digest(), chunk};
    if (peer != nullptr)
      peer->channel->Send(TypeOf(PeerFrameType::kCancel), Encode(name));
    if (other.empty()) origin_requests_.erase({object->digest(), chunk});
  }
  unsent_haves_[object->digest()].push_back(chunk);
  if (!have_timer_.pending())
    have_timer_ = loop_->After(kHaveDelay, [this] { FlushHaves(); });
  if (object->complete()) {
    PC_INFO(kWeights, object->manifest().name << " "
                                              << object->digest().ShortHex()
                                              << " is complete");
    loop_->Post([this, digest = object->digest()] {
      if (IsComplete(digest)) on_done_(digest, outcome::success());
    });
  }
  Pump();
}

void Swarm::Exclude(Peer* peer, const std::string& why) {
  PC_WARN(kWeights, "excluded " << peer->name << ": " << why);
  excluded_until_[peer->name] = EventLoop::Now() + kExclusion;
  // The peer is on the stack below.
  loop_->Post([this, name = peer->name] { peers_->Disconnect(name); });
}

void Swarm::PumpLater(Milliseconds delay) {
  if (pump_timer_.pending()) return;
  pump_timer_ = loop_->After(delay, [this] {
    pump_timer_.Cancel();
    Pump();
  });
}

void Swarm::Pump() {
  for (auto& [digest, object] : objects_) {
    if (!object.has_manifest() || object.complete()) continue;
    // Members that draw only after a stall look for one at each tick, not at
    // each message.
    if (RankOfSelf(digest) < policy_.origin->Fetchers(members_.size()))
      PumpOrigin(&object);
    PumpPeers(&object);
  }
}

bool Swarm::TakeDownlink(const SwarmObject& object, uint32_t chunk) {
  auto n = static_cast<double>(object.manifest().ChunkSize(chunk));
  SteadyTime now = EventLoop::Now();
  if (downlink_.TryTake(n, now)) return true;
  PumpLater(std::max(downlink_.Wait(n, now), Milliseconds(1)));
  return false;
}

void Swarm::PumpPeers(SwarmObject* object) {
  while (object->open_requests() < kMaxOpenRequests &&
         RequestFromBestPeer(object)) {
  }
}

// Prefers the neighbour with the fewest requests waiting, so that uplinks are
// used evenly.
bool Swarm::RequestFromBestPeer(SwarmObject* object) {
  SteadyTime now = EventLoop::Now();
  struct Choice {
    size_t load;
    uint64_t tie;
    Peer* peer;
  };
  std::vector<Choice> choices;
  for (Peer* it : peers_->Peers()) {
    if (!policy_.neighbours->MayRequest(self_, it->name, members_)) continue;
    auto busy = busy_until_.find(it->name);
    if (busy != busy_until_.end() && busy->second > now) continue;
    size_t mine = object->RequestsTo(it->name);
    if (mine >= kMaxOpenToOnePeer) continue;
    auto queue = reported_queue_.find(it->name);
    size_t load = mine * kMaxOpenRequests +
                  (queue == reported_queue_.end() ? 0 : queue->second);
    choices.push_back({load, random_(), it});
  }
  std::sort(choices.begin(), choices.end(),
            [](const Choice& a, const Choice& b) {
              return std::tie(a.load, a.tie) < std::tie(b.load, b.tie);
            });
  for (const Choice& it : choices) {
    size_t start = random_() % object->have().size();
    auto candidates = object->Candidates(it.peer->name, start, kMaxCandidates);
    if (candidates.empty()) continue;
    uint32_t chunk =
        candidates[policy_.chunks->Choose(candidates, &random_)].chunk;
    if (!TakeDownlink(*object, chunk)) return false;
    object->AddRequest(chunk, it.peer->name, now);
    it.peer->channel->Send(TypeOf(PeerFrameType::kChunkRequest),
                           Encode(ChunkName{object->digest(), chunk}));
    return true;
  }
  return false;
}

const std::vector<std::string>& Swarm::Ranked(const Digest& manifest) {
  auto it = ranked_.find(manifest);
  if (it == ranked_.end())
    it = ranked_.emplace(manifest, RankMembers(manifest, members_)).first;
  return it->second;
}

size_t Swarm::RankOfSelf(const Digest& manifest) {
  const std::vector<std::string>& ranked = Ranked(manifest);
  auto it = std::find(ranked.begin(), ranked.end(), self_.name);
  return static_cast<size_t>(it - ranked.begin());
}

void Swarm::PumpOrigin(SwarmObject* object) {
  SteadyTime now = EventLoop::Now();
  if (now < origin_backoff_until_ ||
      origin_requests_.size() >= kMaxOpenAtOrigin)
    return;
  const std::vector<std::string>& ranked = Ranked(object->digest());
  Milliseconds period =
      std::max(kMinStall, ChunkTime(*object) * kStallChunkTimes);
  for (uint32_t chunk = 0; chunk < object->have().size(); ++chunk) {
    if (!object->OnlyAtOrigin(chunk)) continue;
    uint32_t stalled = object->StalledPeriods(chunk, now, period);
    if (!policy_.origin->ShouldFetch(self_.name, ranked, chunk, stalled))
      continue;
    auto n = static_cast<double>(object->manifest().ChunkSize(chunk));
    Milliseconds wait = origin_share_.Wait(n, now);
    if (wait.count() > 0) return PumpLater(wait);
    if (!TakeDownlink(*object, chunk)) return;
    origin_share_.Take(n, now);
    FetchFromOrigin(object, chunk);
    if (origin_requests_.size() >= kMaxOpenAtOrigin) return;
  }
}

void Swarm::FetchFromOrigin(SwarmObject* object, uint32_t chunk) {
  Digest digest = object->digest();
  object->AddRequest(chunk, "", EventLoop::Now());
  Origin::Callbacks callbacks;
  callbacks.on_bytes = [this, digest, chunk](std::string bytes) {
    auto node = std::make_shared<decltype(origin_requests_)::node_type>(
        origin_requests_.extract({digest, chunk}));
    loop_->Post([node] {});
    origin_backoff_ = Milliseconds(0);
    counters_.chunk_bytes_from_origin += bytes.size();
    SwarmObject* object = Find(digest);
    if (object == nullptr) return;
    object->RemoveRequest(chunk, "");
    TakeChunk(object, chunk, std::move(bytes), nullptr);
  };
  callbacks.on_failure = [this, digest, chunk](const OriginFailure& failure) {
    OnOriginFailure(digest, chunk, failure);
  };
  uint64_t offset = object->manifest().ChunkOffset(chunk);
  uint32_t size = object->manifest().ChunkSize(chunk);
  origin_requests_[{digest, chunk}].fetch =
      origin_->FetchRange(digest, offset, size, std::move(callbacks));
}

void Swarm::OnOriginFailure(const Digest& manifest, uint32_t chunk,
                            const OriginFailure& failure) {
  auto node = std::make_shared<decltype(origin_requests_)::node_type>(
      origin_requests_.extract({manifest, chunk}));
  loop_->Post([node] {});
  SwarmObject* object = Find(manifest);
  if (object != nullptr) object->RemoveRequest(chunk, "");
  origin_backoff_ =
      std::clamp(origin_backoff_ * 2, kMinOriginBackoff, kMaxOriginBackoff);
  Milliseconds wait = std::max(origin_backoff_, failure.retry_after);
  origin_backoff_until_ = EventLoop::Now() + wait;
  PC_INFO(kWeights,
          failure.error.message << "; next try in " << wait.count() << " ms");
  PumpLater(wait);
}

}  // namespace primrosecove
