#include "Core/Config/yaml_reader.h"

#include <algorithm>

#include "Core/Common/text.h"

namespace primrosecove {

void YamlErrors::Add(const YAML::Node& at, const std::string& message) {
  AddLine(at.Mark().line + 1, message);
}

void YamlErrors::AddLine(int line, const std::string& message) {
  if (lines_.size() >= kMaxErrors) {
    ++omitted_;
    return;
  }
  lines_.push_back(file_ + ":" + std::to_string(std::max(line, 1)) + ": " +
                   message);
}

std::string YamlErrors::Join() const {
  std::string out;
  for (const std::string& it : lines_) {
    if (!out.empty()) out += "\n";
    out += it;
  }
  if (omitted_ > 0)
    out += "\n" + file_ + ": " + std::to_string(omitted_) + " more error(s)";
  return out;
}

YamlMapReader::YamlMapReader(const YAML::Node& node, std::string context,
                             YamlErrors* errors)
    : node_(node), context_(std::move(context)), errors_(errors) {
  if (node_.IsMap()) return;
  errors_->Add(node_, context_ + " must be a map of keys to values");
  node_ = YAML::Node(YAML::NodeType::Map);
}

YAML::Node YamlMapReader::FindValue(std::string_view key) {
  supported_keys_.emplace_back(key);
  for (const auto& it : node_) {
    if (it.first.IsScalar() && it.first.Scalar() == key) return it.second;
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

template <typename T>
bool YamlMapReader::Convert(std::string_view key, const YAML::Node& node,
                            const char* kind, T* out) {
  if (!node.IsDefined()) return false;
  if (node.IsScalar() && YAML::convert<T>::decode(node, *out)) return true;
  errors_->Add(node, context_ + ": '" + std::string(key) + "' must be " + kind);
  return false;
}

void YamlMapReader::ReadText(std::string_view key, std::string* out) {
  Convert(key, FindValue(key), "a string", out);
}

void YamlMapReader::ReadBool(std::string_view key, bool* out) {
  Convert(key, FindValue(key), "true or false", out);
}

void YamlMapReader::ReadU32(std::string_view key, uint32_t* out, uint32_t min,
                            uint32_t max) {
  YAML::Node node = FindValue(key);
  int64_t value = 0;
  if (!Convert(key, node, "an integer", &value)) return;
  if (value >= min && value <= max) {
    *out = static_cast<uint32_t>(value);
    return;
  }
  errors_->Add(node, context_ + ": '" + std::string(key) + "' must be from " +
                         std::to_string(min) + " to " + std::to_string(max));
}

void YamlMapReader::ReadU64(std::string_view key, uint64_t* out) {
  YAML::Node node = FindValue(key);
  int64_t value = 0;
  if (!Convert(key, node, "an integer", &value)) return;
  if (value >= 0) {
    *out = static_cast<uint64_t>(value);
    return;
  }
  errors_->Add(node,
               context_ + ": '" + std::string(key) + "' must not be negative");
}

void YamlMapReader::ReadDouble(std::string_view key, double* out, double min,
                               double max) {
  YAML::Node node = FindValue(key);
  double value = 0;
  if (!Convert(key, node, "a number", &value)) return;
  if (value >= min && value <= max) {
    *out = value;
    return;
  }
  errors_->Add(node, context_ + ": '" + std::string(key) + "' must be from " +
                         std::to_string(min) + " to " + std::to_string(max));
}

void YamlMapReader::ReadRequiredText(std::string_view key, std::string* out) {
  YAML::Node node = FindValue(key);
  if (!node.IsDefined()) {
    errors_->Add(node_, context_ + ": '" + std::string(key) + "' is missing");
    return;
  }
  if (Convert(key, node, "a string", out) && out->empty()) {
    errors_->Add(node, context_ + ": '" + std::string(key) + "' is empty");
  }
}

void YamlMapReader::ReadChoice(std::string_view key,
                               const std::vector<std::string_view>& words,
                               size_t* out) {
  YAML::Node node = FindValue(key);
  std::string value;
  if (!Convert(key, node, "a string", &value)) return;
  auto it = std::find(words.begin(), words.end(), value);
  if (it != words.end()) {
    *out = static_cast<size_t>(it - words.begin());
    return;
  }
  std::string allowed;
  for (std::string_view word : words)
    allowed += (allowed.empty() ? "" : ", ") + std::string(word);
  errors_->Add(node, context_ + ": '" + std::string(key) + "' is '" + value +
                         "'; allowed: " + allowed);
}

void YamlMapReader::ReadSequence(
    std::string_view key, const std::function<void(const YAML::Node&)>& item) {
  YAML::Node node = FindValue(key);
  if (!node.IsDefined() || node.IsNull()) return;
  if (!node.IsSequence()) {
    errors_->Add(node,
                 context_ + ": '" + std::string(key) + "' must be a list");
    return;
  }
  for (const auto& it : node) item(it);
}

void YamlMapReader::ReadMap(
    std::string_view key,
    const std::function<void(const std::string&, const YAML::Node&)>& item) {
  YAML::Node node = FindValue(key);
  if (!node.IsDefined() || node.IsNull()) return;
  if (!node.IsMap()) {
    errors_->Add(node, context_ + ": '" + std::string(key) + "' must be a map");
    return;
  }
  for (const auto& it : node) {
    if (it.first.IsScalar()) {
      item(it.first.Scalar(), it.second);
    } else {
      errors_->Add(node, context_ + ": the keys of '" + std::string(key) +
                             "' must be strings");
    }
  }
}

void YamlMapReader::ReadSection(
    std::string_view key,
    const std::function<void(const YAML::Node&)>& section) {
  YAML::Node node = FindValue(key);
  if (node.IsDefined()) section(node);
}

void YamlMapReader::AddError(const std::string& message) {
  errors_->Add(node_, context_ + ": " + message);
}

void YamlMapReader::ReportUnknownKeys() {
  std::vector<std::string_view> supported(supported_keys_.begin(),
                                          supported_keys_.end());
  std::vector<std::string> seen;
  for (const auto& it : node_) {
    if (!it.first.IsScalar()) {
      errors_->Add(it.first, context_ + ": a key must be a string");
      continue;
    }
    const std::string& key = it.first.Scalar();
    if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
      errors_->Add(it.first, context_ + ": '" + key + "' is given twice");
    }
    seen.push_back(key);
    if (std::find(supported.begin(), supported.end(), key) != supported.end())
      continue;
    auto nearest = NearestName(key, supported);
    std::string hint = nearest ? "; did you mean '" + *nearest + "'?" : "";
    errors_->Add(it.first, context_ + ": unknown key '" + key + "'" + hint);
  }
}

}  // namespace primrosecove
