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

constexpr char kCrashMarker[] = "CRASH-ENGINE";
constexpr size_t kCacheBlockBytes = 64;
constexpr Milliseconds kRestartDelay{500};
constexpr Milliseconds kLoadFetchTimeout{60'000};
constexpr size_t kEchoHexDigits = 8;

std::string PromptText(const Json& body) {
  std::string out = body.value("prompt", "");
  for (const Json& it : body.value("messages", Json::array()))
    out += it.value("content", "");
  return out;
}

}  // namespace

struct Engine::Generation {
  std::shared_ptr<HttpExchange> exchange;
  std::string id;
  std::string model;
  std::string echo;  // Hash of the prompt, repeated in each token.
  Weights weights;
  uint64_t priority = 1;
  uint32_t next_token = 0;
  uint32_t end_token = 0;
  size_t prefill_bytes_left = 0;
  bool streaming = false;
  bool disconnected = false;
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
  load_report_timer_ = loop_->Every(
      Milliseconds(options_.load_report_lag_ms),
      [this] { reported_load_ = running_.size() + waiting_.size(); });
  return server_->Listen(options_.listen);
}

void Engine::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  using Handler = void (Engine::*)(const std::shared_ptr<HttpExchange>&);
  static const std::map<std::string, Handler, std::less<>> kHandlers = {
      {"/orders/state", &Engine::HandleState},
      {"/orders/load", &Engine::HandleLoad},
      {"/orders/unload", &Engine::HandleUnload},
      {"/v1/chat/completions", &Engine::HandleChat},
      {"/v1/completions", &Engine::HandleChat},
      {"/cache/export", &Engine::HandleCache},
      {"/cache/import", &Engine::HandleCache}};
  auto handler = kHandlers.find(exchange->request().Path());
  if (handler == kHandlers.end())
    return exchange->Respond(404, {}, "no such page\n");
  (this->*handler->second)(exchange);
}

void Engine::HandleState(const std::shared_ptr<HttpExchange>& exchange) {
  Json adapters = Json::object();
  for (const auto& [name, it] : adapters_) adapters[name] = it.manifest.ToHex();
  Json out = {{"fencing", fencing_}, {"adapters", adapters}};
  if (!reported_weights_.model.empty()) {
    out["model"] = reported_weights_.model;
    out["version"] = reported_weights_.version;
    out["manifest"] = reported_weights_.manifest.ToHex();
  }
  exchange->Respond(200, {{"Content-Type", "application/json"}}, out.dump());
}

