#include "Lab/record_file.h"

#include "Core/Common/text.h"

namespace primrosecove {

RecordFile::RecordFile(const std::string& path) {
  if (!path.empty()) out_.open(path, std::ios::app);
}

void RecordFile::Write(const nlohmann::json& object) {
  if (out_.is_open()) out_ << object.dump() << std::endl;
}

Result<std::vector<nlohmann::json>> ReadRecords(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadFile(path));
  std::vector<nlohmann::json> out;
  for (const std::string& line : Split(text, '\n')) {
    auto json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_object()) out.push_back(std::move(json));
  }
  return out;
}

}  // namespace primrosecove
