// Client of a model engine: load orders and reads of its state, JSON over HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Core/Common/digest.h"
#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/http_client.h"

namespace primrosecove {

/// Weights that an engine should run: a model's version or one of its adapters.
struct EngineWeights {
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty for the model itself.
  Digest manifest;

  bool operator==(const EngineWeights&) const = default;
};

/// The weights that an engine reports as loaded.
struct EngineState {
  uint64_t fencing = 0;  ///< The largest fencing number it accepted.
  std::string model;     ///< Empty if none is loaded.
  std::string version;
  Digest manifest;
  std::map<std::string, Digest> adapters;  ///< Manifest digest by adapter name.
};

/// Sends orders to one engine. Use it on its loop's thread only.
class EngineClient {
 public:
  using StateCallback = std::function<void(Result<EngineState>)>;
  using DoneCallback = std::function<void(Result<void>)>;
  virtual ~EngineClient() = default;
  /// Reads the weights that the engine has loaded.
  virtual void ReadState(StateCallback done) = 0;
  /// Orders the engine to load weights, which it fetches from `source`. `done`
  /// runs when the engine has loaded or refused them; fails with kConflict if
  /// the engine accepted a larger fencing number before.
  virtual void Load(const EngineWeights& weights, uint64_t fencing,
                    const Endpoint& source, DoneCallback done) = 0;
  /// Orders the engine to unload an adapter; fails like Load.
  virtual void UnloadAdapter(const std::string& adapter, uint64_t fencing,
                             DoneCallback done) = 0;
};

/// The engine's protocol: GET /orders/state, POST /orders/load and POST
/// /orders/unload. At most one read and one order are in flight; a new one
/// cancels the previous one of its kind.
class HttpEngineClient : public EngineClient {
 public:
  HttpEngineClient(EventLoop* loop, Endpoint endpoint,
                   Milliseconds load_timeout);
  void ReadState(StateCallback done) override;
  void Load(const EngineWeights& weights, uint64_t fencing,
            const Endpoint& source, DoneCallback done) override;
  void UnloadAdapter(const std::string& adapter, uint64_t fencing,
                     DoneCallback done) override;

 private:
  void SendOrder(const std::string& path, std::string body, DoneCallback done);

  HttpClient client_;
  Endpoint endpoint_;
  Milliseconds load_timeout_;
  std::unique_ptr<HttpCall> read_call_;
  std::unique_ptr<HttpCall> order_call_;
};

}  // namespace primrosecove
