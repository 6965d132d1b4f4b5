#include "Core/Control/config_synchronizer.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Config/parser.h"

namespace primrosecove {
namespace {

// Processes of each place that watch the service: one and a spare.
constexpr size_t kWatchersPerPlace = 2;
// Mean interval between the polls of all processes together, so that the load
// on the service does not grow with the fleet.
constexpr Milliseconds kFleetPollPeriod{500};
constexpr Milliseconds kMinPollPeriod{2000};
// Mean interval of the polls of one process before its first revision.
constexpr Milliseconds kInitialPollPeriod{500};
constexpr Milliseconds kMinWatchBackoff{500};
constexpr Milliseconds kMaxWatchBackoff{8000};

}  // namespace

ConfigSynchronizer::ConfigSynchronizer(EventLoop* loop, Gossip* gossip,
                                       PeerService* peers, KvStore* store,
                                       const std::string& deployment,
                                       std::string site,
                                       ActivatedCallback on_activated)
    : loop_(loop),
      gossip_(gossip),
      peers_(peers),
      store_(store),
      keys_(deployment),
      site_(std::move(site)),
      on_activated_(std::move(on_activated)),
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
    if (pending_holder_ && peer->channel->remote() == *pending_holder_)
      RequestBundle(peer);
  });
}

void ConfigSynchronizer::Start() {
  OnViewChanged();
  SchedulePoll();
}

// Polls repair whatever gossip and watches miss. The period grows with the
// number of live processes, which keeps the rate of the whole fleet constant;
// jitter spreads the polls.
void ConfigSynchronizer::SchedulePoll() {
  Milliseconds period = kInitialPollPeriod;
  if (active_ != nullptr) {
    auto live = static_cast<int64_t>(gossip_->view().Live().size());
    period = std::max(kMinPollPeriod, kFleetPollPeriod * live);
  }
  auto jittered = period / 2 + Milliseconds(random_() % (period.count() + 1));
  poll_timer_ = loop_->After(jittered, [this] {
    SchedulePoll();
    ReadHead();
  });
}

// Returns whether this process ranks among the first kWatchersPerPlace of its
// place by rendezvous hash. Agents are candidates only in a place without
// routers.
bool ConfigSynchronizer::IsWatcher() const {
  const HostRecord& self = gossip_->self();
  size_t higher_ranked = 0;
  for (const HostRecord* it : gossip_->view().Live()) {
    if (it->place != self.place || it->name == self.name || it->leaving)
      continue;
    if (it->role != self.role) {
      if (it->role == Role::kRouter) return false;
      continue;
    }
    if (RendezvousScore("watch", it->name) >
        RendezvousScore("watch", self.name))
      ++higher_ranked;
  }
  return higher_ranked < kWatchersPerPlace;
}

void ConfigSynchronizer::OnViewChanged() {
  bool is_watcher = IsWatcher();
  if (is_watcher == std::exchange(is_watcher_, is_watcher)) return;
  watch_retry_timer_.Cancel();
  watch_.reset();
  if (is_watcher) StartWatch();
}

void ConfigSynchronizer::StartWatch() {
  // Watching before reading ensures that a change in between is seen twice
  // rather than lost.
  watch_ = store_->Watch(
      keys_.HeadKey(), 0,
      [this](std::vector<KvEvent> events) {
        watch_backoff_ = Milliseconds(0);
        for (const KvEvent& it : events) {
          if (!it.deleted && it.entry.key == keys_.HeadKey())
            HandleStoredHead(it.entry.value);
        }
      },
      [this](const Error& error) { OnWatchEnd(error); });
  ReadHead();
}

void ConfigSynchronizer::OnWatchEnd(const Error& error) {
  PC_INFO(kConfig, "key-value watch ended: " << error.message);
  loop_->Post([watch = std::shared_ptr<KvWatch>(std::move(watch_))] {});
  watch_backoff_ =
      std::clamp(watch_backoff_ * 2, kMinWatchBackoff, kMaxWatchBackoff);
  // Jitter keeps the watchers of all places from reconnecting at the same time.
  auto wait = watch_backoff_ / 2 +
              Milliseconds(random_() % (watch_backoff_.count() + 1));
  watch_retry_timer_ = loop_->After(wait, [this] {
    if (is_watcher_) StartWatch();
  });
}

