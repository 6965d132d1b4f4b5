// A server for tests that sends scripted bytes, valid or not.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/Net/endpoint.h"
#include "Core/Net/event_loop.h"

namespace primrosecove {

// Sends the next scripted response to each request head that it receives: raw
// bytes, then optionally others without end, or a close or reset of the
// connection.
class RawServer {
 public:
  enum class End { kKeepOpen, kClose, kReset };
  struct ScriptedResponse {
    std::string bytes;
    End end = End::kKeepOpen;
    std::string repeated;    // Sent again and again afterwards.
    Milliseconds period{0};  // Between these; 0: as fast as they are read.
  };

  RawServer(EventLoop* loop, const Endpoint& endpoint) : loop_(loop) {
    sockaddr_in address = endpoint.ToSockaddr();
    listener_ = evconnlistener_new_bind(
        loop->base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        16, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    REQUIRE(listener_ != nullptr);
  }
  ~RawServer() {
    for (bufferevent* it : open_) bufferevent_free(it);
    evconnlistener_free(listener_);
  }
  void Add(ScriptedResponse response) {
    responses_->push_back(std::move(response));
  }
  // Takes the next responses from those of another server, so that their order
  // holds whichever of both a request reaches.
  void ShareResponses(RawServer* other) { responses_ = other->responses_; }
  int accepted() const { return accepted_; }
  // Request heads received.
  int requests() const { return requests_; }
  // Bytes sent that `repeated` adds.
  size_t repeated_bytes() const { return repeated_bytes_; }

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    ++self->accepted_;
    bufferevent* bev =
        bufferevent_socket_new(self->loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, OnRead, OnWritten, OnEnd, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    self->open_.push_back(bev);
  }
  static void OnRead(bufferevent* bev, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    evbuffer* in = bufferevent_get_input(bev);
    if (evbuffer_search(in, "\r\n\r\n", 4, nullptr).pos < 0) return;
    evbuffer_drain(in, evbuffer_get_length(in));
    ++self->requests_;
    if (self->responses_->empty()) return;
    ScriptedResponse response = self->responses_->front();
    self->responses_->pop_front();
    self->answered_.insert(bev);
    self->end_ = response.end;
    self->repeated_ = response.repeated;
    self->period_ = response.period;
    bufferevent_write(bev, response.bytes.data(), response.bytes.size());
    if (response.bytes.empty()) OnWritten(bev, arg);
  }
  // The client has closed the connection.
  static void OnEnd(bufferevent* bev, short, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    self->repeat_timer_.Cancel();
    std::erase(self->open_, bev);
    self->answered_.erase(bev);
    bufferevent_free(bev);
  }
  void Repeat(bufferevent* bev) {
    repeated_bytes_ += repeated_.size();
    bufferevent_write(bev, repeated_.data(), repeated_.size());
  }
  static void OnWritten(bufferevent* bev, void* arg) {
    auto* self = static_cast<RawServer*>(arg);
    // It has not sent a request yet.
    if (!self->answered_.contains(bev)) return;
    if (!self->repeated_.empty()) {
      if (self->period_ == Milliseconds(0)) return self->Repeat(bev);
      self->repeat_timer_ =
          self->loop_->After(self->period_, [self, bev] { self->Repeat(bev); });
      return;
    }
    End end = std::exchange(self->end_, End::kKeepOpen);
    if (end == End::kKeepOpen) return;
    std::erase(self->open_, bev);
    self->answered_.erase(bev);
    if (end == End::kClose) return bufferevent_free(bev);
    // A reset discards bytes that the client has not read, so it is delayed.
    self->resets_.push_back(self->loop_->After(Milliseconds(60), [bev] {
      linger reset{1, 0};
      setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
      bufferevent_free(bev);
    }));
  }

  EventLoop* loop_;
  evconnlistener* listener_;
  std::vector<bufferevent*> open_;
  std::set<bufferevent*> answered_;  // Connections with a response.
  std::shared_ptr<std::deque<ScriptedResponse>> responses_ =
      std::make_shared<std::deque<ScriptedResponse>>();
  std::vector<Timer> resets_;
  std::string repeated_;
  Milliseconds period_{0};
  Timer repeat_timer_;
  size_t repeated_bytes_ = 0;
  End end_ = End::kKeepOpen;
  int accepted_ = 0;
  int requests_ = 0;
};

}  // namespace primrosecove
