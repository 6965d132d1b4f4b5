#include "Core/Control/config_keeper.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Config/parser.h"

namespace primrosecove {
namespace {

// Processes that watch the service in each place: one and a spare.
constexpr size_t kWatchersPerPlace = 2;
// Polls by all processes together, so that the service's load does not grow
// with the fleet.
constexpr Milliseconds kFleetPollPeriod{500};
constexpr Milliseconds kMinPollPeriod{2000};
// Before the first revision a process asks the service itself, at most this
// often.
constexpr Milliseconds kFirstPollDelay{500};
constexpr Milliseconds kMinWatchBackoff{500};
constexpr Milliseconds kMaxWatchBackoff{8000};

}  // namespace

ConfigKeeper::ConfigKeeper(EventLoop* loop, Gossip* gossip, PeerService* peers,
                           KvStore* store, const std::string& deployment,
                           std::string site, InForceCallback on_in_force)
    : loop_(loop),
      gossip_(gossip),
      peers_(peers),
      store_(store),
      keys_(deployment),
      site_(std::move(site)),
      on_in_force_(std::move(on_in_force)),
      random_(RandomU64()) {
  peers_->RegisterHandler(PeerFrameType::kBundleRequest,
                          [this](Peer* peer, std::string_view payload) {
                            OnBundleRequest(peer, payload);
                          });
  peers_->RegisterHandler(PeerFrameType::kBundle,
                          [this](Peer* peer, std::string_view payload) {
                            OnBundle(peer, payload);
                          });
  peers_->AddConnectedHandler([this](Peer* peer) {
    if (asking_ && peer->channel->remote() == *asking_) AskPeer(peer);
  });
}

void ConfigKeeper::Start() {
  OnViewChanged();
  ScheduleBackstop();
}

// The polls of all processes together come at a fixed rate; each draws its own
// time.
void ConfigKeeper::ScheduleBackstop() {
  Milliseconds period = kFirstPollDelay;
  if (in_force_ != nullptr) {
    auto live = static_cast<int64_t>(gossip_->view().Live().size());
    period = std::max(kMinPollPeriod, kFleetPollPeriod * live);
  }
  auto jittered = period / 2 + Milliseconds(random_() % (period.count() + 1));
  backstop_timer_ = loop_->After(jittered, [this] {
    ScheduleBackstop();
    ReadHead();
  });
}

// The first in rendezvous rank among the routers of the place, or among its
// agents without one.
bool ConfigKeeper::IsWatcher() const {
  const HostRecord& self = gossip_->self();
  size_t better = 0;
  for (const HostRecord* it : gossip_->view().Live()) {
    if (it->place != self.place || it->name == self.name || it->leaving)
      continue;
    if (it->role != self.role) {
      if (it->role == Role::kRouter) return false;
      continue;
    }
    if (RendezvousScore("watch", it->name) >
        RendezvousScore("watch", self.name))
      ++better;
  }
  return better < kWatchersPerPlace;
}

void ConfigKeeper::OnViewChanged() {
  bool is_watcher = IsWatcher();
  if (is_watcher == std::exchange(was_watcher_, is_watcher)) return;
  rewatch_timer_.Cancel();
  watch_.reset();
  if (is_watcher) StartWatch();
}

void ConfigKeeper::StartWatch() {
  // The watch starts first: a change between it and the read below is then seen
  // twice, never lost.
  watch_ = store_->Watch(
      keys_.HeadKey(), 0,
      [this](std::vector<KvEvent> events) {
        watch_backoff_ = Milliseconds(0);
        for (const KvEvent& it : events) {
          if (!it.deleted && it.entry.key == keys_.HeadKey())
            TakeStoredHead(it.entry.value);
        }
      },
      [this](const Error& error) { OnWatchEnd(error); });
  ReadHead();
}

void ConfigKeeper::OnWatchEnd(const Error& error) {
  PC_INFO(kConfig, "watch ended: " << error.message);
  loop_->Post([watch = std::shared_ptr<KvWatch>(std::move(watch_))] {});
  watch_backoff_ =
      std::clamp(watch_backoff_ * 2, kMinWatchBackoff, kMaxWatchBackoff);
  // Drawn at random, so that the watchers of all places do not come back at
  // once.
  auto wait = watch_backoff_ / 2 +
              Milliseconds(random_() % (watch_backoff_.count() + 1));
  rewatch_timer_ = loop_->After(wait, [this] {
    if (was_watcher_) StartWatch();
  });
}

void ConfigKeeper::ReadHead() {
  store_->Get(keys_.HeadKey(), [this](Result<std::optional<KvEntry>> entry) {
    if (!entry) {
      PC_DEBUG(kConfig, entry.error().message);
      return;
    }
    if (entry.value()) return TakeStoredHead(entry.value()->value);
    if (revision() > 0)
      Refuse({}, "the key-value service has lost the configuration");
  });
}

void ConfigKeeper::TakeStoredHead(const std::string& text) {
  auto head = Head::Decode(text);
  if (!head) return Refuse({}, head.error().message);
  if (head.value().revision > revision())
    return FetchStoredBundle(head.value());
  if (head.value().revision < revision()) {
    return Refuse(head.value(),
                  "the key-value service holds an older revision");
  }
  if (in_force_ != nullptr && head.value().bundle != in_force_->head.bundle) {
    Refuse(head.value(),
           "the key-value service holds another bundle under this revision");
  }
}

void ConfigKeeper::FetchStoredBundle(const Head& head) {
  store_->Get(keys_.BundleKey(head.bundle),
              [this, head](Result<std::optional<KvEntry>> entry) {
                if (!entry || !entry.value()) {
                  PC_INFO(kConfig, "revision " << head.revision
                                               << " is not readable yet");
                  return;
                }
                Adopt(head, entry.value()->value);
              });
}

void ConfigKeeper::OnHead(const HeadSummary& head, const Endpoint& holder) {
  if (head.revision < revision()) return;
  if (head.revision == revision()) {
    if (in_force_ != nullptr && head.bundle != in_force_->head.bundle) {
      Refuse({}, holder.ToString() + " holds another bundle under revision " +
                     std::to_string(head.revision));
    }
    return;
  }
  Peer* peer = peers_->FindByEndpoint(holder);
  if (peer != nullptr) return AskPeer(peer);
  asking_ = holder;
  peers_->Connect(holder);
}

void ConfigKeeper::AskPeer(Peer* peer) {
  asking_.reset();
  peer->channel->Send(static_cast<uint8_t>(PeerFrameType::kBundleRequest),
                      Encode(BundleRequestMessage{revision()}));
}

void ConfigKeeper::OnBundleRequest(Peer* peer, std::string_view payload) {
  BundleRequestMessage request;
  if (!Decode(payload, &request) || revision() <= request.known_revision)
    return;
  BundleMessage message{in_force_->head.Encode(), in_force_->bundle.Encode()};
  peer->channel->Send(static_cast<uint8_t>(PeerFrameType::kBundle),
                      Encode(message));
}

void ConfigKeeper::OnBundle(Peer*, std::string_view payload) {
  BundleMessage message;
  if (!Decode(payload, &message)) return;
  auto head = Head::Decode(message.head);
  if (head) Adopt(head.value(), message.bundle);
}

void ConfigKeeper::Adopt(const Head& head, const std::string& bundle_text) {
  if (head.revision <= revision()) return;
  if (Sha256(bundle_text) != head.bundle)
    return Refuse(head, "the bundle has another digest");
  auto bundle = Bundle::Decode(bundle_text);
  if (!bundle) return Refuse(head, bundle.error().message);
  auto config = ParseBundle(bundle.value(), site_);
  if (!config) return Refuse(head, config.error().message);
  auto next = std::make_shared<ActiveConfig>();
  next->head = head;
  next->bundle = std::move(bundle).value();
  next->config = std::move(config).value();
  in_force_ = std::move(next);
  ++counters_.revisions_adopted;
  PC_INFO(kConfig,
          "revision " << head.revision << " is in force: " << head.summary);
  gossip_->UpdateSelf(
      [&](HostRecord* it) { it->config_revision = head.revision; });
  gossip_->SetHead({head.revision, head.bundle});
  on_in_force_();
}

void ConfigKeeper::Refuse(const Head& head, const std::string& why) {
  ++counters_.revisions_refused;
  PC_ERROR(kConfig, "refused revision " << head.revision << ", " << revision()
                                        << " stays in force: " << why);
}

}  // namespace primrosecove
