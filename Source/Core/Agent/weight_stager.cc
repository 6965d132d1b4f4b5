#include "Core/Agent/weight_stager.h"

#include <algorithm>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Core/Fleet/fleet_ports.h"

namespace primrosecove {
namespace {

// Pieces that are read from or laid at the engine at once.
constexpr uint32_t kLocalAtOnce = 8;
// Pieces that one agent draws from the origin at once. The origin's link is
// shared by all agents; more at once would only make each later.
constexpr size_t kOriginAtOnce = 2;
// A source that delivers nothing for so long is left for others.
constexpr Milliseconds kStall{1500};
constexpr Milliseconds kAvoidFor{4000};
constexpr Milliseconds kRefreshPeriod{250};
constexpr Milliseconds kRetryPause{60};
// The manifest's drawer gets this many questions before another draws it.
constexpr int kManifestTriesAtPeer = 16;
// An order without any effect in this time is given again.
constexpr Milliseconds kOrderAgain{1200};
constexpr size_t kNumberBytes = 4;
constexpr double kUsualPieceBytes = 32 << 10;
// Pieces that wait for their turn on the link; more are refused at once.
constexpr size_t kMaxUploadsWaiting = 3;
// About the time in which a busy source sends a piece.
constexpr Milliseconds kBusyPause{30};
// Once this share of a version's pieces is known somewhere, the rest is
// overdue.
constexpr double kMostPieces = 0.7;
// Pieces are told together, to all who follow.
constexpr Milliseconds kNewsDelay{25};
// A piece that is in the zone for so long is asked for out of turn.
constexpr Milliseconds kTurnPatience{500};
// When to look again for a piece after a pause of the pacer.
constexpr Milliseconds kFetchPause{40};

// A manifest from a peer in the same network.
constexpr Milliseconds kPeerBound{600};
// A notice of an older state of the store is heeded when none of a newer one
// has come for so long: a store restored from a backup starts lower.
constexpr Milliseconds kNoticeLifetime{5000};

constexpr std::string_view kPathRoot = "weights";

std::string PathOf(const std::string& model, uint64_t version) {
  return "/" + std::string(kPathRoot) + "/" + model + "/" +
         std::to_string(version);
}

void AppendU32(std::string* out, uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

uint32_t ReadU32(std::string_view bytes) {
  uint32_t out = 0;
  for (size_t i = 0; i < 4; ++i) {
    out = out << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return out;
}

}  // namespace

// What one peer has, told as it gets it.
struct WeightStager::Feed {
  std::set<uint32_t> pieces;
  std::string buf;
  SteadyTime busy_until{};
  std::unique_ptr<Http1Call> call;
};

// One piece on its way from a peer.
struct WeightStager::Fetch {
  std::string source;
  SteadyTime begun = EventLoop::Now();
  std::unique_ptr<Http1Call> call;
};

// A peer's request for a piece that waits for its turn on the link.
struct WeightStager::Upload {
  std::shared_ptr<Http1Exchange> exchange;
  uint64_t version = 0;
  uint32_t piece = 0;
};

// A peer that is told which pieces are here.
struct WeightStager::Listener {
  std::shared_ptr<Http1Exchange> exchange;
  uint64_t version = 0;
};

WeightStager::WeightStager(EventLoop* loop, Http1Client* client,
                           platform::EngineLink* engine, HostSettings settings)
    : loop_(loop),
      client_(client),
      engine_(engine),
      settings_(std::move(settings)),
      origin_(client),
      peer_calls_(client),
      upload_pacer_(settings_.link_bytes_per_second, kUsualPieceBytes),
      random_(static_cast<uint32_t>(RandomU64())),
      notice_at_(EventLoop::Now()),
      ordered_at_(EventLoop::Now() - kOrderAgain) {
  refresh_timer_ = loop_->Every(kRefreshPeriod, [this] { Refresh(); });
}

WeightStager::~WeightStager() = default;

PieceView WeightStager::View() {
  SteadyTime now = EventLoop::Now();
  std::erase_if(avoided_until_, [now](auto& it) { return it.second <= now; });
  avoided_.clear();
  for (auto& [id, until] : avoided_until_) avoided_.insert(id);
  PieceView out;
  out.self = self_;
  out.model = copy_->model();
  out.version = copy_->version();
  out.members = notice_->members;
  out.avoided = &avoided_;
  return out;
}

const FleetMember* WeightStager::Member(const std::string& id) const {
  for (const FleetMember& it : notice_->members) {
    if (it.id == id) return &it;
  }
  return nullptr;
}

Milliseconds WeightStager::NamedAge() const {
  return Milliseconds(notice_->named_age_ms) +
         std::chrono::duration_cast<Milliseconds>(EventLoop::Now() -
                                                  notice_at_);
}

void WeightStager::TakeNotice(const FleetNotice& notice) {
  if (notice.service != settings_.service) return;
  SteadyTime now = EventLoop::Now();
  bool older = notice_ && (notice.store_revision < notice_->store_revision ||
                           notice.named_version < notice_->named_version);
  if (older && now - notice_at_ < kNoticeLifetime) return;
  notice_ = notice;
  notice_at_ = now;
  for (const FleetMember& it : notice.members) {
    if (it.upstream == settings_.upstream) self_ = it.id;
  }
  if (self_.empty()) return;
  if (copy_ == nullptr || copy_->version() < notice.named_version) {
    Begin(notice.named_version);
  }
}

void WeightStager::Begin(uint64_t version) {
  PC_INFO(kWeights, "event=copy_begun model="
                        << notice_->model << " version=" << version
                        << " before=" << (copy_ ? copy_->version() : 0)
                        << " members=" << notice_->members.size());
  ++generation_;
  if (copy_ != nullptr && copy_->complete()) previous_ = std::move(copy_);
  copy_ = std::make_unique<WeightCopy>(notice_->model, version);
  fetches_.clear();
  feeds_.clear();
  plan_.clear();
  seen_at_.clear();
  news_.clear();
  mostly_known_at_.reset();
  fetch_pacer_ = FetchPacer();
  origin_under_way_.clear();
  to_stage_.clear();
  staging_ = 0;
  verifying_ = false;
  manifest_under_way_ = false;
  manifest_tries_ = 0;
  staged_version_ = 0;
  completed_age_ = Milliseconds(0);
  local_pending_ = 0;
  for (Listener& it : listeners_) {
    if (it.version < version) it.exchange->EndStream();
  }
  std::erase_if(listeners_,
                [version](auto& it) { return it.version < version; });
  FetchManifest();
}

void WeightStager::FetchManifest() {
  if (manifest_under_way_ || copy_->has_digests()) return;
  manifest_under_way_ = true;
  std::string fetcher = ManifestFetcher(View());
  const FleetMember* peer = Member(fetcher);
  if (peer == nullptr || fetcher == self_ ||
      manifest_tries_ >= kManifestTriesAtPeer) {
    auto take = [this, generation = generation_](
                    Result<platform::WeightManifest> manifest) {
      if (generation != generation_) return;
      if (!manifest) return TakeManifest(manifest.error(), "origin");
      TakeManifest(std::move(manifest.value().digests), "origin");
    };
    return origin_.Manifest(notice_->origin, copy_->model(), copy_->version(),
                            take);
  }
  HttpRequest request;
  request.target = PathOf(copy_->model(), copy_->version());
  auto take = [this, generation = generation_](Result<HttpResponse> response) {
    if (generation != generation_) return;
    if (!response) return TakeManifest(response.error(), "peer");
    if (response.value().status != 200) {
      return TakeManifest(Fail(ErrorCode::kNotFound, "not there yet"), "peer");
    }
    TakeManifest(Split(response.value().body, '\n'), "peer");
  };
  peer_calls_.Send(PeerEndpoint(settings_, peer->upstream.ip), request,
                   kPeerBound, take);
}

void WeightStager::TakeManifest(Result<std::vector<std::string>> digests,
                                const char* source) {
  manifest_under_way_ = false;
  std::string why = digests ? "" : digests.error().message;
  if (digests) {
    auto set = copy_->SetDigests(digests.value());
    if (!set) why = set.error().message;
  }
  if (!why.empty()) {
    ++manifest_tries_;
    if (manifest_tries_ % kManifestTriesAtPeer == 0) {
      PC_WARN(kWeights, "event=manifest_missing version="
                            << copy_->version() << " source=" << source
                            << " why=\"" << why << "\"");
    }
    retry_timer_ = loop_->After(kRetryPause, [this] { FetchManifest(); });
    return;
  }
  PC_INFO(kWeights, "event=manifest_read version="
                        << copy_->version() << " pieces=" << copy_->size()
                        << " source=" << source);
  if (local_read_) return Plan();
  local_read_ = true;
  local_next_ = 0;
  local_absent_ = 0;
  ReadLocal();
}

void WeightStager::ReadLocal() {
  // An engine without the first pieces has none.
  if (local_absent_ >= kLocalAtOnce) local_next_ = copy_->size();
  while (local_pending_ < kLocalAtOnce && local_next_ < copy_->size()) {
    uint32_t n = local_next_++;
    ++local_pending_;
    engine_->ReadPiece(
        copy_->model(), n,
        [this, n, generation = generation_](Result<std::string> bytes) {
          if (generation != generation_) return;
          TakeLocal(n, std::move(bytes));
        });
  }
  if (local_pending_ > 0) return;
  PC_INFO(kWeights, "event=local_read version=" << copy_->version() << " held="
                                                << copy_->held_count());
  Plan();
}

void WeightStager::TakeLocal(uint32_t n, Result<std::string> bytes) {
  --local_pending_;
  if (!bytes) {
    ++local_absent_;
  } else if (copy_->Add(n, std::move(bytes).value())) {
    TellListeners(n);
  }
  ReadLocal();
}

void WeightStager::Plan() {
  plan_.clear();
  if (!copy_->has_digests() || local_pending_ > 0) return;
  PieceView view = View();
  Milliseconds overdue = Overdue();
  for (uint32_t n : copy_->Missing()) {
    plan_[n] = PlanPiece(view, n, overdue);
  }
  for (const FleetMember& it : notice_->members) {
    bool useful = !it.leaving || it.whole_version == copy_->version();
    if (it.id == self_ || !useful || avoided_.contains(it.id)) continue;
    if (!plan_.empty() && !feeds_.contains(it.id)) Follow(it);
  }
  FetchNext();
  FetchFromOrigin();
}

Milliseconds WeightStager::Overdue() {
  SteadyTime now = EventLoop::Now();
  if (!mostly_known_at_) {
    std::set<uint32_t> known;
    for (auto& [id, feed] : feeds_) {
      known.insert(feed->pieces.begin(), feed->pieces.end());
    }
    for (uint32_t n = 0; n < copy_->size(); ++n) {
      if (copy_->Has(n)) known.insert(n);
    }
    if (known.size() < copy_->size() * kMostPieces) return Milliseconds(0);
    mostly_known_at_ = now;
  }
  return std::chrono::duration_cast<Milliseconds>(now - *mostly_known_at_);
}

void WeightStager::Follow(const FleetMember& member) {
  HttpRequest request;
  request.target = PathOf(copy_->model(), copy_->version()) + "?feed=1";
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
  feed->call = client_->Send(PeerEndpoint(settings_, member.upstream.ip),
                             request, options, std::move(events));
  feeds_[id] = std::move(feed);
}

void WeightStager::TakeFeed(const std::string& id, std::string_view bytes) {
  Feed* feed = feeds_[id].get();
  feed->buf.append(bytes);
  std::string_view rest = feed->buf;
  for (; rest.size() >= kNumberBytes; rest.remove_prefix(kNumberBytes)) {
    feed->pieces.insert(ReadU32(rest));
  }
  feed->buf.erase(0, feed->buf.size() - rest.size());
  FetchNext();
}

std::string WeightStager::LeastBusy(const std::vector<std::string>& peers,
                                    uint32_t n, size_t* holders) const {
  SteadyTime now = EventLoop::Now();
  std::string out;
  size_t least = SIZE_MAX;
  for (const std::string& id : peers) {
    auto it = feeds_.find(id);
    if (it == feeds_.end() || !it->second->pieces.contains(n)) continue;
    ++*holders;
    if (it->second->busy_until > now) continue;
    size_t load = 0;
    for (auto& [piece, fetch] : fetches_) load += fetch->source == id ? 1 : 0;
    if (load >= least) continue;
    least = load;
    out = id;
  }
  return out;
}

std::string WeightStager::SourceOf(uint32_t n) {
  auto planned = plan_.find(n);
  if (planned == plan_.end()) return "";
  const PieceSources& sources = planned->second;
  size_t holders = 0;
  std::string near = LeastBusy(sources.zone_peers, n, &holders);
  if (holders == 0) {
    size_t far_holders = 0;
    return LeastBusy(sources.far_peers, n, &far_holders);
  }
  SteadyTime now = EventLoop::Now();
  SteadyTime seen = seen_at_.try_emplace(n, now).first->second;
  bool turn = holders >= HoldersNeeded(sources.zone_rank);
  return turn || now - seen > kTurnPatience ? near : "";
}

void WeightStager::FetchNext() {
  SteadyTime now = EventLoop::Now();
  if (!fetch_pacer_.MayStart(now)) return;
  std::vector<std::pair<uint32_t, std::string>> ready;
  for (auto& [n, sources] : plan_) {
    if (copy_->Has(n) || fetches_.contains(n)) continue;
    std::string source = SourceOf(n);
    if (!source.empty()) ready.emplace_back(n, source);
  }
  // Agents that ask for the same pieces in the same order would have nothing
  // for each other.
  std::shuffle(ready.begin(), ready.end(), random_);
  for (auto& [n, source] : ready) {
    if (!fetch_pacer_.MayStart(now)) return;
    const FleetMember* member = Member(source);
    if (member != nullptr) FetchFromPeer(*member, n);
  }
}

void WeightStager::FetchFromPeer(const FleetMember& member, uint32_t n) {
  HttpRequest request;
  request.target =
      PathOf(copy_->model(), copy_->version()) + "?piece=" + std::to_string(n);
  CallOptions options;
  options.timeout = kStall;
  CallEvents events;
  events.on_end = [this, n, generation = generation_](CallResult result) {
    if (generation == generation_) EndFetch(n, result);
  };
  auto fetch = std::make_unique<Fetch>();
  fetch->source = member.id;
  fetch_pacer_.OnStart();
  fetch->call = client_->Send(PeerEndpoint(settings_, member.upstream.ip),
                              request, options, std::move(events));
  fetches_[n] = std::move(fetch);
}

void WeightStager::EndFetch(uint32_t n, const CallResult& result) {
  constexpr int kBusyStatus = 503;
  SteadyTime now = EventLoop::Now();
  auto fetch = std::move(fetches_[n]);
  fetches_.erase(n);
  auto took = std::chrono::duration_cast<Milliseconds>(now - fetch->begun);
  bool whole = result.end == CallEnd::kComplete && result.head->status == 200;
  bool busy =
      result.end == CallEnd::kComplete && result.head->status == kBusyStatus;
  fetch_pacer_.OnEnd(busy ? Milliseconds(0) : took, now);
  auto feed = feeds_.find(fetch->source);
  if (busy && feed != feeds_.end()) {
    feed->second->busy_until = now + kBusyPause;
  } else if (!whole) {
    Avoid(fetch->source, "no piece");
  }
  if (whole) AddPiece(n, result.body, &counters_.peer_bytes);
  FetchNext();
  fetch_timer_ = loop_->After(kFetchPause, [this] { FetchNext(); });
}

void WeightStager::Avoid(const std::string& id, const char* why) {
  avoided_until_[id] = EventLoop::Now() + kAvoidFor;
  PC_INFO(kWeights, "event=peer_avoided peer="
                        << id << " why=\"" << why << "\" version="
                        << copy_->version() << " held=" << copy_->held_count());
}

void WeightStager::FetchFromOrigin() {
  for (auto& [n, sources] : plan_) {
    if (origin_under_way_.size() >= kOriginAtOnce) return;
    if (!sources.origin || copy_->Has(n)) continue;
    if (!origin_under_way_.insert(n).second) continue;
    origin_.Piece(
        notice_->origin, copy_->model(), copy_->version(), n,
        [this, n = n, generation = generation_](Result<std::string> bytes) {
          if (generation != generation_) return;
          origin_under_way_.erase(n);
          if (bytes) {
            AddPiece(n, std::move(bytes).value(), &counters_.origin_bytes);
          }
          FetchFromOrigin();
        });
  }
}

void WeightStager::RetryOrigin() {
  if (origin_timer_.pending()) return;
  origin_timer_ = loop_->After(kRetryPause, [this] { FetchFromOrigin(); });
}

void WeightStager::AddPiece(uint32_t n, std::string bytes, uint64_t* counter) {
  *counter += bytes.size();
  if (!copy_->has_digests() || copy_->Has(n)) return;
  if (!copy_->Add(n, std::move(bytes))) {
    ++counters_.corrupt_pieces;
    PC_WARN(kWeights, "event=piece_corrupt version=" << copy_->version()
                                                     << " piece=" << n);
    return;
  }
  TellListeners(n);
  to_stage_.insert(n);
  StageNext();
  if (!copy_->complete()) return;
  completed_age_ = NamedAge();
  PC_INFO(kWeights, "event=copy_complete version="
                        << copy_->version()
                        << " named_age_ms=" << NamedAge().count()
                        << " origin_bytes=" << counters_.origin_bytes
                        << " peer_bytes=" << counters_.peer_bytes);
}

void WeightStager::StageNext() {
  while (staging_ < kLocalAtOnce && !to_stage_.empty()) {
    uint32_t n = *to_stage_.begin();
    to_stage_.erase(to_stage_.begin());
    ++staging_;
    engine_->StagePiece(copy_->model(), n, copy_->Piece(n),
                        [this, n, generation = generation_](bool taken) {
                          if (generation != generation_) return;
                          --staging_;
                          // The verification finds what was not taken.
                          if (taken) StageNext();
                        });
  }
}

void WeightStager::TakeReport(const EngineReport& report) {
  report_ = report;
  if (copy_ == nullptr || !notice_) return;
  if (!to_stage_.empty()) StageNext();
  uint64_t whole = 0;
  for (const LoadedWeights& it : report.weights) {
    if (it.model == copy_->model() && it.whole) whole = it.version;
  }
  if (whole == copy_->version()) staged_version_ = whole;
  LoadSituation situation;
  situation.target_version = copy_->version();
  situation.whole_version = whole;
  situation.loading = report.loading;
  situation.idle = report.running == 0 && report.waiting == 0;
  situation.copy_complete =
      copy_->complete() && to_stage_.empty() && staging_ == 0;
  situation.named_age = NamedAge();
  situation.completed_age = completed_age_;
  situation.version_bound = Milliseconds(notice_->version_bound_ms);
  situation.turn = SwapTurn(*notice_, self_);
  if (!ShouldLoad(situation) || verifying_ || order_under_way_) return;
  if (EventLoop::Now() - ordered_at_ < kOrderAgain) return;
  Verify();
}

void WeightStager::Verify() {
  verifying_ = true;
  verify_next_ = 0;
  verify_pending_ = 0;
  verify_bad_ = 0;
  VerifyNext();
}

void WeightStager::VerifyNext() {
  while (verify_pending_ < kLocalAtOnce && verify_next_ < copy_->size()) {
    uint32_t n = verify_next_++;
    ++verify_pending_;
    engine_->ReadPiece(
        copy_->model(), n,
        [this, n, generation = generation_](const Result<std::string>& bytes) {
          if (generation != generation_) return;
          TakeVerified(n, bytes);
        });
  }
  if (verify_pending_ > 0) return;
  verifying_ = false;
  if (verify_bad_ == 0) return Order();
  PC_WARN(kWeights, "event=staged_pieces_wrong version="
                        << copy_->version() << " count=" << verify_bad_);
}

void WeightStager::TakeVerified(uint32_t n, const Result<std::string>& bytes) {
  --verify_pending_;
  if (!bytes || !copy_->Matches(n, bytes.value())) {
    ++verify_bad_;
    to_stage_.insert(n);
  }
  VerifyNext();
}

void WeightStager::Order() {
  staged_version_ = copy_->version();
  order_under_way_ = true;
  ordered_at_ = EventLoop::Now();
  ++counters_.orders;
  auto done = [this, version = copy_->version()](platform::OrderAnswer answer) {
    order_under_way_ = false;
    if (answer == platform::OrderAnswer::kBegun && on_loading_) on_loading_();
    PC_INFO(kRollout, "event=load_ordered version="
                          << version << " answer=" << static_cast<int>(answer)
                          << " running=" << report_.running);
  };
  engine_->OrderLoad(copy_->model(), copy_->version(), done);
}

void WeightStager::Refresh() {
  if (copy_ != nullptr && !copy_->complete()) Plan();
  if (copy_ != nullptr && copy_->complete()) feeds_.clear();
  std::erase_if(listeners_, [](auto& it) { return it.exchange->finished(); });
}

WeightCopy* WeightStager::CopyOf(uint64_t version) {
  if (copy_ != nullptr && copy_->version() == version) return copy_.get();
  if (previous_ != nullptr && previous_->version() == version) {
    return previous_.get();
  }
  return nullptr;
}

void WeightStager::Serve(const std::shared_ptr<Http1Exchange>& exchange) {
  auto parts = Split(exchange->request().Path(), '/');
  auto version = parts.size() == 4 ? ParseU64(parts[3]) : std::nullopt;
  if (!version || parts[1] != kPathRoot) {
    return exchange->Reply(404, "Not Found", {}, "");
  }
  if (exchange->request().QueryValue("feed")) {
    return ServeFeed(exchange, *version);
  }
  auto piece = exchange->request().QueryValue("piece");
  if (!piece) return ServeManifest(exchange, *version);
  auto n = ParseU64(*piece);
  ServePiece(exchange, *version, static_cast<uint32_t>(n.value_or(UINT32_MAX)));
}

void WeightStager::ServeManifest(const std::shared_ptr<Http1Exchange>& exchange,
                                 uint64_t version) {
  WeightCopy* copy = CopyOf(version);
  if (copy == nullptr || !copy->has_digests()) {
    return exchange->Reply(404, "Not Found", {}, "");
  }
  std::string body;
  for (const Digest& it : copy->digests()) {
    if (!body.empty()) body.push_back('\n');
    body += it.ToHex();
  }
  exchange->Reply(200, "OK", {}, body);
}

void WeightStager::ServeFeed(const std::shared_ptr<Http1Exchange>& exchange,
                             uint64_t version) {
  WeightCopy* copy = CopyOf(version);
  if (copy == nullptr && copy_ != nullptr && version < copy_->version()) {
    return exchange->Reply(404, "Not Found", {}, "");
  }
  exchange->StartStream(200, "OK", {});
  std::string numbers;
  for (uint32_t n = 0; copy != nullptr && n < copy->size(); ++n) {
    if (copy->Has(n)) AppendU32(&numbers, n);
  }
  exchange->Write(numbers);
  listeners_.push_back({exchange, version});
}

void WeightStager::TellListeners(uint32_t n) {
  AppendU32(&news_, n);
  if (news_timer_.pending()) return;
  news_timer_ = loop_->After(kNewsDelay, [this] {
    std::string news = std::exchange(news_, "");
    for (Listener& it : listeners_) {
      if (it.version == copy_->version()) it.exchange->Write(news);
    }
  });
}

void WeightStager::ServePiece(const std::shared_ptr<Http1Exchange>& exchange,
                              uint64_t version, uint32_t n) {
  WeightCopy* copy = CopyOf(version);
  if (copy == nullptr || !copy->Has(n)) {
    return exchange->Reply(404, "Not Found", {}, "");
  }
  // Others may have it too, and sooner.
  if (uploads_.size() >= kMaxUploadsWaiting) {
    return exchange->Reply(503, "Service Unavailable", {}, "");
  }
  uploads_.push_back({exchange, version, n});
  SendNextUpload();
}

void WeightStager::SendNextUpload() {
  while (!uploads_.empty()) {
    const Upload& next = uploads_.front();
    WeightCopy* copy = CopyOf(next.version);
    if (copy == nullptr || next.exchange->finished()) {
      next.exchange->Reply(404, "Not Found", {}, "");
      uploads_.pop_front();
      continue;
    }
    std::string_view piece = copy->Piece(next.piece);
    SteadyTime now = EventLoop::Now();
    if (!upload_pacer_.TrySend(piece.size(), now)) {
      upload_timer_ = loop_->After(
          std::max(upload_pacer_.Wait(piece.size(), now), Milliseconds(1)),
          [this] { SendNextUpload(); });
      return;
    }
    counters_.sent_bytes += piece.size();
    next.exchange->Reply(200, "OK", {}, piece);
    uploads_.pop_front();
  }
}

}  // namespace primrosecove
