// A position in the history of the store that holds the deployment.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace primrosecove {

/// A store that is restored from a copy assigns revisions again that it had
/// already assigned, so a revision identifies a state only together with its
/// era. Positions are ordered by era first. Thread safe as a value.
struct StorePosition {
  /// Rises each time the store is restored. Empty if the store states none;
  /// this orders before any era.
  std::optional<uint64_t> era;
  uint64_t revision = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

}  // namespace primrosecove
