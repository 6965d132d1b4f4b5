#include "Lab/load.h"

#include <utility>

#include "Core/Common/digest.h"
#include "Core/Routing/request_headers.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr uint32_t kMaxSends = 6;
constexpr Milliseconds kResendAfter{400};
constexpr size_t kEchoDigits = 8;
constexpr uint32_t kPerMille = 1000;
// Of ten requests this many ask the model, and this many of the rest must run
// once.
constexpr uint32_t kChatOfTen = 6;
constexpr uint32_t kOnceOfTen = 3;

// The text of an answer, from the events of a stream or from a whole body.
std::string TextOfAnswer(const std::string& body, bool streaming, bool* ended) {
  std::string out;
  *ended = true;
  if (!streaming) {
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) return body;
    return json["choices"][0]["message"].value("content", "");
  }
  *ended = body.find("data: [DONE]") != std::string::npos;
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

struct Load::Call {
  Kind kind = Kind::kChat;
  std::string id;
  std::string key;
  std::string workspace;
  std::string method = "POST";
  std::string target;
  std::string body;
  std::string expected;  // Echo that ties the answer to this request.
  uint32_t tokens = 0;
  bool streaming = false;
  uint32_t sends = 0;
  std::string answer;
  SteadyTime started;
  double first_ms = -1;
  double max_gap_ms = 0;
  SteadyTime last_piece;
  std::string outcome;
  int status = 0;
  std::unique_ptr<HttpCall> http;
  Timer resend;
};

Load::Load(EventLoop* loop, LoadOptions options, RecordFile* record)
    : loop_(loop),
      options_(std::move(options)),
      record_(record),
      client_(loop),
      random_(options_.seed) {}

void Load::Start() {
  started_ = EventLoop::Now();
  send_timer_ = loop_->Every(Milliseconds(5), [this] { SendNext(); });
}

void Load::SendNext() {
  double elapsed =
      std::chrono::duration<double>(EventLoop::Now() - started_).count();
  if (elapsed >= static_cast<double>(options_.seconds)) {
    send_timer_.Cancel();
    ended_ = true;
    return FinishIfDone();
  }
  while (static_cast<double>(sent_) < elapsed * options_.requests_per_second) {
    ++sent_;
    ++open_;
    Send(MakeCall());
  }
}

std::shared_ptr<Load::Call> Load::MakeCall() {
  auto call = std::make_shared<Call>();
  call->id = std::to_string(options_.seed) + "-" + std::to_string(sent_);
  call->workspace = options_.workspaces[random_() % options_.workspaces.size()];
  uint32_t pick = random_() % 10;
  bool chat = !options_.model.empty() &&
              (pick < kChatOfTen || options_.plain_path.empty());
  if (chat) {
    std::string model = options_.model;
    if (!options_.adapters.empty() && random_() % 3 == 0) {
      model += ":" + options_.adapters[random_() % options_.adapters.size()];
    }
    // Callers of one workspace share the beginning of their prompts.
    std::string prompt(
        600, static_cast<char>('a' + Sha256(call->workspace).bytes[0] % 26));
    prompt += " request " + call->id;
    if (random_() % kPerMille < options_.crash_per_mille)
      prompt += " CRASH-ENGINE";
    call->kind = Kind::kChat;
    call->target = "/v1/chat/completions";
    call->streaming = random_() % 2 == 0;
    call->tokens = options_.max_tokens;
    call->expected = Sha256(prompt).ToHex().substr(0, kEchoDigits);
    call->body = Json{{"model", model},
                      {"max_tokens", call->tokens},
                      {"stream", call->streaming},
                      {"messages",
                       Json::array({{{"role", "user"}, {"content", prompt}}})}}
                     .dump();
    return call;
  }
  bool once = !options_.once_path.empty() && pick < kChatOfTen + kOnceOfTen;
  call->kind = once ? Kind::kOnce : Kind::kPlain;
  call->method = once ? "POST" : "GET";
  call->target = (once ? options_.once_path : options_.plain_path) + call->id;
  if (once) {
    call->key = "key-" + call->id;
    call->body = "item " + call->id;
  }
  call->expected =
      "echo " + call->method + " " + call->target + " " + call->body;
  return call;
}

