// Runs a routing node: input becomes events, effects become output.
//
//   routing_runtime Runtime(Identity, Addresses, Parts);
//   if (!Runtime.start())
//     return 1;
//   return Application.exec();
//
// Everything happens in the thread of the Qt event loop, one event at a time.
// SIGTERM asks the node to drain; the event loop ends when nothing is under way
// any more, or when the time for it is over.

#ifndef IO_ROUTING_RUNTIME_H
#define IO_ROUTING_RUNTIME_H

#include <deque>
#include <functional>
#include <memory>

#include <QTimer>

#include "absl/container/flat_hash_map.h"

#include "io/datagram_port.h"
#include "io/event_sink.h"
#include "io/line_budget.h"
#include "io/metric_registry.h"
#include "io/peer_transport.h"
#include "io/platform_port.h"
#include "io/signal_watcher.h"
#include "io/wire_dialect.h"

namespace monsoonreel {

struct routing_addresses {
  address Callers;
  address Readiness;
  std::string ReadinessPath;
  address Metrics; // empty: none are served
};

// A byte of a large body takes up to this many of a process' memory limit: it
// is in the request that is handed on, in the one that is kept, in each attempt
// and in what is not sent yet, and half of the memory is for everything else.
constexpr int64_t memory_per_large_body_byte = 8;

struct routing_parts {
  routing_node &Node;
  const wire_dialect &Dialect;
  platform_port &Platform;
};

// The part of the memory for what else is held for callers' connections. With
// large bodies, which may take half of it, and a second time this part for
// copies and the kernel's buffers, a quarter is left for everything else.
constexpr int64_t memory_per_held_byte = 8;

// Descriptors that the platform reserves for files.
constexpr int file_descriptors = 200;

// What the kernel may receive for a caller's connection and is not read yet; it
// counts as memory of this process.
constexpr int caller_receive_buffer = 32 << 10;

// Above this many bytes that a caller has not taken, its upstream is not read.
// The kernel holds up to 128 KiB more for the connection (TCP_NOTSENT_LOWAT),
// so the caller has something to read until the upstream's next bytes come.
constexpr int64_t max_unread_answer_bytes = 64 << 10;

class routing_runtime : public event_sink,
                        public routing_event_sink,
                        private http_server_observer {
public:
  // Parts have to live longer than the runtime. ShutdownTime: from the request
  // to end until the process is killed.
  routing_runtime(const node_identity &Identity, routing_addresses Addresses,
                  routing_parts Parts, duration ShutdownTime);
  ~routing_runtime() override;

  // Listens and begins to tick. Returns false, after a log line, when an
  // address can't be had.
  bool start();
  // Bounds what callers and peers can make this process hold by the memory that
  // it may use. To be called before `start`.
  void setMemoryLimit(int64_t Bytes);
  // Bounds the connections by the descriptors that this process may have. To be
  // called before `start`.
  void setDescriptorLimit(int Descriptors);
  // Called for every SIGHUP.
  void setOnReload(std::function<void()> Reload) {
    OnReload = std::move(Reload);
  }

  void post(event_body Event) override;
  void post(routing_event_body Event) override;

private:
  class caller_handler;
  class readiness_handler;
  class metrics_handler;
  class attempt_handler;
  friend class attempt_handler;

  // A caller's request and the answer to it.
  struct open_request {
    std::string CallerId;
    http_request Message;
    std::shared_ptr<http_exchange> Exchange;
    call_id Call;      // of the newest attempt
    bool Lags = false; // the upstream is not read, as the caller is slow
    // Heads of the attempts that have answered.
    absl::flat_hash_map<attempt_number, http_reply_head> Heads;
  };

  void onRequest(const http_request &Message,
                 const std::shared_ptr<http_exchange> &Exchange);
  void handle(routing_event_body Event);
  void apply(const route_refusal &Effect);
  void apply(const route_begin &Effect);
  void apply(const route_write &Effect);
  void apply(const route_finish &Effect);
  void apply(const route_abort &Effect);
  void apply(const route_answer &Effect);
  void apply(const route_dispatch &Effect);
  void apply(const route_cancel &Effect);
  void apply(const apply_bounds &Effect);
  void apply(const set_ready &Effect) { Ready = Effect.Ready; }
  void apply(const stop_accepting &Effect);
  void apply(const send_message &Effect);
  void apply(const send_datagrams &Effect);
  void countLost(const char *Reason, int64_t Datagrams);
  void apply(const reset_link &Effect) { Peers.resetLink(Effect.ToAddress); }
  void apply(const log_line &Effect);
  void apply(const count_metric &Effect) { Metrics.count(Effect); }
  void apply(const observe_metric &Effect) { Metrics.observe(Effect); }
  void apply(const set_gauge &Effect) { Metrics.set(Effect); }
  void apply(const drain_finished &Effect);
  void apply(const broadcast_to_entries & /*Effect*/) {} // resolved by the node
  template <typename T> void apply(const T &Effect) {
    Platform.carryOut(Effect);
  }

  void onTick();
  http_bounds callerBounds() const;
  void onConnectionShed(const shed_connection &Shed) override;
  void drain();
  void finish();
  void onSignal(int Signal);
  open_request *find(request_id Request);
  void forget(request_id Request);
  void holdBackUpstream(request_id Id, open_request &Request);

  node_identity Identity;
  routing_addresses Addresses;
  routing_node &Node;
  const wire_dialect &Dialect;
  platform_port &Platform;
  duration ShutdownTime;
  metric_registry Metrics;
  peer_transport Peers;
  datagram_port Datagrams;
  channel_pool Upstreams;
  line_budget Lines;
  std::unique_ptr<caller_handler> Callers;
  std::unique_ptr<readiness_handler> Readiness;
  std::unique_ptr<metrics_handler> MetricsPage;
  std::unique_ptr<http_server> CallerServer;
  std::unique_ptr<http_server> ReadinessServer;
  std::unique_ptr<http_server> MetricsServer;
  std::unique_ptr<signal_watcher> Signals;
  std::function<void()> OnReload;
  QTimer Ticks;
  caller_bounds Bounds; // of the configuration in force
  memory_limits CallerMemory = http_bounds().memory();
  int CallerConnections = 0; // 0: the server's default
  peer_limits PeerLimits;
  bool Ready = false;
  bool Handling = false;
  bool Draining = false;
  int64_t LastRequest = 0;
  std::deque<routing_event_body> Waiting;
  absl::flat_hash_map<request_id, std::unique_ptr<open_request>> Requests;
  absl::flat_hash_map<attempt_number, request_id> RequestOf;
  absl::flat_hash_map<attempt_number, call_id> CallOf;
};

} // namespace monsoonreel

#endif // IO_ROUTING_RUNTIME_H
