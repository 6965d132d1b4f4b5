// Reader for YAML maps with a supported set of keys, which collects errors with
// file and line.
#pragma once

#include <yaml-cpp/yaml.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosecove {

/// Errors of one file, each as "file:line: message". Not thread safe.
class YamlErrors {
 public:
  explicit YamlErrors(std::string file) : file_(std::move(file)) {}
  /// Records an error at the line of a node. Errors beyond kMaxErrors are only
  /// counted.
  void Add(const YAML::Node& at, const std::string& message);
  /// Records an error at a line; lines count from 1.
  void AddLine(int line, const std::string& message);
  bool empty() const { return lines_.empty(); }
  /// Returns the errors, one per line.
  std::string Join() const;

 private:
  static constexpr size_t kMaxErrors = 20;
  std::string file_;
  std::vector<std::string> lines_;
  size_t omitted_ = 0;
};

/// Reads one map. The caller reads each supported key and then calls
/// ReportUnknownKeys, which reports the others with the most similar supported
/// name. Not thread safe.
class YamlMapReader {
 public:
  /// `context` names the map in messages; `errors` must outlive the reader.
  YamlMapReader(const YAML::Node& node, std::string context,
                YamlErrors* errors);

  /// Stores the value if the key is present; reports a value of the wrong type
  /// or out of range.
  void ReadText(std::string_view key, std::string* out);
  void ReadBool(std::string_view key, bool* out);
  void ReadU32(std::string_view key, uint32_t* out, uint32_t min, uint32_t max);
  void ReadU64(std::string_view key, uint64_t* out);
  void ReadDouble(std::string_view key, double* out, double min, double max);
  /// Like ReadText, and reports a missing key or an empty value.
  void ReadRequiredText(std::string_view key, std::string* out);
  /// Stores the index of the value in `words`; reports any other value.
  void ReadChoice(std::string_view key,
                  const std::vector<std::string_view>& words, size_t* out);
  /// Calls `item` for each entry of a list; reports any other type of value.
  void ReadSequence(std::string_view key,
                    const std::function<void(const YAML::Node&)>& item);
  /// Calls `item` for each key and value of a map; reports any other type of
  /// value.
  void ReadMap(
      std::string_view key,
      const std::function<void(const std::string&, const YAML::Node&)>& item);
  /// Calls `section` with the value if the key is present.
  void ReadSection(std::string_view key,
                   const std::function<void(const YAML::Node&)>& section);
  /// Reports an error at the line of this map.
  void AddError(const std::string& message);
  /// Reports duplicate keys and keys that were not read.
  void ReportUnknownKeys();

 private:
  // Records `key` as supported and returns its value, or an undefined node.
  YAML::Node FindValue(std::string_view key);
  template <typename T>
  bool Convert(std::string_view key, const YAML::Node& node, const char* kind,
               T* out);

  YAML::Node node_;
  std::string context_;
  YamlErrors* errors_;
  std::vector<std::string> supported_keys_;
};

}  // namespace primrosecove
