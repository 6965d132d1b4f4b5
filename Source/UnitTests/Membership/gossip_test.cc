#include "Core/Membership/gossip.h"

#include <memory>

#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

GossipOptions FastOptions() {
  GossipOptions out;
  out.probe_period = Milliseconds(40);
  out.ack_timeout = Milliseconds(20);
  out.suspicion_timeout = Milliseconds(200);
  out.compare_period = Milliseconds(60);
  return out;
}

// A process with its membership protocol; all processes share one loop.
struct Process {
  HostRecord record;
  std::unique_ptr<Gossip> gossip;
  HeadSummary received_head;
  bool superseded = false;

  Process(EventLoop* loop, const KeyRing* keys, int group, int n,
          uint64_t incarnation = 1, int address = 0) {
    record.name = "host-" + std::to_string(n);
    record.incarnation = incarnation;
    if (address == 0) address = n;
    record.http = TestEndpoint(group, address);
    record.peer = TestEndpoint(group, address);
    Gossip::Callbacks callbacks;
    callbacks.on_head = [this](const HeadSummary& head, const Endpoint&) {
      received_head = head;
    };
    callbacks.on_superseded = [this] { superseded = true; };
    gossip = std::make_unique<Gossip>(loop, keys, FastOptions(), record,
                                      std::move(callbacks));
    auto started = gossip->Start(record.peer);
    if (!started) FAIL(started.error().message);
  }
};

using Processes = std::vector<std::unique_ptr<Process>>;

Processes StartFleet(EventLoop* loop, const KeyRing* keys, int group, int n) {
  Processes out;
  for (int i = 1; i <= n; ++i)
    out.push_back(std::make_unique<Process>(loop, keys, group, i));
  for (auto& it : out) it->gossip->ContactPeers({out.front()->record.peer});
  return out;
}

bool AllKnow(const Processes& fleet, size_t n) {
  for (const auto& it : fleet) {
    if (it->gossip->view().Live().size() != n) return false;
  }
  return true;
}

bool AllSee(const Processes& fleet, const std::string& name,
            const std::function<bool(const HostRecord&)>& condition) {
  for (const auto& it : fleet) {
    const HostRecord* record = it->gossip->view().Find(name);
    if (record == nullptr || !condition(*record)) return false;
  }
  return true;
}

}  // namespace

TEST_CASE("members, record changes and configuration heads reach every process",
          "[membership]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Processes fleet = StartFleet(&loop, &keys, 3, 8);
  RunUntil(&loop, [&] { return AllKnow(fleet, 8); });
  fleet[2]->gossip->UpdateSelf(
      [](HostRecord* it) { it->serving.model = "chat"; });
  RunUntil(&loop, [&] {
    return AllSee(fleet, "host-3", [](const HostRecord& it) {
      return it.serving.model == "chat";
    });
  });
  HeadSummary head{5, Sha256("five")};
  fleet[0]->gossip->SetHead(head);
  RunUntil(&loop, [&] {
    for (size_t i = 1; i < fleet.size(); ++i) {
      if (!(fleet[i]->received_head == head)) return false;
    }
    return true;
  });
}

TEST_CASE("a stopped process is declared dead and its replacement alive",
          "[membership]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Processes fleet = StartFleet(&loop, &keys, 4, 6);
  RunUntil(&loop, [&] { return AllKnow(fleet, 6); });
  fleet.pop_back();
  RunUntil(&loop, [&] { return AllKnow(fleet, 5); });
  CHECK(fleet[0]->gossip->view().Find("host-6")->liveness == Liveness::kDead);
  // The replacement started later, so its incarnation is larger.
  fleet.push_back(std::make_unique<Process>(&loop, &keys, 4, 6, 2));
  fleet.back()->gossip->ContactPeers({fleet[0]->record.peer});
  RunUntil(&loop, [&] { return AllKnow(fleet, 6); });
}

TEST_CASE("a replacement with a clock set back overrides its predecessor",
          "[membership]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Processes fleet = StartFleet(&loop, &keys, 5, 4);
  // Incarnations are start times; the predecessor's lies one hour ahead of the
  // replacement's.
  constexpr uint64_t kHourMs = 3'600'000;
  fleet.pop_back();
  fleet.push_back(std::make_unique<Process>(&loop, &keys, 5, 4, kHourMs));
  fleet.back()->gossip->ContactPeers({fleet[0]->record.peer});
  RunUntil(&loop, [&] { return AllKnow(fleet, 4); });
  fleet.pop_back();
  RunUntil(&loop, [&] { return AllKnow(fleet, 3); });
  fleet.push_back(std::make_unique<Process>(&loop, &keys, 5, 4, 0));
  fleet.back()->gossip->ContactPeers({fleet[0]->record.peer});
  RunUntil(&loop, [&] { return AllKnow(fleet, 4); });
  CHECK(fleet.back()->gossip->self().incarnation > kHourMs);
  CHECK_FALSE(fleet.back()->superseded);
}

TEST_CASE("a process replaced right after its start is superseded",
          "[membership]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Processes fleet = StartFleet(&loop, &keys, 17, 3);
  RunUntil(&loop, [&] { return AllKnow(fleet, 3); });
  // The replacement has the same name and another address, and started later.
  Process* old = fleet[2].get();
  auto replacement = std::make_unique<Process>(&loop, &keys, 17, 3, 2, 9);
  replacement->gossip->ContactPeers({fleet[0]->record.peer});
  RunUntil(&loop, [&] { return old->superseded || replacement->superseded; });
  CHECK(old->superseded);
  CHECK_FALSE(replacement->superseded);
}

TEST_CASE("leaving reaches every process and is permanent", "[membership]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  Processes fleet = StartFleet(&loop, &keys, 6, 5);
  RunUntil(&loop, [&] { return AllKnow(fleet, 5); });
  fleet[0]->gossip->MarkLeaving("host-4");
  auto leaving = [](const HostRecord& it) {
    return it.leaving && !it.AcceptsWork();
  };
  RunUntil(&loop, [&] { return AllSee(fleet, "host-4", leaving); });
  fleet[3]->gossip->UpdateSelf(
      [](HostRecord* it) { it->transfer_percent = 50; });
  RunUntil(&loop, [&] {
    return AllSee(fleet, "host-4", [](const HostRecord& it) {
      return it.transfer_percent == 50;
    });
  });
  CHECK(AllSee(fleet, "host-4", leaving));
}

TEST_CASE("a process without the key can neither read nor change the view",
          "[membership]") {
  EventLoop loop;
  KeyRing keys = TestKeys('k');
  KeyRing other = TestKeys('x');
  Processes fleet = StartFleet(&loop, &keys, 7, 3);
  Process unauthenticated(&loop, &other, 7, 9);
  unauthenticated.gossip->ContactPeers(
      {fleet[0]->record.peer, fleet[1]->record.peer});
  unauthenticated.gossip->SetHead({99, Sha256("forged")});
  RunUntil(&loop, [&] {
    return AllKnow(fleet, 3) &&
           fleet[0]->gossip->counters().datagrams_refused > 0;
  });
  CHECK(unauthenticated.gossip->view().records().size() == 1);
  CHECK(fleet[0]->gossip->view().Find("host-9") == nullptr);
  CHECK(fleet[0]->received_head.revision == 0);
}

}  // namespace primrosecove
