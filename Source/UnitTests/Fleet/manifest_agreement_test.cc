// Which of the origin's manifests may be relied on.
#include "Core/Fleet/manifest_agreement.h"

#include <catch2/catch.hpp>

namespace primrosecove {
namespace {

// Guards against one wrong response that decides about weights for good.
TEST_CASE("a manifest counts once two responses state it") {
  const std::vector<Digest> right = {Sha256("a"), Sha256("b")};
  const std::vector<Digest> wrong = {Sha256("a"), Sha256("c")};
  const std::vector<Digest> swapped = {Sha256("b"), Sha256("a")};
  struct Row {
    const char* name;
    std::vector<std::vector<Digest>> responses;
    bool agree;  // The last one with an earlier one.
    bool differ;
  };
  const Row rows[] = {
      {"one", {right}, false, false},
      {"two", {right, right}, true, false},
      {"two that differ", {wrong, right}, false, true},
      {"two that differ in their order", {swapped, right}, false, true},
      {"one between two", {right, wrong, right}, true, true},
      {"one part of the other", {{Sha256("a")}, right}, false, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    ManifestAgreement agreement;
    bool agree = false;
    for (const auto& it : row.responses) agree = agreement.Add(it);
    CHECK(agree == row.agree);
    CHECK(agreement.differs() == row.differ);
  }
}

TEST_CASE("many different manifests take little memory, and the last counts") {
  ManifestAgreement agreement;
  for (int n = 0; n < 1000; ++n)
    CHECK_FALSE(agreement.Add({Sha256(std::to_string(n))}));
  CHECK(agreement.Add({Sha256("999")}));
}

}  // namespace
}  // namespace primrosecove
