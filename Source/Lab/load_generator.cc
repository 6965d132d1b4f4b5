#include "Lab/load_generator.h"

#include <utility>

#include "Core/Common/digest.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kMaxAttempts = 6;
constexpr Milliseconds kRetryDelay{400};
constexpr size_t kEchoHexDigits = 8;
constexpr uint32_t kPerMille = 1000;
// Of ten requests, kChatRequestsOfTen call the model and kRunOnceRequestsOfTen
// must run once. The rest are plain GETs.
constexpr uint32_t kChatRequestsOfTen = 6;
constexpr uint32_t kRunOnceRequestsOfTen = 3;

// Returns the generated text of a response, from the events of a stream or from
// a single body. `stream_ended` is false if a stream lacks its last event.
std::string ResponseText(const std::string& body, bool streaming,
                         bool* stream_ended) {
  std::string out;
  *stream_ended = true;
  if (!streaming) {
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) return body;
    return json["choices"][0]["message"].value("content", "");
  }
  *stream_ended = body.find("data: [DONE]") != std::string::npos;
  size_t at = 0;
  while ((at = body.find("data: {", at)) != std::string::npos) {
    size_t end = body.find('\n', at);
    if (end == std::string::npos) break;
    Json json = Json::parse(body.substr(at + 6, end - at - 6), nullptr, false);
    if (json.is_object() && json.contains("choices")) {
      out += json["choices"][0]["delta"].value("content", "");
    }
    at = end;
  }
  return out;
}

}  // namespace

struct LoadGenerator::Call {
  Kind kind = Kind::kChat;
  std::string id;
  std::string key;
  std::string workspace;
  std::string method = "POST";
  std::string target;
  std::string body;
  std::string expected;  // Echo that identifies the response to this request.
  uint32_t tokens = 0;
  bool streaming = false;
  uint32_t attempts = 0;
  std::string response_body;
  SteadyTime started;
  double first_data_ms = -1;
  double max_data_gap_ms = 0;
  SteadyTime last_data_time;
  std::string outcome;
  int status = 0;
  std::unique_ptr<HttpCall> http_call;
  Timer retry_timer;
};

LoadGenerator::LoadGenerator(EventLoop* loop, LoadGeneratorOptions options,
                             RecordFile* record)
    : loop_(loop),
      options_(std::move(options)),
      record_(record),
      client_(loop),
      random_(options_.seed) {}

void LoadGenerator::Start() {
  started_ = EventLoop::Now();
  send_timer_ = loop_->Every(Milliseconds(5), [this] { SendDueRequests(); });
}

void LoadGenerator::SendDueRequests() {
  double elapsed =
      std::chrono::duration<double>(EventLoop::Now() - started_).count();
  if (elapsed >= static_cast<double>(options_.seconds)) {
    send_timer_.Cancel();
    sending_finished_ = true;
    return FinishIfDone();
  }
  while (static_cast<double>(sent_requests_) <
         elapsed * options_.requests_per_second) {
    ++sent_requests_;
    ++open_requests_;
    Send(MakeCall());
  }
}

std::shared_ptr<LoadGenerator::Call> LoadGenerator::MakeCall() {
  auto call = std::make_shared<Call>();
  call->id =
      std::to_string(options_.seed) + "-" + std::to_string(sent_requests_);
  call->workspace = options_.workspaces[random_() % options_.workspaces.size()];
  uint32_t kind_choice = random_() % 10;
  bool chat = !options_.model.empty() &&
              (kind_choice < kChatRequestsOfTen || options_.plain_path.empty());
  if (chat) {
    std::string model = options_.model;
    if (!options_.adapters.empty() && random_() % 3 == 0) {
      model += ":" + options_.adapters[random_() % options_.adapters.size()];
    }
    // Requests of one workspace share a prompt prefix, for the prefix caches.
    std::string prompt(
        600, static_cast<char>('a' + Sha256(call->workspace).bytes[0] % 26));
    prompt += " request " + call->id;
    if (random_() % kPerMille < options_.crash_per_mille)
      prompt += " CRASH-ENGINE";
    call->kind = Kind::kChat;
    call->target = "/v1/chat/completions";
    call->streaming = random_() % 2 == 0;
    call->tokens = options_.max_tokens;
    call->expected = Sha256(prompt).ToHex().substr(0, kEchoHexDigits);
    call->body = Json{{"model", model},
                      {"max_tokens", call->tokens},
                      {"stream", call->streaming},
                      {"messages",
                       Json::array({{{"role", "user"}, {"content", prompt}}})}}
                     .dump();
    return call;
  }
  bool run_once = !options_.run_once_path.empty() &&
                  kind_choice < kChatRequestsOfTen + kRunOnceRequestsOfTen;
  call->kind = run_once ? Kind::kRunOnce : Kind::kPlain;
  call->method = run_once ? "POST" : "GET";
  call->target =
      (run_once ? options_.run_once_path : options_.plain_path) + call->id;
  if (run_once) {
    call->key = "key-" + call->id;
    call->body = "item " + call->id;
  }
  call->expected =
      "echo " + call->method + " " + call->target + " " + call->body;
  return call;
}

