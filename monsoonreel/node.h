// A node: the reducer of one process.
//
//   effect_list Effects;
//   Node->handle({Now, Wall, Random, tick{}}, Effects);
//   for (const effect &E : Effects)
//     carryOut(E);
//
// All decisions of a process are taken here. `handle` depends on nothing but
// the node's state and the event, so the same events give the same effects.

#ifndef MONSOONREEL_NODE_H
#define MONSOONREEL_NODE_H

#include <string>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"

namespace monsoonreel {

class node {
public:
  virtual ~node() = default;
  // Appends to Effects what has to be done about Event.
  virtual void handle(const event &Event, effect_list &Effects) = 0;
  // The node's state for operators, as a JSON object.
  virtual std::string statusJson() const = 0;
};

// Who a process is, from its settings.
struct node_identity {
  node_name Name;
  zone_name Zone;
  address Address; // of its peer listener
  incarnation Incarnation;
  int Capacity = 0; // share of a core in thousandths; 0: not known
};

} // namespace monsoonreel

#endif // MONSOONREEL_NODE_H
