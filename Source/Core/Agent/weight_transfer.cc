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

// Chunks that are read from the engine concurrently.
constexpr uint32_t kMaxConcurrentEngineReads = 8;
// Chunks that one agent fetches from the origin concurrently. All agents share
// the origin's link, so more would only delay each chunk.
constexpr size_t kMaxConcurrentOriginFetches = 2;
// A chunk request to a peer fails after this time without data, and the peer is
// avoided.
constexpr Milliseconds kChunkStallTimeout{1500};
// The whole request may take this many times as long as the chunk takes on this
// host's link, because the peer sends to others, too.
constexpr double kMaxChunkDelay = 40;
constexpr Milliseconds kPeerAvoidDuration{4000};
constexpr Milliseconds kRetryDelay{60};
// Time for which agents wait for one member to fetch the manifest.
constexpr Milliseconds kManifestTurn{1000};
// Failed requests for the manifest between two log lines.
constexpr int kManifestTriesPerLogLine = 16;
// Time from a doubt about a manifest that the origin has confirmed to the next
// one; it doubles each time.
constexpr Milliseconds kMinDoubtInterval{1000};
constexpr Milliseconds kMaxDoubtInterval{16'000};
// About the time in which a busy peer sends one chunk.
constexpr Milliseconds kBusyPeerDelay{30};
// When this share of a version's chunks is available somewhere, the remaining
// chunks can become overdue.
constexpr double kMostChunks = 0.7;
// A chunk that has been available in the zone for this long is requested
// regardless of the rank order.
constexpr Milliseconds kMaxRankDelay{500};
// Time for a member that serves a version to offer its chunks. Its agent may
// have restarted and reads the manifest and the engine's chunks first.
constexpr Milliseconds kOfferTime{3000};
// Time without a new chunk anywhere after which the members that should fetch
// the missing ones from the origin may be stuck, and others help.
constexpr Milliseconds kMaxFetchPause{1500};
// The same for agents without a share of their own, by their group.
constexpr Milliseconds kFurtherGroupDelay{10'000};
// Delay before fetching is tried again after the pacer has paused.
constexpr Milliseconds kFetchRetryDelay{40};
// Timeout for a manifest from a peer in the same network.
constexpr Milliseconds kPeerManifestTimeout{600};

const std::set<uint32_t> kNoChunks;

// Names a manifest in log lines.
std::string ShortName(const std::vector<Digest>& manifest) {
  constexpr size_t kDigits = 12;
  return IdentifyManifest(manifest).ToHex().substr(0, kDigits);
}

}  // namespace

// Chunks that one peer has, updated by its feed connection.
struct WeightTransfer::Feed {
  std::set<uint32_t> chunks;
  std::string buf;
  SteadyTime busy_until{};
  std::unique_ptr<Http1Call> call;
};

// A chunk request to a peer.
struct WeightTransfer::Fetch {
  std::string source;
  SteadyTime started_at = EventLoop::Now();
  std::unique_ptr<Http1Call> call;
};

WeightTransfer::WeightTransfer(const TransferContext& context,
                               std::string model, uint64_t version,
                               bool read_engine, Events events)
    : context_(context),
      copy_(std::move(model), version),
      read_engine_(read_engine),
      events_(std::move(events)),
      origin_(context.client),
      engine_(context.client, context.settings->upstream_endpoint),
      peer_calls_(context.client),
      doubt_interval_(kMinDoubtInterval),
      random_engine_(static_cast<uint32_t>(RandomU64())) {}

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

void WeightTransfer::SetUsesPeers(bool uses_peers) {
  uses_peers_ = uses_peers;
  if (uses_peers) FetchNext();
}

ChunkPlanInput WeightTransfer::MakePlanInput() {
  SteadyTime now = EventLoop::Now();
  std::erase_if(avoided_until_, [now](auto& it) { return it.second <= now; });
  avoided_.clear();
  for (auto& [id, until] : avoided_until_) avoided_.insert(id);
  ChunkPlanInput out;
  out.self = *context_.self;
  out.model = copy_.model();
  out.version = copy_.version();
  out.members = context_.update->members;
  out.avoided = &avoided_;
  for (const auto& [id, asked_at] : asked_at_) {
    if (now - asked_at < kOfferTime) continue;
    auto feed = feeds_.find(id);
    out.offers[id] = feed == feeds_.end() ? &kNoChunks : &feed->second->chunks;
  }
  return out;
}

const FleetMember* WeightTransfer::FindMember(const std::string& id) const {
  for (const FleetMember& it : context_.update->members) {
    if (it.id == id) return &it;
  }
  return nullptr;
}

void WeightTransfer::FetchManifest() {
  if (manifest_in_flight_ || (copy_.has_digests() && !copy_.doubted())) return;
  manifest_in_flight_ = true;
  // Peers may have the doubted manifest as well.
  if (copy_.doubted()) return FetchManifestFromOrigin();
  std::string source = ChooseManifestSource();
  const FleetMember* peer = FindMember(source);
  if (peer == nullptr || source == *context_.self)
    return FetchManifestFromOrigin();
  FetchManifestFromPeer(*peer);
}

void WeightTransfer::FetchManifestFromOrigin() {
  auto on_manifest = [this](Result<platform::WeightManifest> manifest) {
    if (!manifest) return RetryManifest(manifest.error(), "origin");
    OnOriginManifest(ReadManifest(manifest.value()));
  };
  origin_.FetchManifest(context_.update->origin, copy_.model(), copy_.version(),
                        on_manifest);
}

Result<std::vector<Digest>> WeightTransfer::ReadManifest(
    const platform::WeightManifest& manifest) const {
  const DeploymentUpdate& update = *context_.update;
  if (manifest.model != copy_.model() || manifest.version != copy_.version()) {
    return Fail(ErrorCode::kInvalidArgument,
                "the manifest describes " + manifest.model + " version " +
                    std::to_string(manifest.version));
  }
  bool has_chunk_bytes = update.chunk_bytes != 0;
  if (has_chunk_bytes &&
      manifest.chunk_bytes != static_cast<int64_t>(update.chunk_bytes)) {
    return Fail(ErrorCode::kInvalidArgument,
                "the manifest states chunks of " +
                    std::to_string(manifest.chunk_bytes) +
                    " bytes, the configuration " +
                    std::to_string(update.chunk_bytes));
  }
  return ParseDigests(manifest.digests, update.chunks);
}

void WeightTransfer::FetchManifestFromPeer(const FleetMember& peer) {
  HttpRequest request;
  request.target = PeerWeightsPath(copy_.model(), copy_.version());
  auto on_manifest = [this](Result<HttpResponse> response) {
    if (!response) return RetryManifest(response.error(), "peer");
    if (response.value().status != 200) {
      return RetryManifest(
          {ErrorCode::kNotFound, "the peer does not have the manifest yet"},
          "peer");
    }
    std::vector<std::string> hex = Split(response.value().body, '\n');
    OnManifest(ParseDigests(hex, context_.update->chunks), "peer");
  };
  peer_calls_.Send(PeerEndpoint(*context_.settings, peer.upstream.ip), request,
                   kPeerManifestTimeout, on_manifest);
}

// Agents that failed together try again at different times.
Milliseconds WeightTransfer::RetryDelay() {
  std::uniform_int_distribution<int64_t> ms(kRetryDelay.count() / 2,
                                            kRetryDelay.count() * 3 / 2);
  return Milliseconds(ms(random_engine_));
}

// Asks the member whose turn it is and a random one of the zone alternately, so
// that the manifest spreads within the zone as soon as one member has it.
std::string WeightTransfer::ChooseManifestSource() {
  ChunkPlanInput input = MakePlanInput();
  ChunkPlanner planner(input);
  auto elapsed = EventLoop::Now() - started_at_;
  std::string fetcher =
      planner.ManifestFetcher(static_cast<size_t>(elapsed / kManifestTurn));
  std::vector<std::string> peers = planner.ZonePeers();
  if (fetcher == *context_.self || manifest_tries_ % 2 == 0 || peers.empty())
    return fetcher;
  std::uniform_int_distribution<size_t> index(0, peers.size() - 1);
  return peers[index(random_engine_)];
}

void WeightTransfer::OnOriginManifest(Result<std::vector<Digest>> digests) {
  if (digests && !manifest_agreement_.Add(digests.value())) {
    if (!manifest_agreement_.differs()) return FetchManifestFromOrigin();
    PC_WARN(kWeights, "event=manifests_differ version="
                          << copy_.version()
                          << " manifest=" << ShortName(digests.value()));
    return RetryManifest({ErrorCode::kCorrupt, "the origin's manifests differ"},
                         "origin");
  }
  OnManifest(std::move(digests), "origin");
}

void WeightTransfer::OnManifest(Result<std::vector<Digest>> digests,
                                const char* source) {
  if (!digests) {
    ++context_.counters->rejected_manifests;
    return RetryManifest(digests.error(), source);
  }
  manifest_in_flight_ = false;
  bool is_confirmed = copy_.has_digests() && digests.value() == copy_.digests();
  bool is_replaced = copy_.has_digests() && !is_confirmed;
  copy_.SetDoubted(false);
  if (is_confirmed) return OnManifestConfirmed();
  copy_.SetDigests(std::move(digests).value());
  mismatches_.Clear();
  PC_INFO(kWeights, "event=manifest_read version="
                        << copy_.version() << " pieces=" << copy_.size()
                        << " source=" << source << " replaced=" << is_replaced
                        << " manifest=" << ShortName(copy_.digests())
                        << " held=" << copy_.held_count());
  if (is_replaced) ++context_.counters->replaced_manifests;
  if (!read_engine_) return Plan();
  // Chunks at the engine may match the new digests.
  engine_next_ = 0;
  engine_missing_ = 0;
  if (engine_pending_ == 0) ReadEngine();
}

void WeightTransfer::DoubtManifest(uint32_t n) {
  SteadyTime now = EventLoop::Now();
  if (copy_.doubted() || now < next_doubt_at_) return;
  PC_WARN(kWeights, "event=manifest_doubted version="
                        << copy_.version() << " piece=" << n
                        << " held=" << copy_.held_count()
                        << " manifest=" << ShortName(copy_.digests()));
  ++context_.counters->doubted_manifests;
  next_doubt_at_ = now + doubt_interval_;
  doubt_interval_ = std::min(doubt_interval_ * 2, kMaxDoubtInterval);
  copy_.SetDoubted(true);
  manifest_agreement_ = ManifestAgreement();
  FetchManifest();
}

void WeightTransfer::OnManifestConfirmed() {
  std::set<std::string> sources = mismatches_.RepeatedSources();
  PC_INFO(kWeights, "event=manifest_confirmed version="
                        << copy_.version() << " sources=" << sources.size()
                        << " manifest=" << ShortName(copy_.digests()));
  for (const std::string& it : sources) {
    if (!it.empty()) AvoidPeer(it, "its chunks do not match the manifest");
  }
  Plan();
}

void WeightTransfer::RetryManifest(const Error& error, const char* source) {
  manifest_in_flight_ = false;
  if (manifest_tries_++ % kManifestTriesPerLogLine == 0) {
    PC_WARN(kWeights,
            "event=manifest_missing version="
                << copy_.version() << " source=" << source
                << " rejected=" << context_.counters->rejected_manifests
                << " why=\"" << error.message << "\"");
  }
  retry_timer_ =
      context_.loop->After(RetryDelay(), [this] { FetchManifest(); });
}

void WeightTransfer::ReadEngine() {
  // If the engine has none of the first chunks, it has no other chunks either.
  if (engine_missing_ >= kMaxConcurrentEngineReads) engine_next_ = copy_.size();
  while (engine_pending_ < kMaxConcurrentEngineReads &&
         engine_next_ < copy_.size()) {
    uint32_t n = engine_next_++;
    ++engine_pending_;
    engine_.ReadStagedChunk(copy_.model(), n,
                            [this, n](Result<std::string> bytes) {
                              OnEngineChunk(n, std::move(bytes));
                            });
  }
  if (engine_pending_ > 0) return;
  PC_INFO(kWeights, "event=local_read version=" << copy_.version() << " held="
                                                << copy_.held_count());
  CheckComplete();
  Plan();
}

void WeightTransfer::OnEngineChunk(uint32_t n, Result<std::string> bytes) {
  --engine_pending_;
  if (!bytes) {
    ++engine_missing_;
  } else if (copy_.Add(n, std::move(bytes).value())) {
    events_.on_chunk(n);
  }
  ReadEngine();
}

void WeightTransfer::Plan() {
  if (copy_.has_digests() && engine_pending_ == 0) CheckProgress();
  auto before = std::exchange(plan_, {});
  if (!copy_.has_digests() || engine_pending_ > 0) return;
  ChunkPlanInput input = MakePlanInput();
  ChunkPlanner planner(input);
  fetcher_group_ = planner.FetcherGroup();
  Milliseconds overdue = OverdueTime();
  std::set<std::string> peers;
  for (uint32_t n : copy_.Missing()) {
    ChunkSources& sources = plan_[n] =
        planner.Plan(n, overdue, UnimportedTime(n, before[n]));
    sources.origin |= help_ == n;
    peers.insert(sources.zone_peers.begin(), sources.zone_peers.end());
    peers.insert(sources.remote_peers.begin(), sources.remote_peers.end());
  }
  for (const FleetMember& it : context_.update->members) {
    if (peers.contains(it.id) && !feeds_.contains(it.id)) SubscribeToPeer(it);
  }
  FetchNext();
  FetchFromOrigin();
}

Milliseconds WeightTransfer::OverdueTime() {
  SteadyTime now = EventLoop::Now();
  if (!mostly_available_at_) {
    size_t available = CountAvailable();
    if (!half_available_at_ && available >= copy_.size() * kMostChunks / 2) {
      half_available_at_ = now;
    }
    if (available < copy_.size() * kMostChunks) return Milliseconds(0);
    mostly_available_at_ = now;
  }
  // The remaining chunks are expected at the rate of the previous ones.
  auto measured_span = *mostly_available_at_ - half_available_at_.value_or(now);
  SteadyTime expected_at =
      *mostly_available_at_ +
      std::chrono::duration_cast<SteadyTime::duration>(
          measured_span * (1 - kMostChunks) / (kMostChunks / 2));
  if (now <= expected_at) return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(now - expected_at);
}

bool WeightTransfer::IsOffered(uint32_t n) const {
  return std::ranges::any_of(
      feeds_, [n](const auto& it) { return it.second->chunks.contains(n); });
}

Milliseconds WeightTransfer::UnimportedTime(uint32_t n,
                                            const ChunkSources& before) {
  bool is_in_zone = std::ranges::any_of(before.zone_peers, [&](const auto& id) {
    auto feed = feeds_.find(id);
    return feed != feeds_.end() && feed->second->chunks.contains(n);
  });
  if (is_in_zone || !IsOffered(n)) {
    unimported_since_.erase(n);
    return Milliseconds(0);
  }
  SteadyTime now = EventLoop::Now();
  SteadyTime since = unimported_since_.try_emplace(n, now).first->second;
  return std::chrono::duration_cast<Milliseconds>(now - since);
}

bool WeightTransfer::IsAwaited(uint32_t n, const ChunkSources& sources) const {
  bool has_fetcher = !sources.origin_fetcher.empty() &&
                     sources.origin_fetcher != *context_.self;
  return has_fetcher && !copy_.Has(n) && !IsOffered(n);
}

void WeightTransfer::CheckProgress() {
  SteadyTime now = EventLoop::Now();
  size_t available = CountAvailable();
  bool has_progress = available > std::exchange(available_count_, available);
  bool waits = false;
  bool fetches_itself = false;
  for (const auto& [n, sources] : plan_) {
    waits |= IsAwaited(n, sources);
    fetches_itself |= sources.origin && help_ != n && !copy_.Has(n);
  }
  if (!waits || fetches_itself) {
    helping_ = false;
    help_.reset();
    progress_at_ = now;
    return;
  }
  if (helping_) return ChooseHelp();
  if (has_progress) progress_at_ = now;
  Milliseconds pause =
      fetcher_group_ == 0
          ? kMaxFetchPause
          : kFurtherGroupDelay * static_cast<int>(fetcher_group_);
  if (now - progress_at_ < pause) return;
  helping_ = true;
  PC_INFO(kWeights, "event=transfer_stalled version="
                        << copy_.version() << " held=" << copy_.held_count()
                        << " available=" << available
                        << " group=" << fetcher_group_);
  ChooseHelp();
}

void WeightTransfer::ChooseHelp() {
  if (help_ && !copy_.Has(*help_) && !IsOffered(*help_)) return;
  help_.reset();
  std::vector<uint32_t> awaited;
  for (const auto& [n, sources] : plan_) {
    if (IsAwaited(n, sources)) awaited.push_back(n);
  }
  if (awaited.empty()) return;
  std::uniform_int_distribution<size_t> index(0, awaited.size() - 1);
  help_ = awaited[index(random_engine_)];
  plan_[*help_].origin = true;
}

size_t WeightTransfer::CountAvailable() const {
  std::set<uint32_t> available;
  for (const auto& [id, feed] : feeds_) {
    available.insert(feed->chunks.begin(), feed->chunks.end());
  }
  for (uint32_t n = 0; n < copy_.size(); ++n) {
    if (copy_.Has(n)) available.insert(n);
  }
  return available.size();
}

void WeightTransfer::SubscribeToPeer(const FleetMember& member) {
  HttpRequest request;
  request.target = PeerWeightsPath(copy_.model(), copy_.version()) + "?feed=1";
  CallOptions options;
  options.fresh_connection = true;
  CallEvents events;
  std::string id = member.id;
  events.on_data = [this, id](std::string_view bytes) {
    OnFeedData(id, bytes);
  };
  events.on_end = [this, id](const CallResult&) {
    feeds_.erase(id);
    AvoidPeer(id, "feed ended");
  };
  asked_at_.try_emplace(id, EventLoop::Now());
  auto feed = std::make_unique<Feed>();
  feed->call = context_.client->Send(
      PeerEndpoint(*context_.settings, member.upstream.ip), request, options,
      std::move(events));
  feeds_[id] = std::move(feed);
}

void WeightTransfer::OnFeedData(const std::string& id, std::string_view bytes) {
  Feed* feed = feeds_[id].get();
  feed->buf.append(bytes);
  for (uint32_t n : ParseChunkNumbers(&feed->buf)) {
    if (n >= copy_.size()) {
      feeds_.erase(id);
      return AvoidPeer(id, "feed names a chunk that does not exist");
    }
    feed->chunks.insert(n);
  }
  FetchNext();
}

std::string WeightTransfer::ChooseLeastBusy(
    const std::vector<std::string>& peers, uint32_t n, size_t* holders) {
  SteadyTime now = EventLoop::Now();
  std::string out;
  size_t least_load = SIZE_MAX;
  size_t ties = 0;
  for (const std::string& id : peers) {
    auto it = feeds_.find(id);
    if (it == feeds_.end() || !it->second->chunks.contains(n)) continue;
    ++*holders;
    if (it->second->busy_until > now) continue;
    size_t load = 0;
    for (auto& [chunk, fetch] : fetches_) load += fetch->source == id ? 1 : 0;
    if (load > least_load) continue;
    ties = load == least_load ? ties + 1 : 1;
    least_load = load;
    // A random choice among equally busy peers keeps agents from all queueing
    // at the first one.
    if (std::uniform_int_distribution<size_t>(1, ties)(random_engine_) == 1)
      out = id;
  }
  return out;
}

std::string WeightTransfer::ChooseSource(uint32_t n) {
  auto planned = plan_.find(n);
  if (planned == plan_.end()) return "";
  const ChunkSources& sources = planned->second;
  size_t holders = 0;
  std::string zone_peer = ChooseLeastBusy(sources.zone_peers, n, &holders);
  if (holders == 0) {
    size_t remote_holders = 0;
    return ChooseLeastBusy(sources.remote_peers, n, &remote_holders);
  }
  SteadyTime now = EventLoop::Now();
  SteadyTime available_since =
      available_since_.try_emplace(n, now).first->second;
  bool rank_reached = holders >= HoldersNeeded(sources.zone_rank);
  return rank_reached || now - available_since > kMaxRankDelay ? zone_peer : "";
}

void WeightTransfer::FetchNext() {
  SteadyTime now = EventLoop::Now();
  if (!uses_peers_ || !context_.pacer->MayStart(now)) return;
  std::vector<std::pair<uint32_t, std::string>> fetchable;
  for (auto& [n, sources] : plan_) {
    if (copy_.Has(n) || fetches_.contains(n)) continue;
    if (!mismatches_.MayFetch(n, now)) continue;
    std::string source = ChooseSource(n);
    if (!source.empty()) fetchable.emplace_back(n, source);
  }
  // Agents that fetch the same chunks in the same order would have nothing to
  // exchange, so the order is random.
  std::shuffle(fetchable.begin(), fetchable.end(), random_engine_);
  for (auto& [n, source] : fetchable) {
    if (!context_.pacer->MayStart(now)) return;
    const FleetMember* member = FindMember(source);
    if (member != nullptr) FetchFromPeer(*member, n);
  }
}

void WeightTransfer::FetchFromPeer(const FleetMember& member, uint32_t n) {
  HttpRequest request;
  request.target = PeerWeightsPath(copy_.model(), copy_.version()) +
                   "?piece=" + std::to_string(n);
  CallOptions options;
  options.timeout = ChunkTimeout();
  options.stall_timeout = kChunkStallTimeout;
  CallEvents events;
  events.on_end = [this, n](CallResult result) { OnFetchEnd(n, result); };
  auto fetch = std::make_unique<Fetch>();
  fetch->source = member.id;
  context_.pacer->OnStart();
  fetch->call = context_.client->Send(
      PeerEndpoint(*context_.settings, member.upstream.ip), request, options,
      std::move(events));
  fetches_[n] = std::move(fetch);
}

Milliseconds WeightTransfer::ChunkTimeout() const {
  double link = context_.settings->link_bytes_per_second;
  if (link <= 0) return kChunkStallTimeout;
  constexpr double kMsPerSecond = 1000;
  double ms =
      kMaxChunkDelay * context_.update->chunk_bytes / link * kMsPerSecond;
  return std::max(kChunkStallTimeout, Milliseconds(static_cast<int64_t>(ms)));
}

void WeightTransfer::OnFetchEnd(uint32_t n, const CallResult& result) {
  constexpr int kBusyStatus = 503;
  SteadyTime now = EventLoop::Now();
  auto fetch = std::move(fetches_[n]);
  fetches_.erase(n);
  auto elapsed =
      std::chrono::duration_cast<Milliseconds>(now - fetch->started_at);
  bool succeeded =
      result.end == CallEnd::kComplete && result.head->status == 200;
  bool peer_busy =
      result.end == CallEnd::kComplete && result.head->status == kBusyStatus;
  context_.pacer->OnEnd(peer_busy ? Milliseconds(0) : elapsed, now);
  auto feed = feeds_.find(fetch->source);
  if (peer_busy && feed != feeds_.end()) {
    feed->second->busy_until = now + kBusyPeerDelay;
  } else if (!succeeded) {
    AvoidPeer(fetch->source, "chunk request failed");
  }
  if (succeeded) AddChunk(n, result.body, fetch->source);
  FetchNext();
  fetch_timer_ =
      context_.loop->After(kFetchRetryDelay, [this] { FetchNext(); });
}

void WeightTransfer::AvoidPeer(const std::string& id, const char* why) {
  avoided_until_[id] = EventLoop::Now() + kPeerAvoidDuration;
  PC_INFO(kWeights, "event=peer_avoided peer="
                        << id << " why=\"" << why << "\" version="
                        << copy_.version() << " held=" << copy_.held_count());
}

void WeightTransfer::FetchFromOrigin() {
  SteadyTime now = EventLoop::Now();
  for (auto& [n, sources] : plan_) {
    if (origin_in_flight_.size() >= kMaxConcurrentOriginFetches) return;
    if (!sources.origin || copy_.Has(n)) continue;
    if (!mismatches_.MayFetch(n, now)) continue;
    if (!origin_in_flight_.insert(n).second) continue;
    origin_.FetchChunk(context_.update->origin, copy_.model(), copy_.version(),
                       n, [this, n = n](Result<std::string> bytes) {
                         origin_in_flight_.erase(n);
                         if (!bytes) {
                           // The delay avoids a busy loop if the origin refuses
                           // requests immediately.
                           origin_timer_ = context_.loop->After(
                               RetryDelay(), [this] { FetchFromOrigin(); });
                           return;
                         }
                         AddChunk(n, std::move(bytes).value(), "");
                         if (helping_) ChooseHelp();
                         FetchFromOrigin();
                       });
  }
}

void WeightTransfer::AddChunk(uint32_t n, std::string bytes,
                              const std::string& peer) {
  TransferCounters* counters = context_.counters;
  (peer.empty() ? counters->origin_bytes : counters->peer_bytes) +=
      bytes.size();
  if (!copy_.has_digests() || copy_.Has(n)) return;
  if (!copy_.Matches(n, bytes)) return OnMismatch(n, bytes, peer);
  copy_.Add(n, std::move(bytes));
  events_.on_chunk(n);
  CheckComplete();
}

void WeightTransfer::OnMismatch(uint32_t n, std::string_view bytes,
                                const std::string& peer) {
  ++context_.counters->corrupt_chunks;
  int arrivals =
      mismatches_.Record(n, bytes, peer, RetryDelay(), EventLoop::Now());
  PC_WARN(kWeights, "event=piece_corrupt version="
                        << copy_.version() << " piece=" << n
                        << " source=" << (peer.empty() ? "origin" : peer)
                        << " bytes=" << bytes.size()
                        << " same_bytes=" << arrivals);
  if (arrivals > 1) DoubtManifest(n);
}

void WeightTransfer::CheckComplete() {
  if (!copy_.complete() || std::exchange(completion_reported_, true)) return;
  // The origin limits its connections, and others may need them.
  context_.client->DropIdle(context_.update->origin);
  events_.on_complete();
}

}  // namespace primrosecove
