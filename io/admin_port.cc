#include "io/admin_port.h"

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

bool admin_port::listen(const address &At) {
  auto Parts = splitAddress(At);
  return Parts &&
         Server.listen(QHostAddress(QString::fromStdString(Parts->Host)),
                       Parts->Port);
}

void admin_port::handleRequest(const http_request &Request,
                               const std::shared_ptr<http_exchange> &Exchange) {
  if (Request.Method == "POST" && Request.Path == "/drain") {
    Exchange->answer(202, json, "{\"draining\":true}\n");
    return Source.drain();
  }
  if (Request.Method != "GET")
    return Exchange->answer(405, plain_text, "use GET\n");
  if (Request.Path == "/healthz")
    return Exchange->answer(200, plain_text, "ok\n");
  if (Request.Path == "/readyz")
    return Source.isReady() ? Exchange->answer(200, plain_text, "ready\n")
                            : Exchange->answer(503, plain_text, "not ready\n");
  if (Request.Path == "/metrics")
    return Exchange->answer(200, metrics_text, Source.metricsText());
  if (Request.Path == "/status")
    return Exchange->answer(200, json, Source.statusJson());
  Exchange->answer(404, plain_text, "no such path\n");
}

} // namespace monsoonreel
