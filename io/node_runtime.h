// Runs a node: input becomes events, effects become output.
//
//   node_identity Identity = identityOf(Settings);
//   std::unique_ptr<node> Node = entry_node_builder(Identity)...build();
//   node_runtime Runtime(Identity, Settings, *Node);
//   if (!Runtime.start())
//     return 1;
//   return Application.exec();
//
// Everything happens in the thread of the Qt event loop, one event at a time.
// SIGTERM and SIGINT, or POST /drain on the admin port, ask the node to drain;
// the event loop ends when the node has finished what runs.

#ifndef IO_NODE_RUNTIME_H
#define IO_NODE_RUNTIME_H

#include <deque>
#include <memory>

#include <QTimer>

#include "absl/container/flat_hash_map.h"

#include "io/admin_port.h"
#include "io/caller_port.h"
#include "io/clock.h"
#include "io/event_sink.h"
#include "io/load_poller.h"
#include "io/metric_registry.h"
#include "io/peer_transport.h"
#include "io/platform_client.h"
#include "io/signal_watcher.h"
#include "io/upstream_client.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// The identity of this run of the process: its incarnation is the wall clock.
node_identity identityOf(const settings &Settings);

// How long connections are given to end after the last answer of a drain, so
// that a request that is under way gets its refusal in place of a reset.
constexpr duration drain_linger = std::chrono::seconds(1);

class node_runtime : public event_sink,
                     public upstream_listener,
                     public admin_source {
public:
  // Node has to live longer than the runtime.
  node_runtime(const node_identity &Identity, const settings &Settings,
               node &Node);
  ~node_runtime() override;

  // Listens and begins to tick. Returns false, after a log line, when an
  // address can't be had.
  bool start();
  uint16_t callerPort() const { return Callers->port(); }
  uint16_t adminPort() const { return Admin.port(); }

  void post(event_body Event) override;
  void onAttemptEvent(event_body Event) override;
  bool hasRoom(attempt_number Attempt) override;
  bool isReady() const override;
  std::string metricsText() override;
  std::string statusJson() const override;
  void drain() override;

private:
  void handle(event_body Event);
  void carryOut(effect &Effect);

  void apply(const dispatch_attempt &Effect);
  void apply(const cancel_attempt &Effect);
  void apply(const report_breach &Effect);
  void apply(const log_line &Effect);
  void apply(const drain_finished &Effect);

  void forget(attempt_number Attempt);
  void quitWhenAnswered();

  node_identity Identity;
  settings Settings;
  node &Node;
  wall_time StartedAt = wallNow();
  metric_registry Metrics;
  upstream_client Upstreams;
  load_poller Loads;
  peer_transport Peers;
  platform_client Platform;
  std::unique_ptr<caller_port> Callers; // entries only
  admin_port Admin;
  QTimer Ticks;
  QTimer Quit;
  std::unique_ptr<signal_watcher> Signals;
  std::deque<event_body> Waiting;
  bool Handling = false;
  bool Draining = false;
  steady_time DrainDone;
  absl::flat_hash_map<attempt_number, request_id> RequestOf;
  absl::flat_hash_map<request_id, attempt_number> AttemptOf;
};

} // namespace monsoonreel

#endif // IO_NODE_RUNTIME_H
