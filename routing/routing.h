// The library of routing by host and path: an entry that forwards requests to
// the upstreams that a platform lists, without I/O, clocks or threads.
//
//   routing_node.h      the node and its builder
//   routing_event.h     everything that it can be told
//   routing_effect.h    everything that it can ask for
//   site_config.h       routes, services, organisations
//   listing_decoder.h   what an adapter to a platform implements
//
// All other headers of this folder are internal.

#ifndef ROUTING_ROUTING_H
#define ROUTING_ROUTING_H

#include "routing/decision_log.h"
#include "routing/listing_decoder.h"
#include "routing/routing_effect.h"
#include "routing/routing_event.h"
#include "routing/routing_node.h"
#include "routing/site_config.h"

#endif // ROUTING_ROUTING_H
