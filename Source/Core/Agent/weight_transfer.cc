#include "Core/Agent/weight_transfer.h"

#include <algorithm>
#include <utility>

#include "Core/Agent/chunk_server.h"
#include "Core/Common/digest.h"
#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Core/Fleet/fleet_ports.h"

namespace primrosecove {
namespace {

// Pieces that are read from the engine at once.
constexpr uint32_t kEngineAtOnce = 8;
// Pieces that one agent draws from the origin at once. The origin's link is
// shared by all agents; more at once would only make each later.
constexpr size_t kOriginAtOnce = 2;
// A source that delivers nothing for so long is left for others.
constexpr Milliseconds kStall{1500};
constexpr Milliseconds kAvoidFor{4000};
constexpr Milliseconds kRetryPause{60};
// The manifest's drawer gets this many questions before another draws it.
constexpr int kManifestTriesAtPeer = 16;
// About the time in which a busy source sends a piece.
constexpr Milliseconds kBusyPause{30};
// Once this share of a version's pieces is known somewhere, the rest is
// overdue.
constexpr double kMostPieces = 0.7;
// A piece that is in the zone for so long is asked for out of turn.
constexpr Milliseconds kTurnPatience{500};
// When to look again for a piece after a pause of the pacer.
constexpr Milliseconds kFetchPause{40};
// A manifest from a peer in the same network.
constexpr Milliseconds kPeerBound{600};

}  // namespace

// What one peer has, told as it gets it.
struct WeightTransfer::Feed {
  std::set<uint32_t> pieces;
  std::string buf;
  SteadyTime busy_until{};
  std::unique_ptr<Http1Call> call;
};

// One piece on its way from a peer.
struct WeightTransfer::Fetch {
  std::string source;
  SteadyTime begun = EventLoop::Now();
  std::unique_ptr<Http1Call> call;
};

WeightTransfer::WeightTransfer(const TransferContext& context,
                               std::string model, uint64_t version,
                               bool reads_engine, Events events)
    : context_(context),
      copy_(std::move(model), version),
      reads_engine_(reads_engine),
      events_(std::move(events)),
      origin_(context.client),
      engine_(context.client, context.settings->upstream_endpoint),
      peer_calls_(context.client),
      random_(static_cast<uint32_t>(RandomU64())) {}

WeightTransfer::~WeightTransfer() {
  SteadyTime now = EventLoop::Now();
  for (size_t i = 0; i < fetches_.size(); ++i) {
    context_.pacer->OnEnd(Milliseconds(0), now);
  }
}

void WeightTransfer::Start() { FetchManifest(); }

void WeightTransfer::Refresh() {
  if (!copy_.complete()) return Plan();
  feeds_.clear();
}

ChunkPlanInput WeightTransfer::View() {
  SteadyTime now = EventLoop::Now();
  std::erase_if(avoided_until_, [now](auto& it) { return it.second <= now; });
  avoided_.clear();
  for (auto& [id, until] : avoided_until_) avoided_.insert(id);
  ChunkPlanInput out;
  out.self = *context_.self;
  out.model = copy_.model();
  out.version = copy_.version();
  out.members = context_.notice->members;
  out.avoided = &avoided_;
  return out;
}

const FleetMember* WeightTransfer::Member(const std::string& id) const {
  for (const FleetMember& it : context_.notice->members) {
    if (it.id == id) return &it;
  }
  return nullptr;
}

void WeightTransfer::FetchManifest() {
  if (manifest_under_way_ || copy_.has_digests()) return;
  manifest_under_way_ = true;
  std::string fetcher = ManifestFetcher(View());
  const FleetMember* peer = Member(fetcher);
  if (peer == nullptr || fetcher == *context_.self ||
      manifest_tries_ >= kManifestTriesAtPeer) {
    auto take = [this](Result<platform::WeightManifest> manifest) {
      if (!manifest) return TakeManifest(manifest.error(), "origin");
      TakeManifest(std::move(manifest.value().digests), "origin");
    };
    return origin_.FetchManifest(context_.notice->origin, copy_.model(),
                                 copy_.version(), take);
  }
  HttpRequest request;
  request.target = PeerPath(copy_.model(), copy_.version());
  auto take = [this](Result<HttpResponse> response) {
    if (!response) return TakeManifest(response.error(), "peer");
    if (response.value().status != 200) {
      return TakeManifest(Fail(ErrorCode::kNotFound, "not there yet"), "peer");
    }
    TakeManifest(Split(response.value().body, '\n'), "peer");
  };
  peer_calls_.Send(PeerEndpoint(*context_.settings, peer->upstream.ip), request,
                   kPeerBound, take);
}

void WeightTransfer::TakeManifest(Result<std::vector<std::string>> digests,
                                  const char* source) {
  manifest_under_way_ = false;
  std::string why = digests ? "" : digests.error().message;
  if (digests) {
    auto set = copy_.SetDigests(digests.value());
    if (!set) why = set.error().message;
  }
  if (!why.empty()) {
    ++manifest_tries_;
    if (manifest_tries_ % kManifestTriesAtPeer == 0) {
      PC_WARN(kWeights, "event=manifest_missing version="
                            << copy_.version() << " source=" << source
                            << " why=\"" << why << "\"");
    }
    retry_timer_ =
        context_.loop->After(kRetryPause, [this] { FetchManifest(); });
    return;
  }
  PC_INFO(kWeights, "event=manifest_read version=" << copy_.version()
                                                   << " pieces=" << copy_.size()
                                                   << " source=" << source);
  if (!reads_engine_) return Plan();
  ReadEngine();
}

void WeightTransfer::ReadEngine() {
  // An engine without the first pieces has none.
  if (engine_absent_ >= kEngineAtOnce) engine_next_ = copy_.size();
  while (engine_pending_ < kEngineAtOnce && engine_next_ < copy_.size()) {
    uint32_t n = engine_next_++;
    ++engine_pending_;
    engine_.ReadStagedChunk(copy_.model(), n,
                            [this, n](Result<std::string> bytes) {
                              TakeFromEngine(n, std::move(bytes));
                            });
  }
  if (engine_pending_ > 0) return;
  PC_INFO(kWeights, "event=local_read version=" << copy_.version() << " held="
                                                << copy_.held_count());
  CheckComplete();
  Plan();
}

void WeightTransfer::TakeFromEngine(uint32_t n, Result<std::string> bytes) {
  --engine_pending_;
  if (!bytes) {
    ++engine_absent_;
  } else if (copy_.Add(n, std::move(bytes).value())) {
    events_.on_piece(n);
  }
  ReadEngine();
}

void WeightTransfer::Plan() {
  plan_.clear();
  if (!copy_.has_digests() || engine_pending_ > 0) return;
  ChunkPlanInput view = View();
  Milliseconds overdue = Overdue();
  for (uint32_t n : copy_.Missing()) {
    plan_[n] = PlanChunk(view, n, overdue);
  }
  for (const FleetMember& it : context_.notice->members) {
    bool useful = !it.leaving || it.served_version == copy_.version();
    if (it.id == *context_.self || !useful || avoided_.contains(it.id))
      continue;
    if (!plan_.empty() && !feeds_.contains(it.id)) Follow(it);
  }
  FetchNext();
  FetchFromOrigin();
}

Milliseconds WeightTransfer::Overdue() {
  SteadyTime now = EventLoop::Now();
  if (!mostly_known_at_) {
    size_t known = CountKnown();
    if (!half_known_at_ && known >= copy_.size() * kMostPieces / 2) {
      half_known_at_ = now;
    }
    if (known < copy_.size() * kMostPieces) return Milliseconds(0);
    mostly_known_at_ = now;
  }
  // The rest comes at the rate of what came before.
  auto rate_span = *mostly_known_at_ - half_known_at_.value_or(now);
  SteadyTime expected = *mostly_known_at_ +
                        std::chrono::duration_cast<SteadyTime::duration>(
                            rate_span * (1 - kMostPieces) / (kMostPieces / 2));
  if (now <= expected) return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(now - expected);
}

size_t WeightTransfer::CountKnown() const {
  std::set<uint32_t> known;
  for (const auto& [id, feed] : feeds_) {
    known.insert(feed->pieces.begin(), feed->pieces.end());
  }
  for (uint32_t n = 0; n < copy_.size(); ++n) {
    if (copy_.Has(n)) known.insert(n);
  }
  return known.size();
}

void WeightTransfer::Follow(const FleetMember& member) {
  HttpRequest request;
  request.target = PeerPath(copy_.model(), copy_.version()) + "?feed=1";
  CallOptions options;
  options.fresh_connection = true;
  CallEvents events;
  std::string id = member.id;
  events.on_data = [this, id](std::string_view bytes) { TakeFeed(id, bytes); };
  events.on_end = [this, id](const CallResult&) {
    feeds_.erase(id);
    Avoid(id, "feed ended");
  };
  auto feed = std::make_unique<Feed>();
  feed->call = context_.client->Send(
      PeerEndpoint(*context_.settings, member.upstream.ip), request, options,
      std::move(events));
  feeds_[id] = std::move(feed);
}

void WeightTransfer::TakeFeed(const std::string& id, std::string_view bytes) {
  Feed* feed = feeds_[id].get();
  feed->buf.append(bytes);
  for (uint32_t n : TakePieceNumbers(&feed->buf)) feed->pieces.insert(n);
  FetchNext();
}

std::string WeightTransfer::LeastBusy(const std::vector<std::string>& peers,
                                      uint32_t n, size_t* holders) {
  SteadyTime now = EventLoop::Now();
  std::string out;
  size_t least = SIZE_MAX;
  size_t equal = 0;
  for (const std::string& id : peers) {
    auto it = feeds_.find(id);
    if (it == feeds_.end() || !it->second->pieces.contains(n)) continue;
    ++*holders;
    if (it->second->busy_until > now) continue;
    size_t load = 0;
    for (auto& [piece, fetch] : fetches_) load += fetch->source == id ? 1 : 0;
    if (load > least) continue;
    equal = load == least ? equal + 1 : 1;
    least = load;
    // Agents that all took the first of several would queue up there.
    if (std::uniform_int_distribution<size_t>(1, equal)(random_) == 1) out = id;
  }
  return out;
}

std::string WeightTransfer::SourceOf(uint32_t n) {
  auto planned = plan_.find(n);
  if (planned == plan_.end()) return "";
  const ChunkSources& sources = planned->second;
  size_t holders = 0;
  std::string near = LeastBusy(sources.zone_peers, n, &holders);
  if (holders == 0) {
    size_t far_holders = 0;
    return LeastBusy(sources.remote_peers, n, &far_holders);
  }
  SteadyTime now = EventLoop::Now();
  SteadyTime seen = seen_at_.try_emplace(n, now).first->second;
  bool turn = holders >= HoldersNeeded(sources.zone_rank);
  return turn || now - seen > kTurnPatience ? near : "";
}

void WeightTransfer::FetchNext() {
  SteadyTime now = EventLoop::Now();
  if (!context_.pacer->MayStart(now)) return;
  std::vector<std::pair<uint32_t, std::string>> ready;
  for (auto& [n, sources] : plan_) {
    if (copy_.Has(n) || fetches_.contains(n)) continue;
    std::string source = SourceOf(n);
    if (!source.empty()) ready.emplace_back(n, source);
  }
  // Agents that ask for the same pieces in the same order would have nothing
  // for each other.
  std::shuffle(ready.begin(), ready.end(), random_);
  for (auto& [n, source] : ready) {
    if (!context_.pacer->MayStart(now)) return;
    const FleetMember* member = Member(source);
    if (member != nullptr) FetchFromPeer(*member, n);
  }
}

void WeightTransfer::FetchFromPeer(const FleetMember& member, uint32_t n) {
  HttpRequest request;
  request.target =
      PeerPath(copy_.model(), copy_.version()) + "?piece=" + std::to_string(n);
  CallOptions options;
  options.timeout = kStall;
  CallEvents events;
  events.on_end = [this, n](CallResult result) { EndFetch(n, result); };
  auto fetch = std::make_unique<Fetch>();
  fetch->source = member.id;
  context_.pacer->OnStart();
  fetch->call = context_.client->Send(
      PeerEndpoint(*context_.settings, member.upstream.ip), request, options,
      std::move(events));
  fetches_[n] = std::move(fetch);
}

void WeightTransfer::EndFetch(uint32_t n, const CallResult& result) {
  constexpr int kBusyStatus = 503;
  SteadyTime now = EventLoop::Now();
  auto fetch = std::move(fetches_[n]);
  fetches_.erase(n);
  auto took = std::chrono::duration_cast<Milliseconds>(now - fetch->begun);
  bool whole = result.end == CallEnd::kComplete && result.head->status == 200;
  bool busy =
      result.end == CallEnd::kComplete && result.head->status == kBusyStatus;
  context_.pacer->OnEnd(busy ? Milliseconds(0) : took, now);
  auto feed = feeds_.find(fetch->source);
  if (busy && feed != feeds_.end()) {
    feed->second->busy_until = now + kBusyPause;
  } else if (!whole) {
    Avoid(fetch->source, "no piece");
  }
  if (whole) AddPiece(n, result.body, &context_.counters->peer_bytes);
  FetchNext();
  fetch_timer_ = context_.loop->After(kFetchPause, [this] { FetchNext(); });
}

void WeightTransfer::Avoid(const std::string& id, const char* why) {
  avoided_until_[id] = EventLoop::Now() + kAvoidFor;
  PC_INFO(kWeights, "event=peer_avoided peer="
                        << id << " why=\"" << why << "\" version="
                        << copy_.version() << " held=" << copy_.held_count());
}

void WeightTransfer::FetchFromOrigin() {
  for (auto& [n, sources] : plan_) {
    if (origin_under_way_.size() >= kOriginAtOnce) return;
    if (!sources.origin || copy_.Has(n)) continue;
    if (!origin_under_way_.insert(n).second) continue;
    origin_.FetchChunk(context_.notice->origin, copy_.model(), copy_.version(),
                       n, [this, n = n](Result<std::string> bytes) {
                         origin_under_way_.erase(n);
                         if (!bytes) {
                           // An origin that refuses at once would be asked
                           // without a pause.
                           origin_timer_ = context_.loop->After(
                               kRetryPause, [this] { FetchFromOrigin(); });
                           return;
                         }
                         AddPiece(n, std::move(bytes).value(),
                                  &context_.counters->origin_bytes);
                         FetchFromOrigin();
                       });
  }
}

void WeightTransfer::AddPiece(uint32_t n, std::string bytes,
                              uint64_t* counter) {
  *counter += bytes.size();
  if (!copy_.has_digests() || copy_.Has(n)) return;
  if (!copy_.Add(n, std::move(bytes))) {
    ++context_.counters->corrupt_pieces;
    PC_WARN(kWeights, "event=piece_corrupt version=" << copy_.version()
                                                     << " piece=" << n);
    return;
  }
  events_.on_piece(n);
  CheckComplete();
}

void WeightTransfer::CheckComplete() {
  if (!copy_.complete() || std::exchange(told_complete_, true)) return;
  events_.on_complete();
}

}  // namespace primrosecove
