// Membership by probing and by news carried on the probes (after SWIM, Das et
// al., 2002).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Core/Membership/host_view.h"
#include "Core/Membership/wire.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/key_ring.h"
#include "Core/Net/udp_socket.h"

namespace primrosecove {

/// Periods and bounds of membership. Costs a process do not grow with the
/// fleet.
struct GossipOptions {
  Milliseconds probe_period{1000};
  Milliseconds ack_timeout{400};  ///< Then others are asked to probe.
  Milliseconds suspicion_timeout{
      4000};  ///< Then a suspect that has not refuted is dead.
  Milliseconds compare_period{5000};  ///< Between comparisons of whole views.
  Milliseconds forget_dead_after{600'000};
  size_t indirect_probes = 3;
  size_t max_datagram_bytes = 1200;  ///< Below the smallest usual path MTU.
  size_t head_fanout =
      4;  ///< Peers told at once when the configuration's head moves.
  size_t news_fanout =
      2;  ///< Peers told soon of a changed record, who tell others in turn.
  Milliseconds news_delay{30};  ///< Wait for more news, to be told together.
};

/// Counters for metrics; bytes are of datagrams, without UDP and IP headers.
struct GossipCounters {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t datagrams_refused = 0;
  uint64_t deaths_declared = 0;
};

/// Keeps the view of the fleet and spreads this process's record and the
/// configuration's head. Use it on its loop's thread only.
class Gossip {
 public:
  struct Callbacks {
    std::function<void()>
        on_view_changed;  ///< Posted; several changes may share one call.
    /// A peer holds a configuration head; called for each message that names
    /// one.
    std::function<void(const HeadSummary& head, const Endpoint& holder)>
        on_head;
    /// A newer process of this name has taken over; this one must give no more
    /// orders.
    std::function<void()> on_superseded;
  };

  Gossip(EventLoop* loop, const KeyRing* keys, GossipOptions options,
         HostRecord self, Callbacks callbacks);
  /// Binds the socket and starts probing; fails with kUnavailable when the
  /// address is taken.
  Result<void> Start(const Endpoint& listen);
  /// Names processes to introduce this one to; known names are left alone.
  void ContactPeers(const std::vector<Endpoint>& peers);
  /// Changes this process's record by `change` and spreads it.
  void UpdateSelf(const std::function<void(HostRecord*)>& change);
  /// Marks a process as leaving because the platform says so.
  void MarkLeaving(std::string_view name);
  /// Records that a request was running when an upstream broke off, and tells
  /// all processes.
  void AddCrashObservation(const CrashObservation& sighting);
  const SuspectTable& suspects() const { return suspects_; }
  /// Sets the head that this process holds; a newer one is told to some peers
  /// at once.
  void SetHead(const HeadSummary& head);

  const HostView& view() const { return view_; }
  const HostRecord& self() const { return *view_.Find(self_name_); }
  const GossipCounters& counters() const { return counters_; }

 private:
  struct News {
    std::string name;
    size_t transmissions = 0;
  };
  struct SightingNews {
    CrashObservation sighting;
    size_t transmissions = 0;
  };
  struct Probe {
    std::string target;
    Timer timer;
  };
  struct Relay {
    uint64_t sequence = 0;
    Endpoint requester;
  };

  void OnDatagram(std::string_view datagram, const Endpoint& from);
  void HandlePing(const GossipMessage& message, const Endpoint& from);
  void HandleAck(const GossipMessage& message);
  void HandlePingRequest(const GossipMessage& message, const Endpoint& from);
  void HandleCompare(const GossipMessage& message, const Endpoint& from);
  void TakeRecord(const HostRecord& record);
  bool IsSuperseded(const HostRecord& about_self) const;
  void RefuteIfNeeded(const HostRecord& about_self);
  void ProbeNext();
  void ProbeIndirectly(uint64_t sequence);
  void Suspect(const std::string& name);
  void DeclareDead(const std::string& name, uint64_t incarnation,
                   uint64_t counter);
  void CompareWithRandomPeer();
  void ForgetDead();
  void Spread(const std::string& name);
  void SchedulePush();
  void PushNews();
  void NotifyChanged();
  void Send(GossipMessage message, const Endpoint& to, bool with_news);
  void AddNews(GossipMessage* message);
  size_t TransmissionLimit() const;
  std::vector<const HostRecord*> RandomPeers(size_t n, std::string_view except);
  const HostRecord* NextProbeTarget();

  EventLoop* loop_;
  const KeyRing* keys_;
  GossipOptions options_;
  std::string self_name_;
  Callbacks callbacks_;
  UdpSocket socket_;
  HostView view_;
  HeadSummary head_;
  std::mt19937_64 random_;
  uint64_t next_sequence_ = 1;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, Relay> relays_;
  std::map<std::string, Timer> suspicions_;
  std::map<std::string, SteadyTime> dead_since_;
  std::deque<News> news_;
  SuspectTable suspects_;
  std::deque<SightingNews> sighting_news_;
  std::vector<std::string> probe_order_;
  SteadyTime started_;
  Timer push_timer_;
  bool change_posted_ = false;
  GossipCounters counters_;
  Timer probe_timer_;
  Timer compare_timer_;
};

}  // namespace primrosecove
