// Assigns models to upstreams as a pure function of configuration and
// membership view.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Config/configuration.h"
#include "Core/Membership/host_view.h"

namespace primrosecove {

/// Upstreams of one model in the order in which they reload.
struct ModelPlacement {
  const Model* model = nullptr;  ///< Points into the configuration.
  std::vector<std::string> upstreams;
};

/// Assigns each model of every engine service to its required number of
/// upstreams, one model per upstream, spread over failure domains. Upstreams
/// that the view considers dead or leaving are skipped; those that it does not
/// contain yet are not. Equal inputs give equal results in every process.
/// Removing a host moves only its own models, apart from shifts that keep the
/// domains balanced. Thread safe.
std::vector<ModelPlacement> PlaceModels(const Configuration& config,
                                        const HostView& view);

/// Returns the model assigned to an upstream, or null. Thread safe.
const Model* FindAssignedModel(const std::vector<ModelPlacement>& placement,
                               std::string_view upstream);

}  // namespace primrosecove
