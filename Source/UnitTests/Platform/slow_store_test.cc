// A store whose responses arrive slowly, because many hosts read a large
// configuration over one link. Guards against a bound on the time of a whole
// response: the reader dropped what it had received and began again, without
// end.
#include <catch2/catch.hpp>

#include "../raw_server.h"
#include "../test_support.h"
#include "Core/Fleet/deployment_watcher.h"
#include "platform/store_source.h"

namespace primrosecove {
namespace {

constexpr int kGroup = 64;
constexpr Milliseconds kMaxConfigAge{500};
// With the first watch's wait, a silent store is lost within this time.
constexpr Milliseconds kMaxSilence{1500};

TEST_CASE("a slow response of the store is read to its end, a silent one isn't",
          "[store]") {
  struct Row {
    const char* name;
    Milliseconds period;  // Between blocks of the body.
    bool is_read;
  };
  const Row rows[] = {
      {"slow", Milliseconds(100), true},
      {"slow, with long pauses", Milliseconds(700), true},
      {"silent", Milliseconds(60'000), false},
  };
  constexpr size_t kBlocks = 25;
  for (const Row& row : rows) {
    INFO(row.name);
    EventLoop loop;
    RawServer server(&loop, TestEndpoint(kGroup, 2));
    const std::string content = R"({"entries":[],"has_more":false,"as_of":9})";
    const std::string block(1000, ' ');
    size_t blocks = row.period < Milliseconds(500) ? kBlocks : 4;
    server.Add({"HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(content.size() + blocks * block.size()) +
                    "\r\n\r\n" + content,
                RawServer::End::kKeepOpen, block, row.period});
    Http1Client client(&loop);
    platform::StoreSource source(&client, TestEndpoint(kGroup, 2));
    bool synced = false;
    bool lost = false;
    DeploymentWatcher::Events events;
    events.on_change = [](const DeploymentChange&) {};
    events.on_confirmed = [](BootTime) {};
    events.on_synced = [&](const StorePosition&) { synced = true; };
    events.on_restored = [] {};
    events.on_reachable = [&](bool reachable) { lost = !reachable; };
    DeploymentWatcher watcher(&loop, &source, kMaxConfigAge, std::move(events));
    SteadyTime begin = EventLoop::Now();
    watcher.Start();
    RunUntil(&loop, [&] { return synced || lost; });
    CHECK(synced == row.is_read);
    Milliseconds time =
        std::chrono::duration_cast<Milliseconds>(EventLoop::Now() - begin);
    if (row.is_read) {
      CHECK(time > kMaxSilence);
    } else {
      CHECK(time < kMaxSilence);
    }
  }
}

}  // namespace
}  // namespace primrosecove
