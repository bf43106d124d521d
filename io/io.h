// The I/O layer: everything between the reducers of the library and the
// outside.
//
//   http_server      bounded HTTP/1.1 server
//   memory_account   what a server holds for its connections
//   upstream_client  requests to upstreams, each sent at most once
//   http_caller      small calls by HTTP
//   peer_transport   messages between the system's own processes
//   platform_client  the platform's log, usage, orders and VM list
//   node_runtime     runs a node on all of these
//
// All of it runs in one thread with a Qt event loop.

#ifndef IO_IO_H
#define IO_IO_H

#include "io/admin_port.h"
#include "io/caller_port.h"
#include "io/clock.h"
#include "io/daemon.h"
#include "io/http_call.h"
#include "io/http_server.h"
#include "io/load_poller.h"
#include "io/metric_registry.h"
#include "io/node_runtime.h"
#include "io/peer_transport.h"
#include "io/platform_client.h"
#include "io/upstream_client.h"

#endif // IO_IO_H
