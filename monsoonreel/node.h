// A node: the reducer of one process.
//
//   effect_list Effects;
//   Node->handle({Now, Wall, Random, tick{}}, Effects);
//   for (const effect &E : Effects)
//     carryOut(E);
//
// A node makes all decisions of its process. `handle` depends only on the
// node's state and the event, so the same events give the same effects.

#ifndef MONSOONREEL_NODE_H
#define MONSOONREEL_NODE_H

#include <string>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"

namespace monsoonreel {

class node {
public:
  virtual ~node() = default;
  // Processes Event and appends the resulting actions to Effects.
  virtual void handle(const event &Event, effect_list &Effects) = 0;
  // The node's state for operators, as a JSON object.
  virtual std::string statusJson() const = 0;
};

// Identity of a process, from its settings.
struct node_identity {
  node_name Name;
  zone_name Zone;
  address Address; // of its peer listener
  incarnation Incarnation;
  int Capacity = 0; // in thousandths of a CPU core; 0: unknown
};

} // namespace monsoonreel

#endif // MONSOONREEL_NODE_H
