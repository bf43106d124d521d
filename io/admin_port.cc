#include "io/admin_port.h"

#include "monsoonreel/http_status.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

namespace {

const http_header_list plain_text = {
    {"Content-Type", "text/plain; charset=utf-8"}};
const http_header_list json = {{"Content-Type", "application/json"}};
const http_header_list metrics_text = {
    {"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}};

http_bounds adminBounds() {
  http_bounds Bounds;
  Bounds.BodyBytes = 64 << 10;
  Bounds.Connections = 64;
  Bounds.ConnectionsPerAddress = 32;
  return Bounds;
}

} // namespace

admin_port::admin_port(admin_source &Target)
    : Source(Target), Server(*this, adminBounds()) {}

bool admin_port::listen(const address &At) { return Server.listen(At); }

void admin_port::handleRequest(const http_request &Request,
                               const std::shared_ptr<http_exchange> &Exchange) {
  if (Request.Method == "POST" && Request.Path == "/drain") {
    Exchange->answer(http_status::accepted, json, "{\"draining\":true}\n");
    return Source.drain();
  }
  if (Request.Method != "GET")
    return Exchange->answer(http_status::method_not_allowed, plain_text,
                            "use GET\n");
  if (Request.Path == "/healthz")
    return Exchange->answer(http_status::ok, plain_text, "ok\n");
  if (Request.Path == "/readyz")
    return Source.isReady()
               ? Exchange->answer(http_status::ok, plain_text, "ready\n")
               : Exchange->answer(http_status::service_unavailable, plain_text,
                                  "not ready\n");
  if (Request.Path == "/metrics")
    return Exchange->answer(http_status::ok, metrics_text,
                            Source.metricsText());
  if (Request.Path == "/status")
    return Exchange->answer(http_status::ok, json, Source.statusJson());
  Exchange->answer(http_status::not_found, plain_text, "no such path\n");
}

} // namespace monsoonreel
