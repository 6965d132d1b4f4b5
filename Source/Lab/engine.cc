#include "Lab/engine.h"

#include <algorithm>
#include <utility>

#include "Core/Common/log.h"
#include "Core/Common/text.h"
#include "Core/Routing/request_headers.h"
#include "Lab/weights_spec.h"

namespace primrosecove {
namespace {

using Json = nlohmann::json;

constexpr char kCrashMark[] = "CRASH-ENGINE";
constexpr size_t kCacheBlockBytes = 64;
constexpr Milliseconds kRestartAfter{500};
constexpr Milliseconds kLoadFetchTimeout{60'000};
constexpr size_t kEchoDigits = 8;

std::string PromptOf(const Json& body) {
  std::string out = body.value("prompt", "");
  for (const Json& it : body.value("messages", Json::array()))
    out += it.value("content", "");
  return out;
}

}  // namespace

struct Engine::Job {
  std::shared_ptr<HttpExchange> exchange;
  std::string id;
  std::string model;
  std::string echo;  // Ties the answer to its prompt.
  Weights weights;
  uint64_t priority = 1;
  uint32_t next_token = 0;
  uint32_t end_token = 0;
  size_t prefill_left = 0;
  bool streaming = false;
  bool gone = false;
  std::string text;
};

struct Engine::LoadOrder {
  std::shared_ptr<HttpExchange> exchange;
  Weights weights;
  std::string adapter;
  std::string bytes;
  std::unique_ptr<HttpCall> call;
  Timer timer;
};

Engine::Engine(EventLoop* loop, EngineOptions options, RecordFile* record)
    : loop_(loop),
      options_(std::move(options)),
      record_(record),
      client_(loop) {}

Engine::~Engine() = default;

Result<void> Engine::Start() {
  server_ = std::make_unique<HttpServer>(
      loop_, HttpServer::Limits{},
      [this](const auto& exchange) { Handle(exchange); });
  report_timer_ = loop_->Every(
      Milliseconds(options_.load_report_lag_ms),
      [this] { reported_load_ = running_.size() + waiting_.size(); });
  return server_->Listen(options_.listen);
}

void Engine::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  using Method = void (Engine::*)(const std::shared_ptr<HttpExchange>&);
  static const std::map<std::string, Method, std::less<>> kMethods = {
      {"/orders/state", &Engine::HandleState},
      {"/orders/load", &Engine::HandleLoad},
      {"/orders/unload", &Engine::HandleUnload},
      {"/v1/chat/completions", &Engine::HandleChat},
      {"/v1/completions", &Engine::HandleChat},
      {"/cache/export", &Engine::HandleCache},
      {"/cache/import", &Engine::HandleCache}};
  auto method = kMethods.find(exchange->request().Path());
  if (method == kMethods.end())
    return exchange->Respond(404, {}, "no such page\n");
  (this->*method->second)(exchange);
}

void Engine::HandleState(const std::shared_ptr<HttpExchange>& exchange) {
  Json adapters = Json::object();
  for (const auto& [name, it] : adapters_) adapters[name] = it.manifest.ToHex();
  Json out = {{"fencing", fencing_}, {"adapters", adapters}};
  if (!claimed_.model.empty()) {
    out["model"] = claimed_.model;
    out["version"] = claimed_.version;
    out["manifest"] = claimed_.manifest.ToHex();
  }
  exchange->Respond(200, {{"Content-Type", "application/json"}}, out.dump());
}

bool Engine::CheckFencing(const Json& order,
                          const std::shared_ptr<HttpExchange>& exchange) {
  uint64_t number = order.value("fencing", uint64_t{0});
  if (!options_.ignores_fencing && number < fencing_) {
    exchange->Respond(409, {},
                      "an order with a larger fencing number was obeyed\n");
    return false;
  }
  fencing_ = std::max(fencing_, number);
  return true;
}

void Engine::HandleLoad(const std::shared_ptr<HttpExchange>& exchange) {
  Json body = Json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object()) return exchange->Respond(400, {}, "malformed order\n");
  auto manifest = Digest::FromHex(body.value("manifest", ""));
  auto source = Endpoint::Parse(body.value("source", ""));
  if (!manifest || !source)
    return exchange->Respond(400, {}, "malformed order\n");
  if (!CheckFencing(body, exchange)) return;
  if (faults_.refuse_load)
    return exchange->Respond(500, {}, "out of accelerator memory\n");
  if (loading_)
    return exchange->Respond(409, {}, "another load is under way\n");
  auto order = std::make_shared<LoadOrder>();
  order->exchange = exchange;
  order->weights = {body.value("model", ""), body.value("version", ""),
                    manifest.value(), ""};
  order->adapter = body.value("adapter", "");
  loading_ = order;
  // The old weights leave the accelerators before the new ones come.
  if (order->adapter.empty() && !faults_.lie_on_load) {
    weights_ = {};
    claimed_ = {};
    adapters_.clear();
  }
  HttpCallbacks callbacks;
  callbacks.on_data = [order](std::string_view piece) {
    order->bytes.append(piece);
  };
  callbacks.on_response = [this, order](const HttpResponse& response) {
    if (response.status != 200) {
      loading_.reset();
      return order->exchange->Respond(502, {},
                                      "the source does not have the weights\n");
    }
    order->timer = loop_->After(Milliseconds(options_.load_ms),
                                [this, order] { FinishLoad(order); });
  };
  callbacks.on_failure = [this, order](const HttpFailure&) {
    loading_.reset();
    order->exchange->Respond(502, {}, "the source broke off\n");
  };
  HttpRequest req;
  req.target = "/weights/" + manifest.value().ToHex();
  order->call =
      client_.Send(source.value(), std::move(req),
                   {.timeout = kLoadFetchTimeout, .max_body_bytes = 1ULL << 32},
                   std::move(callbacks));
}

