// The membership record of a process: the content that it publishes and the
// state that its peers observe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Net/endpoint.h"

namespace primrosecove {

enum class Role : uint8_t { kRouter = 0, kAgent = 1 };

/// Whether a process responds to probes, as its peers observed.
enum class Liveness : uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// Weights that an upstream serves or is about to serve.
struct ServedWeights {
  std::string model;
  std::string version;
  uint64_t manifest = 0;  ///< First 8 bytes of the manifest's digest.
  std::vector<std::string> adapters;

  bool operator==(const ServedWeights&) const = default;
};

/// The record of one process. Only its owner writes the content and increments
/// `counter` with each change; other processes may set `liveness` and
/// `leaving`.
struct HostRecord {
  std::string name;  ///< The upstream's name, or the router's.
  Role role = Role::kRouter;
  uint64_t incarnation =
      0;  ///< Start time in Unix ms; a replacement process has a larger one.
  uint64_t counter = 0;
  Liveness liveness = Liveness::kAlive;
  bool leaving = false;
  std::string place;
  Endpoint http;
  Endpoint peer;
  uint64_t config_revision =
      0;                  ///< Configuration revision in force on this process.
  ServedWeights serving;  ///< An empty model means that the process accepts no
                          ///< requests for a model.
  uint64_t failed_manifest =
      0;  ///< Manifest that this upstream failed to load, or 0.
  uint8_t transfer_percent = 0;  ///< Progress of the current transfer.

  bool operator==(const HostRecord&) const = default;
  /// Whether the process may receive new work.
  bool AcceptsWork() const { return liveness != Liveness::kDead && !leaving; }
};

/// Merges two records of the same process. The merge is commutative,
/// associative and idempotent, so records may arrive late, duplicated and in
/// any order. The larger incarnation wins. Within an incarnation the content
/// with the larger counter wins, a suspicion holds until a larger counter
/// refutes it, and the dead and leaving states are permanent. Precondition:
/// equal names. Thread safe.
HostRecord MergeRecords(const HostRecord& a, const HostRecord& b);

}  // namespace primrosecove
