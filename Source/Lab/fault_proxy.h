// A TCP proxy that injects network faults at random from a given seed.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

struct ProxyOptions {
  Endpoint listen;
  Endpoint target;
  uint64_t seed = 1;
  uint64_t delay_ms = 0;           ///< Added to each read in both directions.
  uint32_t corrupt_per_mille = 0;  ///< Reads in which one bit is flipped.
  uint32_t cut_per_mille = 0;      ///< Reads on which the connection is closed.
  uint32_t stall_per_mille =
      0;  ///< Reads from which on the connection forwards nothing.
  uint32_t cut_reply_per_mille =
      0;  ///< Reads from the target on which the connection is closed.
};

/// Forwards TCP connections to one target. Not thread safe.
class FaultProxy {
 public:
  FaultProxy(EventLoop* loop, ProxyOptions options);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  Result<void> Start();
  /// With `partitioned`, closes all connections and rejects new ones until it
  /// is called with false.
  void SetPartitioned(bool partitioned);

 private:
  struct Link;
  struct Side;
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* address, int size, void* arg);
  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short events, void* arg);
  void Forward(Side* source, std::string bytes);
  void Close(Link* link);
  bool ShouldInject(uint32_t per_mille) { return random_() % 1000 < per_mille; }

  EventLoop* loop_;
  ProxyOptions options_;
  std::mt19937_64 random_;
  evconnlistener* listener_ = nullptr;
  std::map<Link*, std::shared_ptr<Link>> links_;
  bool partitioned_ = false;
};

}  // namespace primrosecove
