// A caller for tests whose bytes reach a server's socket at once, whether or
// not the server's loop runs.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <string_view>

#include "Core/Net/endpoint.h"

namespace primrosecove {

/// One connection. Sending and receiving never block.
class RawCaller {
 public:
  explicit RawCaller(const Endpoint& endpoint)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = endpoint.ToSockaddr();
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~RawCaller() { close(fd_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(std::string_view bytes) const { SendSome(bytes); }
  /// Sends what the socket takes; returns the number of bytes.
  size_t SendSome(std::string_view bytes) const {
    ssize_t n =
        send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return n < 0 ? 0 : static_cast<size_t>(n);
  }
  /// Receives what has arrived, and returns whether the server has closed the
  /// connection.
  bool ended() {
    char buffer[4096];
    while (!ended_) {
      ssize_t n = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (n < 0 && errno == EAGAIN) break;
      if (n > 0) received_.append(buffer, static_cast<size_t>(n));
      ended_ = n <= 0;
    }
    return ended_;
  }
  /// Returns whether `text` has been received.
  bool has_received(std::string_view text) {
    ended();
    return received_.find(text) != std::string::npos;
  }
  const std::string& received() const { return received_; }

 private:
  int fd_;
  bool ended_ = false;
  std::string received_;
};

}  // namespace primrosecove
