// Library for routing by host and path: an entry that forwards requests to the
// upstreams that a platform lists. It uses no I/O, clocks or threads.
//
//   routing_node.h      the node and its builder
//   routing_event.h     the events that the node handles
//   routing_effect.h    the effects that the node requests
//   site_config.h       routes, services, organisations
//   listing_decoder.h   the interface that an adapter to a platform implements
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
