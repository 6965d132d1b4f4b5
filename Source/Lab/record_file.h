// Files of records, one JSON object per line.
#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Core/Common/error.h"

namespace primrosecove {

/// Appends JSON objects, one per line, and flushes each so that a killed
/// process loses no record. Not thread safe.
class RecordFile {
 public:
  /// With an empty path, records are discarded.
  explicit RecordFile(const std::string& path);
  void Write(const nlohmann::json& object);

 private:
  std::ofstream out_;
};

/// Reads all records of a file. Lines that don't parse, such as an incomplete
/// last line, are skipped. Fails if the file can't be read.
Result<std::vector<nlohmann::json>> ReadRecords(const std::string& path);

}  // namespace primrosecove
