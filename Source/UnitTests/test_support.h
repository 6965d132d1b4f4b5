// Helpers shared by unit tests.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/key_ring.h"

namespace primrosecove {

/// Returns a loopback address; a distinct `group` per test lets tests run in
/// parallel.
inline Endpoint TestEndpoint(int group, int n) {
  return {"127.77." + std::to_string(group) + "." + std::to_string(n), 18080};
}

/// Runs the loop until `done` returns true; ctest's timeout ends a test that
/// hangs.
inline void RunUntil(EventLoop* loop, const std::function<bool()>& done) {
  while (!done()) loop->RunOnce(Milliseconds(20));
}

/// Returns a key ring with one key, which depends only on `letter`.
inline KeyRing TestKeys(char letter = 'k') {
  return KeyRing::Create({std::string(KeyRing::kMinKeyBytes, letter)}).value();
}

}  // namespace primrosecove
