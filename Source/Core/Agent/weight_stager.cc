#include "Core/Agent/weight_stager.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Core/Fleet/fleet_ports.h"

namespace primrosecove {
namespace {

// Pieces that are read from or laid at the engine at once.
constexpr uint32_t kLocalAtOnce = 8;
// Pieces that one agent draws from the origin at once. The origin's link is
// shared by all agents; more at once would only make each later.
constexpr size_t kOriginAtOnce = 3;
// A source that delivers nothing for so long is left for others.
constexpr Milliseconds kStall{1500};
constexpr Milliseconds kAvoidFor{4000};
constexpr Milliseconds kStallCheckPeriod{250};
constexpr Milliseconds kRetryPause{150};
// The manifest's drawer gets this many questions before another draws it.
constexpr int kManifestTriesAtPeer = 8;
// An order without any effect in this time is given again.
constexpr Milliseconds kOrderAgain{1200};
constexpr size_t kFrameHeadBytes = 8;

// A manifest from a peer in the same network.
constexpr Milliseconds kPeerBound{600};
// A notice of an older state of the store is heeded when none of a newer one
// has come for so long: a store restored from a backup starts lower.
constexpr Milliseconds kNoticeLifetime{5000};
constexpr uint32_t kMaxPieceBytes = 64 << 20;

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

std::string FrameOf(const WeightCopy& copy, uint32_t n) {
  std::string out;
  std::string_view piece = copy.Piece(n);
  out.reserve(kFrameHeadBytes + piece.size());
  AppendU32(&out, n);
  AppendU32(&out, static_cast<uint32_t>(piece.size()));
  return out.append(piece);
}

}  // namespace

// Pieces under way from one peer, on one connection.
struct WeightStager::PeerFetch {
  std::set<uint32_t> pieces;  // still to come
  std::string buf;
  SteadyTime heard = EventLoop::Now();
  std::unique_ptr<Http1Call> call;
};

// A peer that waits for pieces which are not here yet.
struct WeightStager::Waiter {
  std::shared_ptr<Http1Exchange> exchange;
  uint64_t version = 0;
  std::set<uint32_t> pieces;
};

WeightStager::WeightStager(EventLoop* loop, Http1Client* client,
                           platform::EngineLink* engine, HostSettings settings)
    : loop_(loop),
      client_(client),
      engine_(engine),
      settings_(std::move(settings)),
      origin_(client),
      peer_calls_(client),
      notice_at_(EventLoop::Now()),
      ordered_at_(EventLoop::Now() - kOrderAgain) {
  stall_timer_ = loop_->Every(kStallCheckPeriod, [this] { CheckStalls(); });
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
  origin_wanted_.clear();
  origin_under_way_.clear();
  to_stage_.clear();
  staging_ = 0;
  verifying_ = false;
  manifest_under_way_ = false;
  manifest_tries_ = 0;
  staged_version_ = 0;
  local_pending_ = 0;
  for (auto& it : waiters_) {
    if (it->version < version) it->exchange->EndStream();
  }
  std::erase_if(waiters_, [version](auto& it) { return it->version < version; });
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
  PC_INFO(kWeights, "event=manifest_read version=" << copy_->version()
                                                   << " pieces="
                                                   << copy_->size()
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
    engine_->ReadPiece(copy_->model(), n,
                       [this, n, generation = generation_](
                           Result<std::string> bytes) {
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
    FeedWaiters(n);
  }
  ReadLocal();
}

void WeightStager::Plan() {
  if (!copy_->has_digests() || local_pending_ > 0) return;
  std::vector<uint32_t> open;
  for (uint32_t n : copy_->Missing()) {
    bool under_way = origin_under_way_.contains(n);
    for (auto& [id, fetch] : fetches_) under_way |= fetch->pieces.contains(n);
    if (!under_way) open.push_back(n);
  }
  if (open.empty()) return;
  PiecePlan plan = PlanPieces(View(), open);
  origin_wanted_ = std::move(plan.from_origin);
  // Agents of one zone begin at different pieces of the origin's.
  for (auto& [id, pieces] : plan.from_members) {
    const FleetMember* member = Member(id);
    if (member != nullptr && !fetches_.contains(id)) {
      FetchFromPeer(*member, pieces);
    }
  }
  FetchFromOrigin();
}

void WeightStager::FetchFromPeer(const FleetMember& member,
                                 const std::vector<uint32_t>& pieces) {
  auto fetch = std::make_unique<PeerFetch>();
  HttpRequest request;
  request.target = PathOf(copy_->model(), copy_->version()) + "?pieces=";
  for (uint32_t n : pieces) {
    fetch->pieces.insert(n);
    request.target += std::to_string(n) + ".";
  }
  CallOptions options;
  CallEvents events;
  std::string id = member.id;
  events.on_data = [this, id](std::string_view bytes) {
    TakePeerBytes(id, bytes);
  };
  events.on_end = [this, id](CallResult result) {
    bool served = result.end == CallEnd::kComplete && result.head &&
                  result.head->status == 200;
    EndPeerFetch(id, served);
  };
  fetch->call = client_->Send(PeerEndpoint(settings_, member.upstream.ip),
                              request, options, std::move(events));
  fetches_[id] = std::move(fetch);
}

void WeightStager::TakePeerBytes(const std::string& id,
                                 std::string_view bytes) {
  auto it = fetches_.find(id);
  if (it == fetches_.end()) return;
  PeerFetch* fetch = it->second.get();
  fetch->heard = EventLoop::Now();
  fetch->buf.append(bytes);
  while (fetch->buf.size() >= kFrameHeadBytes) {
    std::string_view buf = fetch->buf;
    uint32_t n = ReadU32(buf);
    uint32_t size = ReadU32(buf.substr(4));
    if (size > kMaxPieceBytes) return EndPeerFetch(id, false);
    if (buf.size() < kFrameHeadBytes + size) return;
    std::string piece(buf.substr(kFrameHeadBytes, size));
    fetch->buf.erase(0, kFrameHeadBytes + size);
    fetch->pieces.erase(n);
    AddPiece(n, std::move(piece), &counters_.peer_bytes);
  }
}

void WeightStager::EndPeerFetch(const std::string& id, bool delivered) {
  auto it = fetches_.find(id);
  if (it == fetches_.end()) return;
  bool missing = !it->second->pieces.empty();
  // Destroyed from a fresh stack: this may run within its call's callback.
  std::shared_ptr<PeerFetch> ended = std::move(it->second);
  fetches_.erase(it);
  loop_->Post([ended] {});
  if (!delivered || missing) {
    avoided_until_[id] = EventLoop::Now() + kAvoidFor;
    PC_INFO(kWeights, "event=peer_fetch_ended peer="
                          << id << " version=" << copy_->version()
                          << " missing=" << ended->pieces.size());
  }
  Plan();
}

void WeightStager::FetchFromOrigin() {
  while (origin_under_way_.size() < kOriginAtOnce && !origin_wanted_.empty()) {
    uint32_t n = origin_wanted_.back();
    origin_wanted_.pop_back();
    if (copy_->Has(n) || !origin_under_way_.insert(n).second) continue;
    origin_.Piece(notice_->origin, copy_->model(), copy_->version(), n,
                  [this, n, generation = generation_](
                      Result<std::string> bytes) {
                    if (generation != generation_) return;
                    origin_under_way_.erase(n);
                    if (bytes) {
                      AddPiece(n, std::move(bytes).value(),
                               &counters_.origin_bytes);
                    }
                    FetchFromOrigin();
                  });
  }
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
  FeedWaiters(n);
  to_stage_.insert(n);
  StageNext();
  if (!copy_->complete()) return;
  PC_INFO(kWeights, "event=copy_complete version="
                        << copy_->version() << " named_age_ms="
                        << NamedAge().count() << " origin_bytes="
                        << counters_.origin_bytes << " peer_bytes="
                        << counters_.peer_bytes);
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
  situation.copy_complete =
      copy_->complete() && to_stage_.empty() && staging_ == 0;
  situation.named_age = NamedAge();
  situation.version_bound = Milliseconds(notice_->version_bound_ms);
  situation.warm_up = Milliseconds(notice_->warm_up_ms);
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
    engine_->ReadPiece(copy_->model(), n,
                       [this, n, generation = generation_](
                           const Result<std::string>& bytes) {
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
    PC_INFO(kRollout, "event=load_ordered version="
                          << version << " answer="
                          << static_cast<int>(answer)
                          << " running=" << report_.running);
  };
  engine_->OrderLoad(copy_->model(), copy_->version(), done);
}

void WeightStager::CheckStalls() {
  SteadyTime now = EventLoop::Now();
  std::vector<std::string> stalled;
  for (auto& [id, fetch] : fetches_) {
    if (now - fetch->heard > kStall) stalled.push_back(id);
  }
  for (const std::string& id : stalled) {
    ++counters_.stalls;
    EndPeerFetch(id, false);
  }
  if (copy_ != nullptr && !copy_->complete()) Plan();
  std::erase_if(waiters_, [](auto& it) { return it->exchange->finished(); });
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
  auto numbers = exchange->request().QueryValue("pieces");
  if (!numbers) return ServeManifest(exchange, *version);
  ServePieces(exchange, *version, *numbers);
}

void WeightStager::ServeManifest(
    const std::shared_ptr<Http1Exchange>& exchange, uint64_t version) {
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

void WeightStager::ServePieces(const std::shared_ptr<Http1Exchange>& exchange,
                               uint64_t version, const std::string& numbers) {
  bool older = copy_ != nullptr && version < copy_->version();
  WeightCopy* copy = CopyOf(version);
  if (older && copy == nullptr) {
    return exchange->Reply(404, "Not Found", {}, "");
  }
  auto waiter = std::make_shared<Waiter>();
  waiter->exchange = exchange;
  waiter->version = version;
  exchange->StartStream(200, "OK", {});
  for (const std::string& it : Split(numbers, '.')) {
    auto n = ParseU64(it);
    if (!n) continue;
    auto number = static_cast<uint32_t>(*n);
    if (copy != nullptr && copy->Has(number)) {
      counters_.sent_bytes += copy->Piece(number).size();
      exchange->Write(FrameOf(*copy, number));
    } else {
      waiter->pieces.insert(number);
    }
  }
  if (waiter->pieces.empty()) return exchange->EndStream();
  waiters_.push_back(std::move(waiter));
}

void WeightStager::FeedWaiters(uint32_t n) {
  for (auto& it : waiters_) {
    if (it->version != copy_->version() || it->pieces.erase(n) == 0) continue;
    counters_.sent_bytes += copy_->Piece(n).size();
    it->exchange->Write(FrameOf(*copy_, n));
    if (it->pieces.empty()) it->exchange->EndStream();
  }
}

}  // namespace primrosecove
