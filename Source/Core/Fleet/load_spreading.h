// Chooses one of several upstreams so that routers which choose at the same
// moment, from old reports, load the upstreams evenly.
#pragma once

#include <cstddef>
#include <random>
#include <span>

namespace primrosecove {

/// What requests at one upstream cost, in milliseconds of their callers' time.
struct SpreadCandidate {
  double cost_ms = 0;        ///< Of the next request.
  double free_slots = 0;     ///< Requests that it can take without a queue.
  double slot_cost_ms = 0;   ///< Added by each request.
  double queue_cost_ms = 0;  ///< Added by each request that has to wait.

  /// Returns how many requests it can take until the next one costs `level_ms`.
  double RoomUpTo(double level_ms) const;
};

/// Returns the cost that all candidates reach if `requests` are distributed so
/// that each goes where it costs least. Precondition: there are candidates and
/// their slot costs are positive. Thread safe, as are all functions of this
/// file; none allocates.
double WaterLevel(std::span<const SpreadCandidate> candidates, double requests);

/// Returns the index of the candidate with the least cost, the first of equal
/// ones. Precondition: there are candidates.
size_t LeastCost(std::span<const SpreadCandidate> candidates);

/// Returns the less costly one of two random candidates.
size_t LessCostlyOfTwo(std::span<const SpreadCandidate> candidates,
                       std::mt19937_64* random);

/// Draws a candidate in proportion to its free slots; without free slots it
/// returns the one with the least cost.
size_t DrawByFreeSlots(std::span<const SpreadCandidate> candidates,
                       std::mt19937_64* random);

/// Draws a candidate in proportion to its share of the requests that raise all
/// of them to `level_ms`. Returns the one with the least cost if none is below.
size_t DrawByRoom(std::span<const SpreadCandidate> candidates, double level_ms,
                  std::mt19937_64* random);

}  // namespace primrosecove
