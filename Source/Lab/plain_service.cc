#include "Lab/plain_service.h"

#include <utility>

#include "Core/Routing/request_headers.h"

namespace primrosecove {

PlainService::PlainService(EventLoop* loop, Endpoint listen, uint64_t work_ms,
                           RecordFile* record)
    : loop_(loop),
      listen_(std::move(listen)),
      work_ms_(work_ms),
      record_(record),
      server_(loop, {}, [this](const auto& exchange) { Handle(exchange); }) {}

void PlainService::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& req = exchange->request();
  record_->Write(
      {{"kind", "run"},
       {"at_ms", WallClockMs()},
       {"service", listen_.ToString()},
       {"id", req.headers.Find("X-Lab-Id").value_or("")},
       {"key", req.headers.Find(kIdempotencyKeyHeader).value_or("")}});
  auto timer = std::make_shared<Timer>();
  *timer = loop_->After(Milliseconds(work_ms_), [exchange, timer] {
    exchange->Respond(200, {{"Content-Type", "text/plain"}},
                      "echo " + exchange->request().method + " " +
                          exchange->request().target + " " +
                          exchange->request().body);
  });
}

}  // namespace primrosecove
