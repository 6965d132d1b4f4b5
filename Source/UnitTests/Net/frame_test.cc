#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

#include "Core/Control/metrics.h"
#include "Core/Net/frame_channel.h"
#include "Core/Net/token_bucket.h"
#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

constexpr uint32_t kMaxPayload = 1 << 16;

FrameCodec KeyedCodec(uint8_t direction = 1) {
  FrameCodec out(kMaxPayload);
  out.SetKey("a session key", direction);
  return out;
}

}  // namespace

TEST_CASE("only unmodified frames in order are decoded", "[net]") {
  FrameCodec sender = KeyedCodec();
  std::string first = sender.Encode(7, "one");
  std::string second = sender.Encode(8, "two");

  SECTION("in order") {
    FrameCodec receiver = KeyedCodec();
    CHECK(receiver.Decode(first).value().payload == "one");
    CHECK(receiver.Decode(second).value().type == 8);
  }
  SECTION("replayed") {
    FrameCodec receiver = KeyedCodec();
    REQUIRE(receiver.Decode(first));
    CHECK(receiver.Decode(first).error().code == ErrorCode::kPermission);
  }
  SECTION("out of order") {
    FrameCodec receiver = KeyedCodec();
    CHECK_FALSE(receiver.Decode(second));
  }
  SECTION("reflected to the sender") {
    FrameCodec receiver = KeyedCodec(2);
    CHECK_FALSE(receiver.Decode(first));
  }
  SECTION("one bit flipped") {
    FrameCodec receiver = KeyedCodec();
    first[GENERATE(range(size_t{4}, size_t{24}))] ^= 1;
    CHECK_FALSE(receiver.Decode(first));
  }
}

TEST_CASE("a length beyond the limit is rejected before memory is allocated",
          "[net]") {
  FrameCodec codec(kMaxPayload);
  std::string header("\xff\xff\xff\xff", 4);
  header.resize(FrameCodec::kHeaderBytes);
  CHECK(codec.FrameSize(header).error().code == ErrorCode::kTooLarge);
}

TEST_CASE(
    "10000 malformed inputs neither crash the frame decoder nor leak memory",
    "[net][malformed]") {
  constexpr int kInputs = 10000;
  constexpr uint64_t kMaxGrowthBytes = 8 << 20;
  std::mt19937_64 random(20261203);
  uint64_t before = ResidentBytes();
  int decoded = 0;
  for (int i = 0; i < kInputs; ++i) {
    FrameCodec sender = KeyedCodec();
    FrameCodec receiver = KeyedCodec();
    std::string bytes = sender.Encode(1, std::string(random() % 200, 'p'));
    size_t mutations = random() % 4 + 1;
    for (size_t n = 0; n < mutations; ++n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    auto size = receiver.FrameSize(bytes);
    if (!size || size.value() == 0) continue;
    std::string_view view = bytes;
    if (receiver.Decode(view.substr(0, size.value()))) {
      ++decoded;
    }
  }
  // A mutation may write the original byte, which leaves the frame valid.
  CHECK(decoded < kInputs / 100);
  CHECK(ResidentBytes() < before + kMaxGrowthBytes);
}

TEST_CASE("two processes with a shared key exchange frames", "[net]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  std::shared_ptr<FrameChannel> server;
  std::string received;
  FrameListener listener(&loop, &keys, [&](auto channel) {
    server = channel;
    FrameChannel::Callbacks callbacks;
    callbacks.on_frame = [&](const Frame& it) { received = it.payload; };
    server->SetCallbacks(std::move(callbacks));
  });
  REQUIRE(listener.Listen(TestEndpoint(2, 1)));
  auto client = FrameChannel::Connect(&loop, &keys, TestEndpoint(2, 1));
  FrameChannel::Callbacks callbacks;
  callbacks.on_ready = [&] { client->Send(9, "hello"); };
  client->SetCallbacks(std::move(callbacks));
  RunUntil(&loop, [&] { return received == "hello"; });
}

TEST_CASE("keys rotate without interruption and unknown keys are rejected",
          "[net]") {
  std::string old_key(KeyRing::kMinKeyBytes, 'o');
  std::string new_key(KeyRing::kMinKeyBytes, 'n');
  struct Row {
    std::vector<std::string> server;
    std::vector<std::string> client;
    bool accepted;
  };
  auto row = GENERATE_COPY(values<Row>({{{old_key}, {old_key}, true},
                                        {{new_key, old_key}, {old_key}, true},
                                        {{old_key, new_key}, {new_key}, true},
                                        {{old_key}, {new_key}, false}}));
  EventLoop loop;
  KeyRing server_keys = KeyRing::Create(row.server).value();
  KeyRing client_keys = KeyRing::Create(row.client).value();
  std::shared_ptr<FrameChannel> server;
  FrameListener listener(&loop, &server_keys,
                         [&](auto channel) { server = channel; });
  REQUIRE(listener.Listen(TestEndpoint(2, 2)));
  auto client = FrameChannel::Connect(&loop, &client_keys, TestEndpoint(2, 2));
  RunUntil(&loop, [&] {
    return (server && server->ready() && client->ready()) || client->closed();
  });
  CHECK(client->ready() == row.accepted);
}

TEST_CASE("an unauthenticated peer that sends invalid bytes is disconnected",
          "[net]") {
  EventLoop loop;
  KeyRing keys = TestKeys();
  std::shared_ptr<FrameChannel> server;
  FrameListener listener(&loop, &keys, [&](auto channel) { server = channel; });
  REQUIRE(listener.Listen(TestEndpoint(2, 3)));
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = TestEndpoint(2, 3).ToSockaddr();
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  std::string text = GENERATE(std::string(400, '\0'), std::string(400, '\xff'),
                              std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
  REQUIRE(send(fd, text.data(), text.size(), 0) > 0);
  RunUntil(&loop, [&] { return server && server->closed(); });
  close(fd);
}

TEST_CASE("a token bucket limits consumption to its rate", "[net]") {
  constexpr double kRate = 1000;
  constexpr double kBurst = 100;
  TokenBucket bucket(kRate, kBurst);
  SteadyTime start = EventLoop::Now();
  double consumed = 0;
  for (int ms = 0; ms <= 2000; ++ms) {
    while (bucket.TryTake(10, start + Milliseconds(ms))) consumed += 10;
  }
  CHECK(consumed <= 2 * kRate + kBurst);
  CHECK(consumed >= 2 * kRate - kBurst);
  CHECK(bucket.Wait(50, start + Milliseconds(2000)) <= Milliseconds(50));
}

TEST_CASE("a negative token balance delays later consumers", "[net]") {
  TokenBucket bucket(1000, 100);
  SteadyTime now = EventLoop::Now();
  bucket.Take(600, now);
  CHECK_FALSE(bucket.TryTake(1, now + Milliseconds(400)));
  CHECK(bucket.TryTake(50, now + Milliseconds(600)));
}

}  // namespace primrosecove
