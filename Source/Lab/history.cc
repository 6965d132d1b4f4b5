#include "Lab/history.h"

#include <algorithm>
#include <map>

#include "Core/Common/text.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

// Returns why an engine's answer is wrong, or nothing. Tokens read
// "tN:FINGERPRINT:ECHO".
std::string FaultOfChat(const Json& record,
                        const std::set<std::string>& fingerprints) {
  std::string fingerprint;
  uint64_t next = 0;
  for (const std::string& token : Split(record.value("answer", ""), ' ')) {
    auto parts = Split(token, ':');
    if (parts.size() != 3) return "malformed token '" + token + "'";
    if (parts[0] != "t" + std::to_string(next))
      return "token " + std::to_string(next) + " is missing or repeated";
    if (parts[2] != record.value("expected", ""))
      return "the answer belongs to another request";
    if (!fingerprint.empty() && parts[1] != fingerprint)
      return "the answer mixes weights";
    fingerprint = parts[1];
    ++next;
  }
  if (next != record.value("tokens", uint64_t{0}))
    return "the answer is not whole";
  if (!fingerprints.empty() && !fingerprints.contains(fingerprint)) {
    return "the weights " + fingerprint + " are partial or not accepted";
  }
  return {};
}

std::string FaultOfAnswer(const Json& record,
                          const std::set<std::string>& fingerprints) {
  constexpr int kOk = 200;
  if (record.value("status", 0) != kOk) return {};
  if (record.value("kind", "") == "chat")
    return FaultOfChat(record, fingerprints);
  if (record.value("answer", "") != record.value("expected", "")) {
    return "the answer belongs to another request";
  }
  return {};
}

// Runs by request, from what the upstreams recorded: the numbers of the sends
// that ran.
std::map<std::string, std::vector<uint64_t>> RunsByRequest(
    const std::vector<Json>& upstreams) {
  std::map<std::string, std::vector<uint64_t>> out;
  for (const Json& it : upstreams) {
    if (it.value("kind", "") != "run") continue;
    std::string id = it.value("id", "");
    size_t dot = id.rfind('.');
    if (dot == std::string::npos) continue;
    out[id.substr(0, dot)].push_back(ParseU64(id.substr(dot + 1)).value_or(0));
  }
  return out;
}

}  // namespace

Verdict CheckHistory(const History& history) {
  Verdict out;
  auto runs = RunsByRequest(history.upstreams);
  std::set<std::string> requests;
  std::set<std::string> once;
  auto breaks = [&](uint64_t* count, const std::string& id,
                    const std::string& why) {
    ++*count;
    out.broken.push_back("request " + id + ": " + why);
  };
  for (const Json& it : history.callers) {
    std::string id = it.value("id", "");
    std::string outcome = it.value("outcome", "");
    uint64_t send = it.value("send", uint64_t{0});
    requests.insert(id);
    if (it.value("kind", "") == "once") once.insert(id);
    const auto& ran = runs[id];
    if (outcome == kOutcomeResponded && it.value("whole", false)) {
      ++out.answered;
      std::string fault = FaultOfAnswer(it, history.fingerprints);
      if (!fault.empty()) breaks(&out.wrong, id, fault);
    } else if (outcome == kOutcomeNotExecuted) {
      ++out.not_run;
      // A request with a key is one request, however often it is sent.
      bool keyed = !it.value("key", "").empty();
      bool has_run = std::any_of(ran.begin(), ran.end(), [&](uint64_t n) {
        return keyed ? n <= send : n == send;
      });
      if (has_run)
        breaks(&out.ran_after_not_run, id, "was told not run and has run");
    } else if (outcome == kOutcomeUnknown) {
      ++out.unknown;
    } else if (outcome == "refused") {
      ++out.refused;
    } else {
      ++out.lost;
    }
  }
  for (const std::string& id : once) {
    if (runs[id].size() > 1) {
      breaks(&out.doubled, id,
             "must run once and ran " + std::to_string(runs[id].size()) +
                 " times");
    }
  }
  out.requests = requests.size();
  return out;
}

}  // namespace primrosecove