void Engine::FinishLoad(const std::shared_ptr<LoadOrder>& order) {
  if (loading_ != order) return;
  loading_.reset();
  if (faults_.crash_on_load) return Crash("while loading");
  order->weights.fingerprint = FingerprintOf(order->bytes);
  order->bytes.clear();
  if (!order->adapter.empty()) {
    adapters_[order->adapter] = order->weights;
  } else {
    claimed_ = order->weights;
    if (!faults_.lie_on_load) weights_ = order->weights;
  }
  record_->Write({{"kind", "load"},
                  {"at_ms", WallClockMs()},
                  {"engine", options_.listen.ToString()},
                  {"version", order->weights.version},
                  {"adapter", order->adapter},
                  {"fingerprint", order->weights.fingerprint}});
  order->exchange->Respond(200, {}, "loaded\n");
}

void Engine::HandleUnload(const std::shared_ptr<HttpExchange>& exchange) {
  Json body = Json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object()) return exchange->Respond(400, {}, "malformed order\n");
  if (!CheckFencing(body, exchange)) return;
  adapters_.erase(body.value("adapter", ""));
  exchange->Respond(200, {}, "unloaded\n");
}

// Blocks of the prompt that the cache holds from the beginning on need no
// reading.
bool Engine::CacheHit(const std::string& prompt, size_t* cached_bytes) {
  *cached_bytes = 0;
  ++cache_lookups_;
  for (size_t end = kCacheBlockBytes; end <= prompt.size();
       end += kCacheBlockBytes) {
    std::string block =
        weights_.fingerprint + Sha256(prompt.substr(0, end)).ShortHex();
    auto it = std::find(cache_.begin(), cache_.end(), block);
    if (it != cache_.end()) {
      if (*cached_bytes + kCacheBlockBytes == end) *cached_bytes = end;
      cache_.splice(cache_.begin(), cache_, it);
    } else {
      cache_.push_front(block);
      if (cache_.size() > options_.cache_blocks) cache_.pop_back();
    }
  }
  if (*cached_bytes > 0) ++cache_hits_;
  return *cached_bytes > 0;
}

void Engine::HandleChat(const std::shared_ptr<HttpExchange>& exchange) {
  Json body = Json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object())
    return exchange->Respond(400, {}, "malformed request\n");
  std::string prompt = PromptOf(body);
  auto job = std::make_shared<Job>();
  job->exchange = exchange;
  job->id = exchange->request().headers.Find("X-Lab-Id").value_or("");
  job->model = body.value("model", "");
  job->echo = Sha256(prompt).ToHex().substr(0, kEchoDigits);
  job->priority =
      ParseU64(exchange->request().headers.Find(kPriorityHeader).value_or("1"))
          .value_or(1);
  job->next_token = body.value("resume_from", 0U);
  job->end_token = body.value("max_tokens", 16U);
  job->streaming = body.value("stream", false);
  size_t colon = job->model.find(':');
  auto adapter = colon == std::string::npos
                     ? adapters_.end()
                     : adapters_.find(job->model.substr(colon + 1));
  job->weights = colon == std::string::npos || adapter == adapters_.end()
                     ? weights_
                     : adapter->second;
  if (weights_.model.empty())
    return exchange->Respond(503, {}, "no weights are loaded\n");
  record_->Write({{"kind", "run"},
                  {"at_ms", WallClockMs()},
                  {"engine", options_.listen.ToString()},
                  {"id", job->id},
                  {"fingerprint", job->weights.fingerprint}});
  if (prompt.find(kCrashMark) != std::string::npos)
    return Crash("by a request");
  size_t cached = 0;
  CacheHit(prompt, &cached);
  job->prefill_left = prompt.size() - cached;
  exchange->OnDisconnect([job] { job->gone = true; });
  auto at = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& it) {
    return it->priority > job->priority;
  });
  waiting_.insert(at, job);
  if (!step_timer_.pending()) {
    step_timer_ =
        loop_->Every(Milliseconds(options_.step_ms), [this] { Step(); });
  }
}

