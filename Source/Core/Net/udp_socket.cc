#include "Core/Net/udp_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <utility>

namespace primrosecove {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
// Bounds the datagrams read in one wake-up, so that a flood does not starve the
// loop's other tasks.
constexpr int kMaxDatagramsPerWakeup = 64;

}  // namespace

UdpSocket::UdpSocket(EventLoop* loop, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {}

UdpSocket::~UdpSocket() {
  if (ev_ != nullptr) event_free(ev_);
  if (fd_ >= 0) close(fd_);
}

Result<void> UdpSocket::Bind(const Endpoint& endpoint) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = endpoint.ToSockaddr();
  if (fd_ < 0 ||
      bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    return Fail(
        ErrorCode::kUnavailable,
        "cannot bind UDP " + endpoint.ToString() + ": " + std::strerror(errno));
  }
  ev_ = event_new(loop_->base(), fd_, EV_READ | EV_PERSIST, OnReadable, this);
  event_add(ev_, nullptr);
  return outcome::success();
}

void UdpSocket::Send(std::string_view datagram, const Endpoint& to) {
  sockaddr_in address = to.ToSockaddr();
  // When the socket buffer is full the datagram is dropped, as the network may
  // drop it.
  (void)sendto(fd_, datagram.data(), datagram.size(), 0,
               reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void UdpSocket::OnReadable(evutil_socket_t fd, short, void* arg) {
  auto* self = static_cast<UdpSocket*>(arg);
  std::array<char, kMaxDatagramBytes> buf;
  for (int i = 0; i < kMaxDatagramsPerWakeup; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    ssize_t n = recvfrom(fd, buf.data(), buf.size(), 0,
                         reinterpret_cast<sockaddr*>(&from), &from_size);
    if (n < 0) return;
    self->handler_(std::string_view(buf.data(), static_cast<size_t>(n)),
                   Endpoint::FromSockaddr(from));
  }
}

}  // namespace primrosecove
