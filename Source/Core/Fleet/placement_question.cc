#include "Core/Fleet/placement_question.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>
#include <memory>
#include <optional>

#include "Core/Common/text.h"

namespace primrosecove {
namespace {

// Numbers of requests have 32 bits, see DecodeCallerFields().
constexpr uint64_t kMaxNumber = std::numeric_limits<uint32_t>::max();

using LibeventString = std::unique_ptr<char, decltype(&std::free)>;

std::string EncodeText(const std::string& text) {
  LibeventString encoded(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
      &std::free);
  return encoded == nullptr ? std::string() : std::string(encoded.get());
}

std::string DecodeText(const std::string& text) {
  size_t size = 0;
  LibeventString decoded(evhttp_uridecode(text.c_str(), 0, &size), &std::free);
  return decoded == nullptr ? std::string() : std::string(decoded.get(), size);
}

// Control characters could forge lines of the response.
bool IsPrintable(const std::string& text) {
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte >= 0x7f) return false;
  }
  return true;
}

std::string ParameterName(const std::string& parameter) {
  return parameter.substr(0, parameter.find('='));
}

Result<std::map<std::string, std::string>> DecodeParameters(
    std::string_view query) {
  std::map<std::string, std::string> out;
  for (const std::string& it : Split(query, '&')) {
    std::string name = ParameterName(it);
    std::string value =
        it.size() > name.size() ? DecodeText(it.substr(name.size() + 1)) : "";
    if (!IsPrintable(name))
      return Fail(ErrorCode::kInvalidArgument, "malformed parameter name");
    if (value.empty() || !IsPrintable(value)) {
      return Fail(ErrorCode::kInvalidArgument,
                  "parameter '" + name + "' is empty or malformed");
    }
    if (!out.emplace(name, value).second)
      return Fail(ErrorCode::kInvalidArgument,
                  "parameter '" + name + "' is repeated");
  }
  return out;
}

// Removes a parameter and returns its value, or nothing if it is absent.
std::optional<std::string> Take(std::map<std::string, std::string>* parameters,
                                const char* name) {
  auto node = parameters->extract(name);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

Result<std::optional<int64_t>> TakeNumber(
    std::map<std::string, std::string>* parameters, const char* name) {
  auto text = Take(parameters, name);
  if (!text) return std::optional<int64_t>();
  auto number = ParseU64(*text);
  if (!number || *number > kMaxNumber) {
    return Fail(ErrorCode::kInvalidArgument,
                "parameter '" + std::string(name) +
                    "' is not an integer from 0 to " +
                    std::to_string(kMaxNumber));
  }
  return std::optional<int64_t>(static_cast<int64_t>(*number));
}

}  // namespace

HttpRequest EncodeQuestion(const PlacementQuestion& question) {
  const CallerFields& fields = question.fields;
  HttpRequest out;
  out.target = std::string(PlacementQuestion::kPath) +
               "?host=" + EncodeText(question.host) +
               "&path=" + EncodeText(question.target);
  auto add = [&out](const char* name, const std::string& value) {
    if (!value.empty())
      out.target += "&" + std::string(name) + "=" + EncodeText(value);
  };
  add("request_id", fields.request_id);
  add("model", fields.model);
  if (fields.deadline)
    add("deadline_ms", std::to_string(fields.deadline->count()));
  add("prompt_tokens", std::to_string(fields.prompt_tokens));
  add("output_tokens", std::to_string(fields.max_output_tokens));
  if (fields.key) out.headers.Add("Authorization", "Bearer " + *fields.key);
  return out;
}

Result<PlacementQuestion> DecodeQuestion(const HttpRequest& request) {
  std::string_view query = request.target;
  query.remove_prefix(std::min(request.Path().size() + 1, query.size()));
  BOOST_OUTCOME_TRY(parameters, DecodeParameters(query));
  PlacementQuestion out;
  out.host = Take(&parameters, "host").value_or("");
  out.target = Take(&parameters, "path").value_or("");
  if (out.host.empty())
    return Fail(ErrorCode::kInvalidArgument, "parameter 'host' is missing");
  if (!out.target.starts_with('/')) {
    return Fail(ErrorCode::kInvalidArgument,
                "parameter 'path' is missing or does not begin with '/'");
  }
  out.fields.request_id = Take(&parameters, "request_id").value_or("");
  out.fields.model = Take(&parameters, "model").value_or("");
  BOOST_OUTCOME_TRY(deadline, TakeNumber(&parameters, "deadline_ms"));
  if (deadline) out.fields.deadline = Milliseconds(*deadline);
  BOOST_OUTCOME_TRY(prompt, TakeNumber(&parameters, "prompt_tokens"));
  out.fields.prompt_tokens = prompt.value_or(0);
  BOOST_OUTCOME_TRY(output, TakeNumber(&parameters, "output_tokens"));
  out.fields.max_output_tokens = output.value_or(0);
  if (!parameters.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "unknown parameter '" + parameters.begin()->first + "'");
  }
  return out;
}

}  // namespace primrosecove