HttpHeaders Engine::ResponseHeaders(const Job& job) const {
  return {{std::string(kEngineManifestHeader), job.weights.manifest.ToHex()},
          {std::string(kEngineLoadHeader), std::to_string(reported_load_)},
          {"X-Lab-Cache",
           std::to_string(cache_hits_) + "/" + std::to_string(cache_lookups_)}};
}

void Engine::StartWaiting() {
  while (running_.size() < options_.max_batch && !waiting_.empty()) {
    running_.push_back(waiting_.front());
    waiting_.pop_front();
  }
}

void Engine::Step() {
  StartWaiting();
  size_t prefill = options_.prefill_per_step;
  std::vector<std::shared_ptr<Job>> batch(running_.begin(), running_.end());
  for (const auto& job : batch) {
    if (job->gone) {
      EndJob(job.get(), false);
    } else if (job->prefill_left > 0) {
      size_t n = std::min(prefill, job->prefill_left);
      job->prefill_left -= n;
      prefill -= n;
    } else {
      EmitToken(job.get());
    }
  }
  std::erase_if(running_,
                [](const auto& job) { return job->exchange == nullptr; });
  std::erase_if(waiting_, [](const auto& job) { return job->gone; });
  if (running_.empty() && waiting_.empty()) step_timer_.Cancel();
}

void Engine::EmitToken(Job* job) {
  std::string token = "t" + std::to_string(job->next_token) + ":" +
                      job->weights.fingerprint + ":" + job->echo + " ";
  if (job->streaming) {
    if (!job->exchange->started()) {
      HttpHeaders headers = ResponseHeaders(*job);
      headers.Add("Content-Type", "text/event-stream");
      job->exchange->StartStream(200, std::move(headers));
    }
    Json event = {
        {"object", "chat.completion.chunk"},
        {"model", job->model},
        {"choices",
         Json::array({{{"index", 0}, {"delta", {{"content", token}}}}})}};
    job->exchange->Write("data: " + event.dump() + "\n\n");
  } else {
    job->text += token;
  }
  if (++job->next_token >= job->end_token) EndJob(job, true);
}

void Engine::EndJob(Job* job, bool whole) {
  if (whole && job->streaming) {
    job->exchange->Write("data: [DONE]\n\n");
    job->exchange->EndStream();
  } else if (whole) {
    Json message = {{"role", "assistant"}, {"content", job->text}};
    Json body = {
        {"object", "chat.completion"},
        {"model", job->model},
        {"choices", Json::array({{{"index", 0}, {"message", message}}})}};
    HttpHeaders headers = ResponseHeaders(*job);
    headers.Add("Content-Type", "application/json");
    job->exchange->Respond(200, std::move(headers), body.dump());
  }
  job->exchange.reset();
}

// KV cache of prompts, as the list of blocks that it holds.
void Engine::HandleCache(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->request().Path() == "/cache/export") {
    return exchange->Respond(200, {}, Json{{"blocks", cache_}}.dump());
  }
  Json body = Json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object())
    return exchange->Respond(400, {}, "malformed blocks\n");
  for (const Json& it : body.value("blocks", Json::array())) {
    if (it.is_string() && cache_.size() < options_.cache_blocks)
      cache_.push_back(it);
  }
  exchange->Respond(200, {}, "imported\n");
}

// All connections are cut, all state is lost, and after a while the engine is
// back, empty.
void Engine::Crash(const std::string& why) {
  PC_INFO(kLab, options_.listen.ToString() << " crashes " << why);
  record_->Write({{"kind", "crash"},
                  {"at_ms", WallClockMs()},
                  {"engine", options_.listen.ToString()}});
  step_timer_.Cancel();
  waiting_.clear();
  running_.clear();
  loading_.reset();
  weights_ = {};
  claimed_ = {};
  adapters_.clear();
  cache_.clear();
  fencing_ = 0;
  // The server is on the stack below.
  std::shared_ptr<HttpServer> old = std::move(server_);
  loop_->Post([old] {});
  restart_timer_ = loop_->After(kRestartAfter, [this] {
    auto started = Start();
    if (!started) PC_ERROR(kLab, started.error().message);
  });
}

}  // namespace primrosecove
