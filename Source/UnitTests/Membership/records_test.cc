#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>

#include "Core/Membership/gossip_message.h"
#include "Core/Membership/host_view.h"

namespace primrosecove {
namespace {

// Makes a record as it may be in transit. The content is a function of
// incarnation and counter, because only the owner writes it.
HostRecord MakeRecord(uint64_t incarnation, uint64_t counter, Liveness liveness,
                      bool leaving) {
  HostRecord out;
  out.name = "host";
  out.incarnation = incarnation;
  out.counter = counter;
  out.liveness = liveness;
  out.leaving = leaving;
  out.http = {"127.0.0.1", static_cast<uint16_t>(1000 + counter)};
  out.peer = {"127.0.0.1", static_cast<uint16_t>(2000 + incarnation)};
  return out;
}

rc::Gen<HostRecord> AnyRecord() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<uint64_t>(1, 4),
                     rc::gen::inRange<uint64_t>(0, 4),
                     rc::gen::element(Liveness::kAlive, Liveness::kSuspect,
                                      Liveness::kDead),
                     rc::gen::arbitrary<bool>()),
      [](const std::tuple<uint64_t, uint64_t, Liveness, bool>& it) {
        return MakeRecord(std::get<0>(it), std::get<1>(it), std::get<2>(it),
                          std::get<3>(it));
      });
}

}  // namespace

TEST_CASE("records merge in any order, also late and duplicated ones",
          "[membership][property]") {
  CHECK(rc::check("commutative", [] {
    HostRecord a = *AnyRecord();
    HostRecord b = *AnyRecord();
    RC_ASSERT(MergeRecords(a, b) == MergeRecords(b, a));
  }));
  CHECK(rc::check("associative", [] {
    HostRecord a = *AnyRecord();
    HostRecord b = *AnyRecord();
    HostRecord c = *AnyRecord();
    RC_ASSERT(MergeRecords(MergeRecords(a, b), c) ==
              MergeRecords(a, MergeRecords(b, c)));
  }));
  CHECK(rc::check("idempotent", [] {
    HostRecord a = *AnyRecord();
    HostRecord b = *AnyRecord();
    HostRecord merged = MergeRecords(a, b);
    RC_ASSERT(MergeRecords(merged, a) == merged);
    RC_ASSERT(MergeRecords(merged, b) == merged);
  }));
}

TEST_CASE("merging two records follows the rules", "[membership]") {
  constexpr auto kAlive = Liveness::kAlive;
  constexpr auto kSuspect = Liveness::kSuspect;
  constexpr auto kDead = Liveness::kDead;
  struct Row {
    const char* rule;
    HostRecord a;
    HostRecord b;
    Liveness liveness;
    bool leaving;
  };
  auto row = GENERATE(values<Row>({
      {"suspect overrides alive at the same counter",
       MakeRecord(1, 1, kAlive, false), MakeRecord(1, 1, kSuspect, false),
       kSuspect, false},
      {"a larger counter refutes a suspicion", MakeRecord(1, 2, kAlive, false),
       MakeRecord(1, 1, kSuspect, false), kAlive, false},
      {"dead is permanent within an incarnation",
       MakeRecord(1, 9, kAlive, false), MakeRecord(1, 1, kDead, false), kDead,
       false},
      {"a larger incarnation replaces a dead and leaving record",
       MakeRecord(2, 0, kAlive, false), MakeRecord(1, 9, kDead, true), kAlive,
       false},
      {"leaving is kept when the other record is not leaving",
       MakeRecord(1, 5, kAlive, false), MakeRecord(1, 1, kAlive, true), kAlive,
       true},
  }));
  CAPTURE(row.rule);
  HostRecord merged = MergeRecords(row.a, row.b);
  CHECK(merged.liveness == row.liveness);
  CHECK(merged.leaving == row.leaving);
}

TEST_CASE("views are equal exactly when their bucket hashes are",
          "[membership]") {
  HostView a;
  HostView b;
  for (int i = 0; i < 50; ++i) {
    HostRecord record = MakeRecord(1, 1, Liveness::kAlive, false);
    record.name = "host-" + std::to_string(i);
    a.Merge(record);
    b.Merge(record);
  }
  CHECK(a.Hashes() == b.Hashes());
  HostRecord changed = *a.Find("host-7");
  ++changed.counter;
  a.Merge(changed);
  CHECK(a.Hashes() != b.Hashes());
  CHECK_FALSE(b.Merge(*b.Find("host-7")));
  b.Merge(changed);
  CHECK(a.Hashes() == b.Hashes());
}

TEST_CASE("a decoded datagram equals the encoded one", "[membership]") {
  GossipMessage message;
  message.type = GossipType::kPing;
  message.sequence = 77;
  message.sender = "a";
  message.target = "b";
  message.head = {3, Sha256("bundle")};
  HostRecord record = MakeRecord(5, 6, Liveness::kSuspect, true);
  record.serving = {"chat", "v1", 42, {"x", "y"}};
  record.failed_manifest = 9;
  record.transfer_percent = 50;
  message.records = {record};
  message.hashes = {1, 2, 3};
  message.observations = {{4, 5, true, 6, 7, false}, {4, 0, false, 9, 0, true}};
  auto decoded = DecodeGossip(EncodeGossip(message));
  REQUIRE(decoded);
  CHECK(decoded->records == message.records);
  CHECK(decoded->head == message.head);
  CHECK(decoded->hashes == message.hashes);
  CHECK(decoded->observations == message.observations);
  CHECK(decoded->sender == "a");
  CHECK(decoded->target == "b");
}

TEST_CASE("10000 mutated datagrams are decoded or rejected without a crash",
          "[membership][malformed]") {
  GossipMessage message;
  message.sender = "a";
  message.records = {MakeRecord(1, 1, Liveness::kAlive, false)};
  const std::string valid = EncodeGossip(message);
  std::mt19937_64 random(20261203);
  for (int i = 0; i < 10000; ++i) {
    std::string bytes = valid;
    for (uint64_t n = random() % 4 + 1; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    (void)DecodeGossip(bytes);
  }
  CHECK_FALSE(DecodeGossip(""));
  // An array that declares more items than any datagram can hold.
  CHECK_FALSE(DecodeGossip(std::string("\xdd\xff\xff\xff\xff", 5)));
}

}  // namespace primrosecove
