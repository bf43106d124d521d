// The calls of a routing entry to the platform. An adapter implements it and
// posts what comes of each call as an event.

#ifndef IO_PLATFORM_PORT_H
#define IO_PLATFORM_PORT_H

#include "routing/routing.h"

namespace monsoonreel {

class routing_event_sink {
public:
  virtual ~routing_event_sink() = default;
  virtual void post(routing_event_body Event) = 0;
};

class platform_port {
public:
  virtual ~platform_port() = default;
  virtual void carryOut(const read_feed &Effect) = 0;
  virtual void carryOut(const cancel_feed_read &Effect) = 0;
  virtual void carryOut(const append_duty &Effect) = 0;
  virtual void carryOut(const read_duty_log &Effect) = 0;
  // The lease is checked right before: see `report_usage`.
  virtual void carryOut(const report_usage &Effect) = 0;
  virtual void carryOut(const order_capacity &Effect) = 0;
};

} // namespace monsoonreel

#endif // IO_PLATFORM_PORT_H
