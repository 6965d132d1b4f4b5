#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

#include "Core/Control/metrics.h"
#include "Core/Net/http_server.h"
#include "UnitTests/test_support.h"

namespace primrosecove {

// Guards against crashes and memory leaks in libevhtp's parser and
// HttpExchange: sends mutated and truncated requests on many concurrent
// connections.
TEST_CASE(
    "10000 malformed byte streams neither crash the HTTP server nor leak "
    "memory",
    "[net][malformed]") {
  constexpr int kInputs = 10000;
  constexpr int kConnectionsPerBatch = 50;
  constexpr uint64_t kMaxGrowthBytes = 32 << 20;
  EventLoop loop;
  HttpServer server(&loop, {.max_body_bytes = 4096}, [](const auto& exchange) {
    exchange->Respond(200, {}, "ok");
  });
  REQUIRE(server.Listen(TestEndpoint(23, 1)));
  sockaddr_in address = TestEndpoint(23, 1).ToSockaddr();
  const std::string valid =
      "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: a\r\nX-Workspace: w\r\n"
      "Content-Length: 5\r\n\r\nhello";
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  std::mt19937_64 random(20261203);
  uint64_t before = 0;
  for (int i = 0; i < kInputs; i += kConnectionsPerBatch) {
    if (i == kInputs / 10) before = ResidentBytes();
    std::vector<int> sockets;
    for (int n = 0; n < kConnectionsPerBatch; ++n) {
      std::string bytes = random() % 2 == 0 ? valid : chunked;
      for (uint64_t mutations = random() % 5 + 1; mutations > 0; --mutations) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      if (random() % 3 == 0) bytes.resize(random() % bytes.size());
      int fd = socket(AF_INET, SOCK_STREAM, 0);
      REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0);
      (void)send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      sockets.push_back(fd);
    }
    loop.RunOnce(Milliseconds(1));
    loop.RunOnce(Milliseconds(1));
    for (int fd : sockets) close(fd);
    loop.RunOnce(Milliseconds(1));
  }
  RunUntil(&loop, [&] { return server.in_flight() == 0; });
  CHECK(ResidentBytes() < before + kMaxGrowthBytes);
}

}  // namespace primrosecove
