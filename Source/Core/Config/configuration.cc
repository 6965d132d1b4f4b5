#include "Core/Config/configuration.h"

#include <cstdlib>

namespace primrosecove {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  for (const T& it : items) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

}  // namespace

const ModelVersion& Model::CurrentVersion() const {
  const ModelVersion* found = FindByName(versions, version);
  if (found == nullptr) std::abort();
  return *found;
}

const Place* Configuration::FindPlace(std::string_view name) const {
  return FindByName(places, name);
}

const Service* Configuration::FindService(std::string_view name) const {
  return FindByName(services, name);
}

const Upstream* Configuration::FindUpstream(std::string_view name) const {
  return FindByName(upstreams, name);
}

const Model* Configuration::FindModel(std::string_view name) const {
  return FindByName(models, name);
}

const Workspace* Configuration::FindWorkspace(std::string_view name) const {
  return FindByName(workspaces, name);
}

const Service* Configuration::FindServiceByPath(std::string_view path) const {
  const Service* best = nullptr;
  for (const Service& it : services) {
    if (it.kind != ServiceKind::kPlain || !path.starts_with(it.path_prefix))
      continue;
    if (best == nullptr || it.path_prefix.size() > best->path_prefix.size())
      best = &it;
  }
  return best;
}

std::vector<const Upstream*> Configuration::UpstreamsOf(
    std::string_view service) const {
  std::vector<const Upstream*> out;
  for (const Upstream& it : upstreams) {
    if (it.service == service) out.push_back(&it);
  }
  return out;
}

bool IsNonIdempotent(const Service& service, std::string_view method,
                     std::string_view path) {
  for (const NonIdempotentRule& it : service.non_idempotent) {
    if (it.method == method && path.starts_with(it.path_prefix)) return true;
  }
  return false;
}

}  // namespace primrosecove