void LoadGenerator::Send(const std::shared_ptr<Call>& call) {
  ++call->attempts;
  call->response_body.clear();
  call->started = EventLoop::Now();
  call->first_data_ms = -1;
  HttpRequest req{.method = call->method,
                  .target = call->target,
                  .headers = {},
                  .body = call->body};
  req.headers.Set(kWorkspaceHeader, call->workspace);
  req.headers.Set("X-Lab-Id", call->id + "." + std::to_string(call->attempts));
  if (!call->key.empty()) req.headers.Set(kIdempotencyKeyHeader, call->key);
  req.headers.Set(kTimeoutHeader, std::to_string(options_.timeout_ms));
  HttpCallbacks callbacks;
  callbacks.on_head = [call](const HttpResponse& head) {
    call->status = head.status;
    call->outcome = head.headers.Find(kOutcomeHeader).value_or("none");
  };
  callbacks.on_data = [call](std::string_view data) {
    SteadyTime now = EventLoop::Now();
    double ms =
        std::chrono::duration<double, std::milli>(now - call->started).count();
    if (call->first_data_ms < 0) {
      call->first_data_ms = ms;
    } else {
      double gap =
          std::chrono::duration<double, std::milli>(now - call->last_data_time)
              .count();
      call->max_data_gap_ms = std::max(call->max_data_gap_ms, gap);
    }
    call->last_data_time = now;
    call->response_body.append(data);
  };
  callbacks.on_response = [this, call](const HttpResponse&) {
    OnRequestEnd(call, call->status, call->outcome, true);
  };
  callbacks.on_failure = [this, call](const HttpFailure& failure) {
    // A stopping router refuses connections. A load balancer would pick another
    // router.
    bool connection_refused = failure.progress == HttpProgress::kNotConnected;
    OnRequestEnd(call, 0, connection_refused ? "refused" : "lost", false);
  };
  const Endpoint& router =
      options_.routers[next_router_++ % options_.routers.size()];
  call->http_call = client_.Send(
      router, req, {.timeout = Milliseconds(options_.timeout_ms + 5000)},
      std::move(callbacks));
}

void LoadGenerator::OnRequestEnd(const std::shared_ptr<Call>& call, int status,
                                 const std::string& outcome, bool complete) {
  double ms = std::chrono::duration<double, std::milli>(EventLoop::Now() -
                                                        call->started)
                  .count();
  bool stream_ended = complete;
  std::string text = call->response_body;
  if (call->kind == Kind::kChat && status == 200) {
    text = ResponseText(call->response_body, call->streaming, &stream_ended);
  }
  static const std::map<Kind, const char*> kKindNames = {
      {Kind::kChat, "chat"}, {Kind::kPlain, "plain"}, {Kind::kRunOnce, "once"}};
  record_->Write({{"kind", kKindNames.at(call->kind)},
                  {"at_ms", WallClockMs()},
                  {"took_ms", ms},
                  {"first_ms", call->first_data_ms},
                  {"gap_ms", call->max_data_gap_ms},
                  {"id", call->id},
                  {"send", call->attempts},
                  {"key", call->key},
                  {"workspace", call->workspace},
                  {"status", status},
                  {"outcome", outcome},
                  {"whole", complete && stream_ended},
                  {"tokens", call->tokens},
                  {"expected", call->expected},
                  {"answer", text}});
  auto finished_call = std::shared_ptr<HttpCall>(std::move(call->http_call));
  loop_->Post([finished_call] {});
  bool responded = outcome == kOutcomeResponded && complete && stream_ended;
  bool retry_unknown = !responded && call->kind == Kind::kRunOnce &&
                       call->attempts < kMaxAttempts;
  bool connection_refused =
      outcome == "refused" && call->attempts < kMaxAttempts;
  if (retry_unknown || connection_refused) {
    call->retry_timer =
        loop_->After(connection_refused ? Milliseconds(20) : kRetryDelay,
                     [this, call] { Send(call); });
    return;
  }
  --open_requests_;
  FinishIfDone();
}

void LoadGenerator::FinishIfDone() {
  if (sending_finished_ && open_requests_ == 0) loop_->Stop();
}

}  // namespace primrosecove
