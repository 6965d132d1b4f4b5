// Tests which agents a router reports to.
#include "Core/Fleet/relay_choice.h"

#include <catch2/catch.hpp>
#include <string>

namespace primrosecove {
namespace {

struct Agent {
  const char* id;
  int64_t start_time_ms;
  int64_t heard_at_ms;
};

UpstreamRegistry MakeRegistry(const std::vector<Agent>& agents) {
  UpstreamRegistry out;
  for (const Agent& it : agents) {
    UpstreamRecord record;
    record.id = it.id;
    record.endpoint = {std::string("ip-") + it.id, 80};
    record.start_time_ms = it.start_time_ms;
    MonotonicTime at(it.heard_at_ms);
    out.Apply({it.id, record, ""}, MonotonicTime(-9000), at);
    UpstreamStatus status;
    status.upstream = record.endpoint;
    status.start_time_ms = it.start_time_ms;
    status.reachable = true;
    out.RecordStatus(status, at);
  }
  return out;
}

std::string RelaysOf(const RelayChoice& choice) {
  std::string out;
  for (const auto& it : choice.relays())
    out += (it.is_chosen ? "" : "+") + it.ip.substr(3);
  return out;
}

// Guards against routers without a common relay: some of them do not know the
// upstreams that were added, whose ids may sort before all others.
TEST_CASE("a router reports to the agents of the oldest upstreams") {
  struct Row {
    const char* name;
    std::vector<Agent> agents;
    const char* relays;
  };
  const Row rows[] = {
      {"none", {}, ""},
      {"few", {{"a", 5, 9000}, {"b", 4, 9000}}, "ba"},
      {"later ones are added",
       {{"a", 7, 9000},
        {"b", 7, 9000},
        {"c", 5, 9000},
        {"d", 5, 9000},
        {"e", 5, 9000},
        {"f", 5, 9000}},
       "cdef"},
      {"the oldest is silent",
       {{"a", 1, 100}, {"b", 5, 9000}, {"c", 6, 9000}},
       "bc"},
      {"a start is unknown", {{"a", 0, 9000}, {"b", 5, 9000}}, "ba"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RelayChoice choice;
    choice.Update(MakeRegistry(row.agents), MonotonicTime(9100));
    CHECK(RelaysOf(choice) == row.relays);
  }
}

// Guards against routers that go on without a common relay, although an agent
// that others have chosen tells them.
TEST_CASE("a router joins the relays of others while they are used") {
  UpstreamRegistry registry = MakeRegistry({{"a", 5, 9000}});
  RelayChoice choice;
  CHECK(choice.Update(registry, MonotonicTime(9000)));
  choice.OnRelayMessage("ip-a", MonotonicTime(9000));
  choice.OnRelayMessage("ip-b", MonotonicTime(9000));
  CHECK(choice.Update(registry, MonotonicTime(9100)));
  CHECK(RelaysOf(choice) == "a+b");
  CHECK_FALSE(choice.Update(registry, MonotonicTime(9200)));
  choice.OnRelayMessage("ip-b", MonotonicTime(9300));
  MonotonicTime end = MonotonicTime(9300) + RelayChoice::kJoinedLifetime;
  choice.Update(MakeRegistry({{"a", 5, end.count()}}), end);
  CHECK(RelaysOf(choice) == "a+b");
  choice.Update(MakeRegistry({{"a", 5, end.count()}}), end + Milliseconds(1));
  CHECK(RelaysOf(choice) == "a");
}

// Guards against reports to most of the fleet: after a loss of power, routers
// hear agents in different orders and choose different relays.
TEST_CASE("a router joins few relays, the same as other routers") {
  RelayChoice choices[2];
  constexpr size_t kAgents = 30;
  for (size_t n = 0; n < kAgents; ++n) {
    for (size_t router : {0, 1}) {
      size_t agent = router == 0 ? n : kAgents - 1 - n;
      choices[router].OnRelayMessage("ip-" + std::to_string(agent),
                                     MonotonicTime(0));
    }
  }
  for (RelayChoice& it : choices)
    it.Update(MakeRegistry({{"a", 5, 0}}), MonotonicTime(0));
  CHECK(choices[0].relays().size() == 1 + RelayChoice::kMaxJoined);
  CHECK(choices[0].relays() == choices[1].relays());
}

}  // namespace
}  // namespace primrosecove
