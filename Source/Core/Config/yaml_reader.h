// Reads YAML maps with a known set of keys and gathers errors with file and
// line.
#pragma once

#include <yaml-cpp/yaml.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosecove {

/// Errors of one file, each "file:line: what is wrong". Not thread safe.
class YamlErrors {
 public:
  explicit YamlErrors(std::string file) : file_(std::move(file)) {}
  /// Records an error at a node's line; beyond kMaxErrors they are only
  /// counted.
  void Add(const YAML::Node& at, const std::string& message);
  void AddLine(int line, const std::string& message);
  bool empty() const { return lines_.empty(); }
  /// All errors, one a line.
  std::string Join() const;

 private:
  static constexpr size_t kMaxErrors = 20;
  std::string file_;
  std::vector<std::string> lines_;
  size_t left_out_ = 0;
};

/// Reads one map. Every key must be asked for; Finish reports the others with
/// the nearest known name. Not thread safe.
class YamlMapReader {
 public:
  YamlMapReader(const YAML::Node& node, std::string what, YamlErrors* errors);

  /// Reads a value when the key is present; reports a value of the wrong kind.
  void ReadText(std::string_view key, std::string* out);
  void ReadBool(std::string_view key, bool* out);
  void ReadU32(std::string_view key, uint32_t* out, uint32_t min, uint32_t max);
  void ReadU64(std::string_view key, uint64_t* out);
  void ReadDouble(std::string_view key, double* out, double min, double max);
  /// Like Text, and reports a missing key or an empty value.
  void ReadRequiredText(std::string_view key, std::string* out);
  /// Reads one of several words into an index.
  void ReadChoice(std::string_view key,
                  const std::vector<std::string_view>& words, size_t* out);
  /// Calls `item` for each entry of a list; reports any other kind of value.
  void ReadSequence(std::string_view key,
                    const std::function<void(const YAML::Node&)>& item);
  /// Calls `item` for each key and value of a map.
  void ReadMap(
      std::string_view key,
      const std::function<void(const std::string&, const YAML::Node&)>& item);
  /// Calls `section` with the value when the key is present.
  void ReadSection(std::string_view key,
                   const std::function<void(const YAML::Node&)>& section);
  /// Reports an error at this map's line.
  void AddError(const std::string& message);
  /// Reports keys that nobody asked for.
  void ReportUnknownKeys();

 private:
  YAML::Node Take(std::string_view key);
  template <typename T>
  bool Convert(std::string_view key, const YAML::Node& node, const char* kind,
               T* out);

  YAML::Node node_;
  std::string what_;
  YamlErrors* errors_;
  std::vector<std::string> known_;
};

}  // namespace primrosecove