bool Engine::CheckFencing(const Json& order,
                          const std::shared_ptr<HttpExchange>& exchange) {
  uint64_t order_fencing = order.value("fencing", uint64_t{0});
  if (!options_.ignores_fencing && order_fencing < fencing_) {
    exchange->Respond(409, {},
                      "an order with a larger fencing number was obeyed\n");
    return false;
  }
  fencing_ = std::max(fencing_, order_fencing);
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
  // A real engine frees the old weights' accelerator memory before it loads the
  // new weights.
  if (order->adapter.empty() && !faults_.fake_load_success) {
    weights_ = {};
    reported_weights_ = {};
    adapters_.clear();
  }
  HttpCallbacks callbacks;
  callbacks.on_data = [order](std::string_view data) {
    order->bytes.append(data);
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
      client_.Send(source.value(), req,
                   {.timeout = kLoadFetchTimeout, .max_body_bytes = 1ULL << 32},
                   std::move(callbacks));
}

void Engine::FinishLoad(const std::shared_ptr<LoadOrder>& order) {
  if (loading_ != order) return;
  loading_.reset();
  if (faults_.crash_on_load) return Crash("during a weight load");
  order->weights.fingerprint = WeightsFingerprint(order->bytes);
  order->bytes.clear();
  if (!order->adapter.empty()) {
    adapters_[order->adapter] = order->weights;
  } else {
    reported_weights_ = order->weights;
    if (!faults_.fake_load_success) weights_ = order->weights;
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

// Only consecutive cached blocks from the start of the prompt skip prefill.
bool Engine::LookUpPrefixCache(const std::string& prompt,
                               size_t* cached_bytes) {
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
  std::string prompt = PromptText(body);
  auto generation = std::make_shared<Generation>();
  generation->exchange = exchange;
  generation->id = exchange->request().headers.Find("X-Lab-Id").value_or("");
  generation->model = body.value("model", "");
  generation->echo = Sha256(prompt).ToHex().substr(0, kEchoHexDigits);
  generation->priority =
      ParseU64(exchange->request().headers.Find(kPriorityHeader).value_or("1"))
          .value_or(1);
  generation->next_token = body.value("resume_from", 0U);
  generation->end_token = body.value("max_tokens", 16U);
  generation->streaming = body.value("stream", false);
  size_t colon = generation->model.find(':');
  auto adapter = colon == std::string::npos
                     ? adapters_.end()
                     : adapters_.find(generation->model.substr(colon + 1));
  generation->weights = colon == std::string::npos || adapter == adapters_.end()
                            ? weights_
                            : adapter->second;
  if (weights_.model.empty())
    return exchange->Respond(503, {}, "no weights are loaded\n");
  record_->Write({{"kind", "run"},
                  {"at_ms", WallClockMs()},
                  {"engine", options_.listen.ToString()},
                  {"id", generation->id},
                  {"fingerprint", generation->weights.fingerprint}});
  if (prompt.find(kCrashMarker) != std::string::npos)
    return Crash("on a request");
  size_t cached_prompt_bytes = 0;
  LookUpPrefixCache(prompt, &cached_prompt_bytes);
  generation->prefill_bytes_left = prompt.size() - cached_prompt_bytes;
  exchange->OnDisconnect([generation] { generation->disconnected = true; });
  auto position = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const auto& it) { return it->priority > generation->priority; });
  waiting_.insert(position, generation);
  if (!step_timer_.pending()) {
    step_timer_ =
        loop_->Every(Milliseconds(options_.step_ms), [this] { Step(); });
  }
}

HttpHeaders Engine::ResponseHeaders(const Generation& generation) const {
  return {
      {std::string(kEngineManifestHeader), generation.weights.manifest.ToHex()},
      {std::string(kEngineLoadHeader), std::to_string(reported_load_)},
      {"X-Lab-Cache",
       std::to_string(cache_hits_) + "/" + std::to_string(cache_lookups_)}};
}

void Engine::AdmitWaiting() {
  while (running_.size() < options_.max_batch && !waiting_.empty()) {
    running_.push_back(waiting_.front());
    waiting_.pop_front();
  }
}

void Engine::Step() {
  AdmitWaiting();
  size_t prefill_budget_bytes = options_.prefill_bytes_per_step;
  std::vector<std::shared_ptr<Generation>> batch(running_.begin(),
                                                 running_.end());
  for (const auto& generation : batch) {
    if (generation->disconnected) {
      EndGeneration(generation.get(), false);
    } else if (generation->prefill_bytes_left > 0) {
      size_t n = std::min(prefill_budget_bytes, generation->prefill_bytes_left);
      generation->prefill_bytes_left -= n;
      prefill_budget_bytes -= n;
    } else {
      EmitToken(generation.get());
    }
  }
  std::erase_if(running_, [](const auto& generation) {
    return generation->exchange == nullptr;
  });
  std::erase_if(waiting_, [](const auto& generation) {
    return generation->disconnected;
  });
  if (running_.empty() && waiting_.empty()) step_timer_.Cancel();
}

void Engine::EmitToken(Generation* generation) {
  std::string token = "t" + std::to_string(generation->next_token) + ":" +
                      generation->weights.fingerprint + ":" + generation->echo +
                      " ";
  if (generation->streaming) {
    if (!generation->exchange->started()) {
      HttpHeaders headers = ResponseHeaders(*generation);
      headers.Add("Content-Type", "text/event-stream");
      generation->exchange->StartStream(200, std::move(headers));
    }
    Json event = {
        {"object", "chat.completion.chunk"},
        {"model", generation->model},
        {"choices",
         Json::array({{{"index", 0}, {"delta", {{"content", token}}}}})}};
    generation->exchange->Write("data: " + event.dump() + "\n\n");
  } else {
    generation->text += token;
  }
  if (++generation->next_token >= generation->end_token)
    EndGeneration(generation, true);
}

void Engine::EndGeneration(Generation* generation, bool complete) {
  if (complete && generation->streaming) {
    generation->exchange->Write("data: [DONE]\n\n");
    generation->exchange->EndStream();
  } else if (complete) {
    Json message = {{"role", "assistant"}, {"content", generation->text}};
    Json body = {
        {"object", "chat.completion"},
        {"model", generation->model},
        {"choices", Json::array({{{"index", 0}, {"message", message}}})}};
    HttpHeaders headers = ResponseHeaders(*generation);
    headers.Add("Content-Type", "application/json");
    generation->exchange->Respond(200, std::move(headers), body.dump());
  }
  generation->exchange.reset();
}

// Exports or imports the prefix cache as the list of its block hashes.
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

// Closes all connections, discards all state and restarts the engine without
// weights after kRestartDelay.
void Engine::Crash(const std::string& cause) {
  PC_INFO(kLab, options_.listen.ToString() << " crashed " << cause);
  record_->Write({{"kind", "crash"},
                  {"at_ms", WallClockMs()},
                  {"engine", options_.listen.ToString()}});
  step_timer_.Cancel();
  waiting_.clear();
  running_.clear();
  loading_.reset();
  weights_ = {};
  reported_weights_ = {};
  adapters_.clear();
  cache_.clear();
  fencing_ = 0;
  // This function is called from the server, which must not be destroyed before
  // it returns.
  std::shared_ptr<HttpServer> old_server = std::move(server_);
  loop_->Post([old_server] {});
  restart_timer_ = loop_->After(kRestartDelay, [this] {
    auto started = Start();
    if (!started) PC_ERROR(kLab, started.error().message);
  });
}

}  // namespace primrosecove
