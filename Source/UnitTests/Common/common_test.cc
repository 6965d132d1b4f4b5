#include <array>
#include <catch2/catch.hpp>

#include "Core/Common/base64.h"
#include "Core/Common/digest.h"
#include "Core/Common/text.h"

namespace primrosecove {

TEST_CASE("SHA-256 and HMAC-SHA-256 match published test vectors", "[common]") {
  CHECK(Sha256("abc").ToHex() ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  // RFC 4231, test case 2.
  CHECK(HmacSha256("Jefe", "what do ya want for nothing?").ToHex() ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("FromHex accepts 64 hexadecimal digits and rejects other texts",
          "[common]") {
  struct Row {
    std::string text;
    bool ok;
  };
  auto row = GENERATE(values<Row>({{std::string(64, 'a'), true},
                                   {std::string(63, 'a'), false},
                                   {std::string(65, 'a'), false},
                                   {std::string(63, 'a') + "g", false},
                                   {"", false}}));
  auto digest = Digest::FromHex(row.text);
  CHECK(digest.has_value() == row.ok);
  if (digest) CHECK(digest.value().ToHex() == row.text);
}

TEST_CASE("base64 round-trips and rejects malformed text", "[common]") {
  size_t n = GENERATE(range(0, 9));
  std::string raw(n, '\xfe');
  CHECK(FromBase64(ToBase64(raw)) == raw);
  CHECK_FALSE(FromBase64("a").has_value());
}

TEST_CASE("NearestName suggests a name only for a likely misspelling",
          "[common]") {
  const std::array<std::string_view, 3> names = {"replicas", "version", "name"};
  struct Row {
    std::string word;
    std::optional<std::string> nearest;
  };
  auto row = GENERATE(values<Row>({{"replica", "replicas"},
                                   {"verison", "version"},
                                   {"nmae", "name"},
                                   {"xyzzyplugh", std::nullopt}}));
  CHECK(NearestName(row.word, names) == row.nearest);
}

TEST_CASE(
    "rendezvous hashing balances load and moves items only to an added host",
    "[common]") {
  constexpr int kItems = 2000;
  constexpr int kCandidates = 10;
  auto best_candidate = [](const std::string& item, int candidates) {
    int out = 0;
    for (int i = 1; i < candidates; ++i) {
      if (RendezvousScore(item, "host-" + std::to_string(i)) >
          RendezvousScore(item, "host-" + std::to_string(out))) {
        out = i;
      }
    }
    return out;
  };
  int moved_between_old_candidates = 0;
  std::array<int, kCandidates> load{};
  for (int i = 0; i < kItems; ++i) {
    std::string item = "item-" + std::to_string(i);
    int before = best_candidate(item, kCandidates);
    ++load[static_cast<size_t>(before)];
    int after = best_candidate(item, kCandidates + 1);
    if (after != before && after != kCandidates) ++moved_between_old_candidates;
  }
  CHECK(moved_between_old_candidates == 0);
  for (int it : load) {
    CHECK(it > kItems / kCandidates / 2);
    CHECK(it < kItems / kCandidates * 2);
  }
}

}  // namespace primrosecove