void Load::Send(const std::shared_ptr<Call>& call) {
  ++call->sends;
  call->answer.clear();
  call->started = EventLoop::Now();
  call->first_ms = -1;
  HttpRequest req{.method = call->method,
                  .target = call->target,
                  .headers = {},
                  .body = call->body};
  req.headers.Set(kWorkspaceHeader, call->workspace);
  req.headers.Set("X-Lab-Id", call->id + "." + std::to_string(call->sends));
  if (!call->key.empty()) req.headers.Set(kIdempotencyKeyHeader, call->key);
  req.headers.Set(kTimeoutHeader, std::to_string(options_.timeout_ms));
  HttpCallbacks callbacks;
  callbacks.on_head = [call](const HttpResponse& head) {
    call->status = head.status;
    call->outcome = head.headers.Find(kOutcomeHeader).value_or("none");
  };
  callbacks.on_data = [call](std::string_view piece) {
    SteadyTime now = EventLoop::Now();
    double ms =
        std::chrono::duration<double, std::milli>(now - call->started).count();
    if (call->first_ms < 0) {
      call->first_ms = ms;
    } else {
      double gap =
          std::chrono::duration<double, std::milli>(now - call->last_piece)
              .count();
      call->max_gap_ms = std::max(call->max_gap_ms, gap);
    }
    call->last_piece = now;
    call->answer.append(piece);
  };
  callbacks.on_response = [this, call](const HttpResponse&) {
    OnEnd(call, call->status, call->outcome, true);
  };
  callbacks.on_failure = [this, call](const HttpFailure& failure) {
    // A router that is stopping refuses connections; the balancer would pick
    // another.
    bool refused = failure.progress == HttpProgress::kNotConnected;
    OnEnd(call, 0, refused ? "refused" : "lost", false);
  };
  const Endpoint& router =
      options_.routers[next_router_++ % options_.routers.size()];
  call->http =
      client_.Send(router, std::move(req),
                   {.timeout = Milliseconds(options_.timeout_ms + 5000)},
                   std::move(callbacks));
}

void Load::OnEnd(const std::shared_ptr<Call>& call, int status,
                 const std::string& outcome, bool whole) {
  double ms = std::chrono::duration<double, std::milli>(EventLoop::Now() -
                                                        call->started)
                  .count();
  bool ended = whole;
  std::string text = call->answer;
  if (call->kind == Kind::kChat && status == 200) {
    text = TextOfAnswer(call->answer, call->streaming, &ended);
  }
  static const std::map<Kind, const char*> kNames = {
      {Kind::kChat, "chat"}, {Kind::kPlain, "plain"}, {Kind::kOnce, "once"}};
  record_->Write({{"kind", kNames.at(call->kind)},
                  {"at_ms", WallClockMs()},
                  {"took_ms", ms},
                  {"first_ms", call->first_ms},
                  {"gap_ms", call->max_gap_ms},
                  {"id", call->id},
                  {"send", call->sends},
                  {"key", call->key},
                  {"workspace", call->workspace},
                  {"status", status},
                  {"outcome", outcome},
                  {"whole", whole && ended},
                  {"tokens", call->tokens},
                  {"expected", call->expected},
                  {"answer", text}});
  auto old = std::shared_ptr<HttpCall>(std::move(call->http));
  loop_->Post([old] {});
  bool answered = outcome == kOutcomeResponded && whole && ended;
  bool again =
      !answered && call->kind == Kind::kOnce && call->sends < kMaxSends;
  bool refused = outcome == "refused" && call->sends < kMaxSends;
  if (again || refused) {
    call->resend = loop_->After(refused ? Milliseconds(20) : kResendAfter,
                                [this, call] { Send(call); });
    return;
  }
  --open_;
  FinishIfDone();
}

void Load::FinishIfDone() {
  if (ended_ && open_ == 0) loop_->Stop();
}

}  // namespace primrosecove
