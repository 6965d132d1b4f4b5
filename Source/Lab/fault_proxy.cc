#include "Lab/fault_proxy.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace primrosecove {

struct FaultProxy::Side {
  FaultProxy* proxy = nullptr;
  Link* link = nullptr;
  Side* opposite = nullptr;
  bufferevent* bev = nullptr;
  bool is_target = false;
};

struct FaultProxy::Link : std::enable_shared_from_this<FaultProxy::Link> {
  Side client;
  Side target;
  bool stalled = false;
  ~Link() {
    if (client.bev != nullptr) bufferevent_free(client.bev);
    if (target.bev != nullptr) bufferevent_free(target.bev);
  }
};

FaultProxy::FaultProxy(EventLoop* loop, ProxyOptions options)
    : loop_(loop), options_(std::move(options)), random_(options_.seed) {}

FaultProxy::~FaultProxy() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

Result<void> FaultProxy::Start() {
  sockaddr_in address = options_.listen.ToSockaddr();
  constexpr int kBacklog = 512;
  listener_ = evconnlistener_new_bind(
      loop_->base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    return Fail(ErrorCode::kUnavailable,
                "can't listen on " + options_.listen.ToString());
  }
  return outcome::success();
}

void FaultProxy::SetPartitioned(bool partitioned) {
  partitioned_ = partitioned;
  if (partitioned_) links_.clear();
}

void FaultProxy::OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                          void* arg) {
  auto* self = static_cast<FaultProxy*>(arg);
  if (self->partitioned_) {
    evutil_closesocket(fd);
    return;
  }
  auto link = std::make_shared<Link>();
  auto* base = self->loop_->base();
  link->client.bev = bufferevent_socket_new(
      base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  link->target.bev = bufferevent_socket_new(
      base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  link->target.is_target = true;
  link->client.opposite = &link->target;
  link->target.opposite = &link->client;
  for (Side* it : {&link->client, &link->target}) {
    it->proxy = self;
    it->link = link.get();
    bufferevent_setcb(it->bev, OnRead, nullptr, OnEvent, it);
    bufferevent_enable(it->bev, EV_READ | EV_WRITE);
  }
  sockaddr_in address = self->options_.target.ToSockaddr();
  bufferevent_socket_connect(
      link->target.bev, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  Link* raw = link.get();
  self->links_.emplace(raw, std::move(link));
}

void FaultProxy::OnRead(bufferevent* bev, void* arg) {
  auto* side = static_cast<Side*>(arg);
  evbuffer* buf = bufferevent_get_input(bev);
  std::string bytes(evbuffer_get_length(buf), '\0');
  evbuffer_remove(buf, bytes.data(), bytes.size());
  side->proxy->Forward(side, std::move(bytes));
}

void FaultProxy::Forward(Side* source, std::string bytes) {
  Link* link = source->link;
  if (link->stalled || bytes.empty()) return;
  if (ShouldInject(options_.stall_per_mille)) {
    link->stalled = true;
    return;
  }
  bool cut = ShouldInject(options_.cut_per_mille) ||
             (source->is_target && ShouldInject(options_.cut_reply_per_mille));
  if (cut) return Close(link);
  if (ShouldInject(options_.corrupt_per_mille))
    bytes[random_() % bytes.size()] ^= 1;
  bufferevent* destination = source->opposite->bev;
  if (options_.delay_ms == 0) {
    bufferevent_write(destination, bytes.data(), bytes.size());
    return;
  }
  auto timer = std::make_shared<Timer>();
  *timer =
      loop_->After(Milliseconds(options_.delay_ms),
                   [keep_alive = link->shared_from_this(), destination,
                    bytes = std::move(bytes), timer] {
                     bufferevent_write(destination, bytes.data(), bytes.size());
                   });
}

void FaultProxy::OnEvent(bufferevent*, short events, void* arg) {
  auto* side = static_cast<Side*>(arg);
  if (events & BEV_EVENT_CONNECTED) return;
  // The connection stays open for a while so that buffered and delayed data is
  // still written.
  auto keep_alive = side->link->shared_from_this();
  side->proxy->links_.erase(side->link);
  constexpr Milliseconds kFlushDelay{50};
  auto timer = std::make_shared<Timer>();
  *timer = side->proxy->loop_->After(
      kFlushDelay + Milliseconds(side->proxy->options_.delay_ms),
      [keep_alive, timer] {});
}

void FaultProxy::Close(Link* link) {
  auto it = links_.find(link);
  if (it == links_.end()) return;
  auto keep_alive = it->second;
  links_.erase(it);
  loop_->Post([keep_alive] {});
}

}  // namespace primrosecove
