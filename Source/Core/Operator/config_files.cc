#include "Core/Operator/config_files.h"

#include <filesystem>

#include "Core/Common/text.h"

namespace primrosecove {

Result<Bundle> ReadBundleFiles(const std::string& folder) {
  namespace fs = std::filesystem;
  Bundle out;
  BOOST_OUTCOME_TRY(base, ReadFile((fs::path(folder) / "base.yaml").string()));
  out.base = base;
  std::error_code ec;
  for (const auto& it :
       fs::directory_iterator(fs::path(folder) / "overlays", ec)) {
    if (it.path().extension() != ".yaml") continue;
    BOOST_OUTCOME_TRY(text, ReadFile(it.path().string()));
    out.overlays[it.path().stem().string()] = text;
  }
  return out;
}

}  // namespace primrosecove
