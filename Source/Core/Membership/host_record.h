// What one process of the system says about itself and others say about it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Net/endpoint.h"

namespace primrosecove {

enum class Role : uint8_t { kRouter = 0, kAgent = 1 };

/// Whether a process answers, as its peers found.
enum class Liveness : uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// Weights that an upstream serves or is about to serve.
struct ServedWeights {
  std::string model;
  std::string version;
  uint64_t manifest = 0;  ///< First 8 bytes of the manifest's digest.
  std::vector<std::string> adapters;

  bool operator==(const ServedWeights&) const = default;
};

/// One process's record. Content is written by its owner alone, which raises
/// `counter` with each change; liveness and `leaving` may be set by others.
struct HostRecord {
  std::string name;  ///< The upstream's name, or the router's.
  Role role = Role::kRouter;
  uint64_t incarnation =
      0;  ///< Start time in Unix ms; a replaced process has a larger one.
  uint64_t counter = 0;
  Liveness liveness = Liveness::kAlive;
  bool leaving = false;
  std::string place;
  Endpoint http;
  Endpoint peer;
  uint64_t config_revision = 0;  ///< The revision in force on this process.
  ServedWeights serving;  ///< Empty model: takes no requests for a model.
  uint64_t failed_manifest =
      0;  ///< A manifest that this upstream could not load, or 0.
  uint8_t transfer_percent = 0;  ///< Progress of the transfer under way.

  bool operator==(const HostRecord&) const = default;
  /// Whether the process may be given new work.
  bool AcceptsWork() const { return liveness != Liveness::kDead && !leaving; }
};

/// Joins what two sources say of the same process. Commutative, associative and
/// idempotent, so that records may arrive late, twice and in any order: a
/// larger incarnation wins; within one, content goes by counter, a suspicion
/// stands until a larger counter refutes it, and death and leaving stay.
/// Precondition: equal names. Thread safe.
HostRecord MergeRecords(const HostRecord& a, const HostRecord& b);

}  // namespace primrosecove
