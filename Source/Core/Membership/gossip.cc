#include "Core/Membership/gossip.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "Core/Common/digest.h"
#include "Core/Common/log.h"

namespace primrosecove {
namespace {

// Transmissions of an update per doubling of the fleet's size (SWIM's lambda).
constexpr size_t kTransmissionsPerDoubling = 1;
// Relayed probes that are tracked at the same time. The acks of older ones
// would arrive too late.
constexpr size_t kMaxRelays = 256;
// Limit on the datagrams sent in response to one comparison; a large difference
// is resolved over several comparisons.
constexpr size_t kMaxDatagramsPerCompare = 8;
// Observations that wait for transmission. A crash adds one for each request
// that was running.
constexpr size_t kMaxPendingObservations = 512;
constexpr size_t kObservationsPerMessage = 12;
// Bytes of a message without records and hashes, including the authentication
// tag.
constexpr size_t kMessageOverheadBytes = 160;

}  // namespace

Gossip::Gossip(EventLoop* loop, const KeyRing* keys, GossipOptions options,
               HostRecord self, Callbacks callbacks)
    : loop_(loop),
      keys_(keys),
      options_(options),
      self_name_(self.name),
      callbacks_(std::move(callbacks)),
      socket_(loop, [this](std::string_view bytes,
                           const Endpoint& from) { OnDatagram(bytes, from); }),
      random_(RandomU64()),
      started_(EventLoop::Now()) {
  view_.Merge(self);
}

Result<void> Gossip::Start(const Endpoint& listen) {
  BOOST_OUTCOME_TRY(socket_.Bind(listen));
  probe_timer_ = loop_->Every(options_.probe_period, [this] { ProbeNext(); });
  compare_timer_ = loop_->Every(options_.compare_period, [this] {
    CompareWithRandomPeer();
    RemoveDead();
  });
  EnqueueUpdate(self_name_);
  return outcome::success();
}

void Gossip::ContactPeers(const std::vector<Endpoint>& peers) {
  for (const Endpoint& it : peers) {
    if (it == self().peer) continue;
    GossipMessage message;
    message.type = GossipType::kCompare;
    message.records.push_back(self());
    auto hashes = view_.Hashes();
    message.hashes.assign(hashes.begin(), hashes.end());
    Send(std::move(message), it, false);
  }
}

void Gossip::UpdateSelf(const std::function<void(HostRecord*)>& change) {
  HostRecord record = self();
  change(&record);
  if (record == self()) return;
  ++record.counter;
  record.liveness = Liveness::kAlive;
  view_.Merge(record);
  EnqueueUpdate(self_name_);
  NotifyViewChanged();
}

void Gossip::MarkLeaving(std::string_view name) {
  const HostRecord* found = view_.Find(name);
  if (found == nullptr || found->leaving) return;
  HostRecord record = *found;
  record.leaving = true;
  ApplyRecord(record);
}

void Gossip::SetHead(const HeadSummary& head) {
  if (head == head_) return;
  head_ = head;
  for (const HostRecord* it : RandomPeers(options_.head_fanout, "")) {
    Send({.type = GossipType::kUpdate}, it->peer, true);
  }
}

void Gossip::OnDatagram(std::string_view datagram, const Endpoint& from) {
  counters_.bytes_received += datagram.size();
  auto body = keys_->Verify(datagram);
  auto message = body ? DecodeGossip(*body) : std::nullopt;
  if (!message) {
    ++counters_.datagrams_refused;
    PC_DEBUG(kMembership,
             "rejected a malformed or unauthenticated datagram from "
                 << from.ToString());
    return;
  }
  for (const HostRecord& it : message->records) ApplyRecord(it);
  for (const CrashObservation& it : message->observations)
    AddCrashObservation(it);
  const HostRecord* sender = view_.Find(message->sender);
  if (message->head.revision != 0 && sender != nullptr && callbacks_.on_head) {
    callbacks_.on_head(message->head, sender->peer);
  }
  switch (message->type) {
    case GossipType::kPing:
      return HandlePing(*message, from);
    case GossipType::kAck:
      return HandleAck(*message);
    case GossipType::kPingRequest:
      return HandlePingRequest(*message, from);
    case GossipType::kCompare:
      return HandleCompare(*message, from);
    case GossipType::kUpdate:
      return;
  }
}

void Gossip::HandlePing(const GossipMessage& message, const Endpoint& from) {
  // A ping for the process that used this address before must not be
  // acknowledged, or that process would appear alive.
  if (message.target != self_name_) return;
  Send({.type = GossipType::kAck, .sequence = message.sequence}, from, true);
}

void Gossip::HandleAck(const GossipMessage& message) {
  auto relay = relays_.find(message.sequence);
  if (relay != relays_.end()) {
    GossipMessage relayed_ack{.type = GossipType::kAck,
                              .sequence = relay->second.sequence};
    Send(std::move(relayed_ack), relay->second.requester, true);
    relays_.erase(relay);
    return;
  }
  auto probe = probes_.find(message.sequence);
  if (probe == probes_.end()) return;
  probes_.erase(probe);
}

void Gossip::HandlePingRequest(const GossipMessage& message,
                               const Endpoint& from) {
  const HostRecord* target = view_.Find(message.target);
  if (target == nullptr) return;
  uint64_t sequence = next_sequence_++;
  relays_[sequence] = {message.sequence, from};
  if (relays_.size() > kMaxRelays) relays_.erase(relays_.begin());
  GossipMessage ping{.type = GossipType::kPing, .sequence = sequence};
  ping.target = message.target;
  Send(std::move(ping), target->peer, true);
}

void Gossip::HandleCompare(const GossipMessage& message, const Endpoint& from) {
  if (message.hashes.size() != HostView::kBuckets) return;
  auto own_hashes = view_.Hashes();
  std::vector<const HostRecord*> differing;
  for (const auto& [name, record] : view_.records()) {
    size_t bucket = HostView::BucketOf(name);
    if (own_hashes[bucket] != message.hashes[bucket])
      differing.push_back(&record);
  }
  std::shuffle(differing.begin(), differing.end(), random_);
  GossipMessage out{.type = GossipType::kUpdate};
  size_t size = kMessageOverheadBytes;
  size_t sent = 0;
  for (const HostRecord* it : differing) {
    size_t n = EncodedRecordBytes(*it);
    if (size + n > options_.max_datagram_bytes && !out.records.empty()) {
      Send(std::exchange(out, {.type = GossipType::kUpdate}), from, false);
      size = kMessageOverheadBytes;
      if (++sent >= kMaxDatagramsPerCompare) return;
    }
    out.records.push_back(*it);
    size += n;
  }
  if (!out.records.empty()) Send(std::move(out), from, false);
}

void Gossip::ApplyRecord(const HostRecord& record) {
  if (record.name == self_name_) return RefuteIfNeeded(record);
  const HostRecord* known = view_.Find(record.name);
  Liveness before = known == nullptr ? Liveness::kAlive : known->liveness;
  bool is_new = known == nullptr || known->incarnation < record.incarnation;
  if (!view_.Merge(record)) return;
  const HostRecord& after = *view_.Find(record.name);
  if (is_new || after.liveness == Liveness::kAlive) {
    suspicions_.erase(record.name);
    dead_since_.erase(record.name);
  }
  if (after.liveness == Liveness::kSuspect &&
      !suspicions_.contains(record.name)) {
    suspicions_[record.name] = loop_->After(
        options_.suspicion_timeout,
        [this, name = after.name, incarnation = after.incarnation,
         counter = after.counter] { DeclareDead(name, incarnation, counter); });
  }
  if (after.liveness == Liveness::kDead) {
    suspicions_.erase(record.name);
    dead_since_.emplace(record.name, EventLoop::Now());
    if (before != Liveness::kDead)
      PC_INFO(kMembership, record.name << " declared dead");
  }
  EnqueueUpdate(record.name);
  NotifyViewChanged();
}

// Incarnations are start times. An incarnation between this process's start and
// now belongs to a process that was started later and has replaced this one. An
// incarnation in the future belongs to a predecessor from before the clock was
// set back; this process adopts a larger one.
bool Gossip::IsSuperseded(const HostRecord& about_self) const {
  if (about_self.incarnation <= self().incarnation) return false;
  auto running =
      std::chrono::duration_cast<Milliseconds>(EventLoop::Now() - started_);
  uint64_t ahead = about_self.incarnation - self().incarnation;
  return ahead <= static_cast<uint64_t>(running.count());
}

// Overrides records in which other processes consider this process dead or
// suspect, or which describe the process that it replaced.
void Gossip::RefuteIfNeeded(const HostRecord& about_self) {
  HostRecord own = self();
  if (about_self.incarnation < own.incarnation) return;
  if (IsSuperseded(about_self)) {
    if (callbacks_.on_superseded) callbacks_.on_superseded();
    return;
  }
  bool has_conflict = about_self.incarnation > own.incarnation ||
                      about_self.liveness == Liveness::kDead ||
                      about_self.counter > own.counter;
  bool is_suspected = about_self.liveness == Liveness::kSuspect &&
                      about_self.counter >= own.counter;
  bool is_marked_leaving = about_self.leaving && !own.leaving;
  if (!has_conflict && !is_suspected && !is_marked_leaving) return;
  if (has_conflict) own.incarnation = about_self.incarnation + 1;
  if (!has_conflict && is_marked_leaving) own.leaving = true;
  own.counter = std::max(own.counter, about_self.counter) + 1;
  own.liveness = Liveness::kAlive;
  view_.Merge(own);
  EnqueueUpdate(self_name_);
  NotifyViewChanged();
}

const HostRecord* Gossip::NextProbeTarget() {
  // Round robin over a shuffled order bounds the time until a dead process is
  // probed.
  while (true) {
    if (probe_order_.empty()) {
      for (const HostRecord* it : view_.Live()) {
        if (it->name != self_name_) probe_order_.push_back(it->name);
      }
      if (probe_order_.empty()) return nullptr;
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    std::string name = std::move(probe_order_.back());
    probe_order_.pop_back();
    const HostRecord* record = view_.Find(name);
    if (record != nullptr && record->liveness != Liveness::kDead) return record;
  }
}

void Gossip::ProbeNext() {
  const HostRecord* target = NextProbeTarget();
  if (target == nullptr) return;
  uint64_t sequence = next_sequence_++;
  Probe& probe = probes_[sequence];
  probe.target = target->name;
  probe.timer = loop_->After(options_.ack_timeout,
                             [this, sequence] { ProbeIndirectly(sequence); });
  GossipMessage ping{.type = GossipType::kPing, .sequence = sequence};
  ping.target = target->name;
  Send(std::move(ping), target->peer, true);
}

void Gossip::ProbeIndirectly(uint64_t sequence) {
  auto it = probes_.find(sequence);
  if (it == probes_.end()) return;
  std::string target = it->second.target;
  for (const HostRecord* helper :
       RandomPeers(options_.indirect_probes, target)) {
    GossipMessage request{.type = GossipType::kPingRequest,
                          .sequence = sequence};
    request.target = target;
    Send(std::move(request), helper->peer, true);
  }
  it->second.timer =
      loop_->After(options_.probe_period, [this, sequence, target] {
        if (probes_.erase(sequence) > 0) Suspect(target);
      });
}

void Gossip::Suspect(const std::string& name) {
  const HostRecord* known = view_.Find(name);
  if (known == nullptr || known->liveness != Liveness::kAlive) return;
  PC_DEBUG(kMembership, name << " does not respond to probes");
  HostRecord record = *known;
  record.liveness = Liveness::kSuspect;
  ApplyRecord(record);
}

void Gossip::DeclareDead(const std::string& name, uint64_t incarnation,
                         uint64_t counter) {
  suspicions_.erase(name);
  const HostRecord* known = view_.Find(name);
  if (known == nullptr || known->liveness != Liveness::kSuspect) return;
  if (known->incarnation != incarnation || known->counter != counter) return;
  ++counters_.deaths_declared;
  HostRecord record = *known;
  record.liveness = Liveness::kDead;
  ApplyRecord(record);
}

void Gossip::CompareWithRandomPeer() {
  for (const HostRecord* it : RandomPeers(1, "")) {
    GossipMessage message{.type = GossipType::kCompare};
    auto hashes = view_.Hashes();
    message.hashes.assign(hashes.begin(), hashes.end());
    Send(std::move(message), it->peer, false);
  }
}

void Gossip::RemoveDead() {
  SteadyTime now = EventLoop::Now();
  for (auto it = dead_since_.begin(); it != dead_since_.end();) {
    if (now - it->second < options_.dead_retention) {
      ++it;
      continue;
    }
    view_.Remove(it->first);
    it = dead_since_.erase(it);
  }
}

void Gossip::EnqueueUpdate(const std::string& name) {
  std::erase_if(pending_updates_,
                [&](const PendingUpdate& it) { return it.name == name; });
  pending_updates_.push_front({name, 0});
  SchedulePush();
}

void Gossip::SchedulePush() {
  if (push_timer_.pending()) return;
  push_timer_ = loop_->After(options_.update_delay, [this] { PushUpdates(); });
}

void Gossip::AddCrashObservation(const CrashObservation& observation) {
  if (!suspects_.Add(observation, WallClockMs())) return;
  pending_observations_.push_front({observation, 0});
  if (pending_observations_.size() > kMaxPendingObservations)
    pending_observations_.pop_back();
  SchedulePush();
}

// Without the push, an update would wait for the next probe at each hop. A
// rollout waits for the updates which announce that a replica serves again, so
// it proceeds only as fast as they spread.
void Gossip::PushUpdates() {
  for (const HostRecord* it : RandomPeers(options_.update_fanout, "")) {
    bool has_updates =
        !pending_updates_.empty() || !pending_observations_.empty();
    if (has_updates) Send({.type = GossipType::kUpdate}, it->peer, true);
  }
}

void Gossip::NotifyViewChanged() {
  if (std::exchange(change_posted_, true)) return;
  loop_->Post([this] {
    change_posted_ = false;
    if (callbacks_.on_view_changed) callbacks_.on_view_changed();
  });
}

size_t Gossip::TransmissionLimit() const {
  return kTransmissionsPerDoubling * std::bit_width(view_.records().size());
}

void Gossip::AppendUpdates(GossipMessage* message) {
  constexpr size_t kObservationBytes = 32;
  for (PendingObservation& it : pending_observations_) {
    if (message->observations.size() >= kObservationsPerMessage) break;
    message->observations.push_back(it.observation);
    ++it.transmissions;
  }
  std::erase_if(pending_observations_, [&](const PendingObservation& it) {
    return it.transmissions >= TransmissionLimit();
  });
  size_t size =
      kMessageOverheadBytes + message->observations.size() * kObservationBytes;
  std::stable_sort(pending_updates_.begin(), pending_updates_.end(),
                   [](const PendingUpdate& a, const PendingUpdate& b) {
                     return a.transmissions < b.transmissions;
                   });
  for (PendingUpdate& it : pending_updates_) {
    const HostRecord* record = view_.Find(it.name);
    if (record == nullptr) continue;
    size_t n = EncodedRecordBytes(*record);
    if (size + n > options_.max_datagram_bytes) break;
    size += n;
    message->records.push_back(*record);
    ++it.transmissions;
  }
  std::erase_if(pending_updates_, [&](const PendingUpdate& it) {
    return it.transmissions >= TransmissionLimit();
  });
}

void Gossip::Send(GossipMessage message, const Endpoint& to,
                  bool with_updates) {
  message.sender = self_name_;
  message.head = head_;
  if (with_updates) AppendUpdates(&message);
  std::string datagram = keys_->Sign(EncodeGossip(message));
  counters_.bytes_sent += datagram.size();
  socket_.Send(datagram, to);
}

std::vector<const HostRecord*> Gossip::RandomPeers(size_t n,
                                                   std::string_view except) {
  std::vector<const HostRecord*> out;
  for (const HostRecord* it : view_.Live()) {
    if (it->name != self_name_ && it->name != except) out.push_back(it);
  }
  std::shuffle(out.begin(), out.end(), random_);
  if (out.size() > n) out.resize(n);
  return out;
}

}  // namespace primrosecove
