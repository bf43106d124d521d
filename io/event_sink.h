// Where the parts of the I/O layer put the events that they make.

#ifndef IO_EVENT_SINK_H
#define IO_EVENT_SINK_H

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

class event_sink {
public:
  virtual ~event_sink() = default;
  // Hands Event to the node, at once or after the event that is being handled.
  virtual void post(event_body Event) = 0;
};

} // namespace monsoonreel

#endif // IO_EVENT_SINK_H
