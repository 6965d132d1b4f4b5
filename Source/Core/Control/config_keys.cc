#include "Core/Control/config_keys.h"

namespace primrosecove {

std::string ConfigKeys::HistoryKey(uint64_t revision) const {
  // Zero padding makes the keys sort by revision.
  constexpr size_t kDigits = 12;
  std::string number = std::to_string(revision);
  return HistoryPrefix() +
         std::string(kDigits - std::min(kDigits, number.size()), '0') + number;
}

}  // namespace primrosecove
