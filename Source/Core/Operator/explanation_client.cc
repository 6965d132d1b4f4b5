#include "Core/Operator/explanation_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Core/Common/text.h"
#include "Core/Net/event_loop.h"
#include "Core/Net/http1_client.h"

namespace primrosecove {
namespace {

constexpr Milliseconds kTimeout{5000};
constexpr int kStatusOk = 200;

}  // namespace

Result<std::string> FetchExplanation(const Endpoint& router,
                                     const PlacementQuestion& question) {
  EventLoop loop;
  Http1Client client(&loop);
  std::optional<CallResult> result;
  CallEvents events;
  events.on_end = [&](CallResult it) {
    result = std::move(it);
    loop.Stop();
  };
  HttpRequest request = EncodeQuestion(question);
  request.headers.Add("Host", router.ToString());
  auto call = client.Send(router, request, {.timeout = kTimeout}, events);
  loop.Run();
  if (result->end != CallEnd::kComplete) {
    return Fail(ErrorCode::kUnavailable,
                router.ToString() + ": no response from the router");
  }
  if (result->head->status == kStatusOk) return result->body;
  std::string message = result->body.substr(0, result->body.find('\n'));
  return Fail(ErrorCode::kInvalidArgument,
              router.ToString() + ": " + std::to_string(result->head->status) +
                  " " + message);
}

Result<std::string> ReadCallerKey(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadFile(path));
  while (text.ends_with('\n') || text.ends_with('\r')) text.pop_back();
  bool is_key = !text.empty() &&
                std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return c > ' ' && c < 0x7f;
                });
  if (is_key) return text;
  return Fail(ErrorCode::kInvalidArgument, path + ": not one line with a key");
}

}  // namespace primrosecove