void ConfigSynchronizer::ReadHead() {
  store_->Get(keys_.HeadKey(), [this](Result<std::optional<KvEntry>> entry) {
    if (!entry) {
      PC_DEBUG(kConfig, entry.error().message);
      return;
    }
    if (entry.value()) return HandleStoredHead(entry.value()->value);
    if (revision() > 0)
      Reject({}, "the key-value service no longer holds a configuration");
  });
}

void ConfigSynchronizer::HandleStoredHead(const std::string& text) {
  auto head = Head::Decode(text);
  if (!head) return Reject({}, head.error().message);
  if (head.value().revision > revision())
    return FetchStoredBundle(head.value());
  if (head.value().revision < revision()) {
    return Reject(head.value(),
                  "the key-value service holds an older revision");
  }
  if (active_ != nullptr && head.value().bundle != active_->head.bundle) {
    Reject(head.value(),
           "the key-value service holds a different bundle for this revision");
  }
}

void ConfigSynchronizer::FetchStoredBundle(const Head& head) {
  store_->Get(
      keys_.BundleKey(head.bundle),
      [this, head](Result<std::optional<KvEntry>> entry) {
        if (!entry || !entry.value()) {
          PC_INFO(kConfig,
                  "revision "
                      << head.revision
                      << " is announced, but its bundle is not readable yet");
          return;
        }
        Adopt(head, entry.value()->value);
      });
}

void ConfigSynchronizer::OnHead(const HeadSummary& head,
                                const Endpoint& holder) {
  if (head.revision < revision()) return;
  if (head.revision == revision()) {
    if (active_ != nullptr && head.bundle != active_->head.bundle) {
      Reject({}, holder.ToString() + " holds a different bundle for revision " +
                     std::to_string(head.revision));
    }
    return;
  }
  Peer* peer = peers_->FindByEndpoint(holder);
  if (peer != nullptr) return RequestBundle(peer);
  pending_holder_ = holder;
  peers_->Connect(holder);
}

void ConfigSynchronizer::RequestBundle(Peer* peer) {
  pending_holder_.reset();
  peer->channel->Send(static_cast<uint8_t>(PeerFrameType::kBundleRequest),
                      Encode(BundleRequestMessage{revision()}));
}

void ConfigSynchronizer::OnBundleRequest(Peer* peer, std::string_view payload) {
  BundleRequestMessage request;
  if (!Decode(payload, &request) || revision() <= request.known_revision)
    return;
  BundleMessage message{active_->head.Encode(), active_->bundle.Encode()};
  peer->channel->Send(static_cast<uint8_t>(PeerFrameType::kBundle),
                      Encode(message));
}

void ConfigSynchronizer::OnBundle(Peer*, std::string_view payload) {
  BundleMessage message;
  if (!Decode(payload, &message)) return;
  auto head = Head::Decode(message.head);
  if (head) Adopt(head.value(), message.bundle);
}

void ConfigSynchronizer::Adopt(const Head& head,
                               const std::string& bundle_text) {
  if (head.revision <= revision()) return;
  if (Sha256(bundle_text) != head.bundle)
    return Reject(head, "the bundle does not match its digest");
  auto bundle = Bundle::Decode(bundle_text);
  if (!bundle) return Reject(head, bundle.error().message);
  auto config = ParseBundle(bundle.value(), site_);
  if (!config) return Reject(head, config.error().message);
  auto next = std::make_shared<ActiveConfig>();
  next->head = head;
  next->bundle = std::move(bundle).value();
  next->config = std::move(config).value();
  active_ = std::move(next);
  ++counters_.revisions_adopted;
  PC_INFO(kConfig,
          "revision " << head.revision << " is active: " << head.summary);
  gossip_->UpdateSelf(
      [&](HostRecord* it) { it->config_revision = head.revision; });
  gossip_->SetHead({head.revision, head.bundle});
  on_activated_();
}

void ConfigSynchronizer::Reject(const Head& head, const std::string& why) {
  ++counters_.revisions_rejected;
  PC_ERROR(kConfig, "rejected revision " << head.revision << ", " << revision()
                                         << " stays active: " << why);
}

}  // namespace primrosecove
