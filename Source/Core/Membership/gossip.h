// Group membership by probing, with record updates piggybacked on the probes
// (after SWIM, Das et al., 2002).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Core/Membership/gossip_message.h"
#include "Core/Membership/host_view.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/key_ring.h"
#include "Core/Net/udp_socket.h"

namespace primrosecove {

/// Periods and bounds of the membership protocol. The load on each process is
/// independent of the fleet's size.
struct GossipOptions {
  Milliseconds probe_period{1000};
  Milliseconds ack_timeout{400};  ///< Wait for an ack before indirect probes.
  Milliseconds suspicion_timeout{
      4000};  ///< Time that a suspect has to refute the suspicion before it is
              ///< declared dead.
  Milliseconds compare_period{
      5000};  ///< Interval between comparisons of whole views.
  Milliseconds dead_retention{600'000};
  size_t indirect_probes = 3;
  size_t max_datagram_bytes = 1200;  ///< Below the smallest common path MTU.
  size_t head_fanout =
      4;  ///< Peers that are sent a new configuration head immediately.
  size_t update_fanout = 2;  ///< Peers that are sent a changed record after
                             ///< `update_delay`; they forward it to others.
  Milliseconds update_delay{
      30};  ///< Wait for further updates, to send them in one datagram.
};

/// Counters for metrics. Bytes are those of datagrams, without UDP and IP
/// headers.
struct GossipCounters {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t datagrams_refused = 0;
  uint64_t deaths_declared = 0;
};

/// Maintains the view of the fleet and disseminates this process's record and
/// the configuration's head. Use it on its loop's thread only.
class Gossip {
 public:
  struct Callbacks {
    std::function<void()> on_view_changed;  ///< Posted to the loop; one call
                                            ///< may stand for several changes.
    /// Called for each message that carries a configuration head; `holder` is
    /// the sender's peer endpoint.
    std::function<void(const HeadSummary& head, const Endpoint& holder)>
        on_head;
    /// Called when a newer process with this name has replaced this one, which
    /// must issue no further orders.
    std::function<void()> on_superseded;
  };

  Gossip(EventLoop* loop, const KeyRing* keys, GossipOptions options,
         HostRecord self, Callbacks callbacks);
  /// Binds the socket and starts probing; fails with kUnavailable when the
  /// address is taken.
  Result<void> Start(const Endpoint& listen);
  /// Sends this process's record and bucket hashes to `peers`, which respond
  /// with the records that differ.
  void ContactPeers(const std::vector<Endpoint>& peers);
  /// Applies `change` to this process's record and disseminates the result.
  void UpdateSelf(const std::function<void(HostRecord*)>& change);
  /// Marks a process as leaving on the platform's information and disseminates
  /// that.
  void MarkLeaving(std::string_view name);
  /// Records that a request was running when an upstream crashed, and
  /// disseminates the observation to all processes.
  void AddCrashObservation(const CrashObservation& observation);
  const SuspectTable& suspects() const { return suspects_; }
  /// Sets the configuration head that this process holds. A changed head is
  /// sent to `head_fanout` peers immediately.
  void SetHead(const HeadSummary& head);

  const HostView& view() const { return view_; }
  const HostRecord& self() const { return *view_.Find(self_name_); }
  const GossipCounters& counters() const { return counters_; }

 private:
  struct PendingUpdate {
    std::string name;
    size_t transmissions = 0;
  };
  struct PendingObservation {
    CrashObservation observation;
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
  void ApplyRecord(const HostRecord& record);
  bool IsSuperseded(const HostRecord& about_self) const;
  void RefuteIfNeeded(const HostRecord& about_self);
  void ProbeNext();
  void ProbeIndirectly(uint64_t sequence);
  void Suspect(const std::string& name);
  void DeclareDead(const std::string& name, uint64_t incarnation,
                   uint64_t counter);
  void CompareWithRandomPeer();
  void RemoveDead();
  void EnqueueUpdate(const std::string& name);
  void SchedulePush();
  void PushUpdates();
  void NotifyViewChanged();
  void Send(GossipMessage message, const Endpoint& to, bool with_updates);
  void AppendUpdates(GossipMessage* message);
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
  std::deque<PendingUpdate> pending_updates_;
  SuspectTable suspects_;
  std::deque<PendingObservation> pending_observations_;
  std::vector<std::string> probe_order_;
  SteadyTime started_;
  Timer push_timer_;
  bool change_posted_ = false;
  GossipCounters counters_;
  Timer probe_timer_;
  Timer compare_timer_;
};

}  // namespace primrosecove
