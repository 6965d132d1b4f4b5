// A UDP socket on an event loop.
#pragma once

#include <event2/event.h>

#include <functional>
#include <string_view>

#include "Core/Common/error.h"
#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

/// Sends and receives datagrams. Use it on its loop's thread only.
class UdpSocket {
 public:
  using Handler =
      std::function<void(std::string_view datagram, const Endpoint& from)>;

  UdpSocket(EventLoop* loop, Handler handler);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// Binds the socket; fails with kUnavailable when the address is in use.
  Result<void> Bind(const Endpoint& endpoint);
  /// Sends one datagram; a lost datagram is not reported. Precondition: Bind
  /// succeeded.
  void Send(std::string_view datagram, const Endpoint& to);

 private:
  static void OnReadable(evutil_socket_t fd, short what, void* arg);

  EventLoop* loop_;
  Handler handler_;
  evutil_socket_t fd_ = -1;
  event* ev_ = nullptr;
};

}  // namespace primrosecove
