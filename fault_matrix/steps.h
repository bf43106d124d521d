// The steps of the system's protocols, and the faults that can strike them.
//
// A step is one transmission of one kind: a message between processes, a call
// to the platform or its answer, an attempt at an upstream or its answer. Each
// message and record type is named in steps.cc and then gets every fault.

#ifndef MONSOONREEL_FAULT_MATRIX_STEPS_H
#define MONSOONREEL_FAULT_MATRIX_STEPS_H

#include <string>
#include <vector>

#include "monsoonreel/wire.h"

namespace monsoonreel::fault_matrix {

// "message/slot_ask", "append/usage_close", "dispatch/request" and so on.
using step_name = std::string;

step_name stepOf(const wire::peer_message &Message);
// Prefix is "append" or "append-answer".
step_name stepOf(const std::string &Prefix, const wire::log_record &Record);

// Every step that exists.
std::vector<step_name> allSteps();

enum class fault {
  Lost,            // never arrives
  Delayed,         // arrives `long_delay` later
  Doubled,         // arrives twice
  Stalled,         // arrives `stall_time` later
  Reordered,       // arrives after what was sent later
  AnswerLost,      // takes effect, and its answer never arrives
  SenderKilled,    // the sender dies right after sending
  ReceiverKilled,  // the receiver dies just before it arrives
  SenderFrozen,    // the sender stops for longer than a lease
  ReceiverFrozen,  // the receiver stops for longer than a lease
  ZoneCutPeers,    // the sender's zone loses the other zones
  ZoneCutPlatform, // the sender's zone loses the platform
  ZoneCutBoth,     // the sender's zone loses both
  ZoneCutLog,      // the sender's zone loses the log; its reports and orders
                   // arrive late, and their answers never
  PlatformOut,     // the platform answers nobody
  PlatformSlow,    // the platform answers late
  OperatorsRace,   // two operators edit the same version at once
  UpstreamCrash,   // an upstream loses all it runs and refuses for a while
  UpstreamSilent,  // an upstream's open connections go silent for good
  ZoneReclaimed,   // all cheap upstreams of a zone leave
};

const std::vector<fault> &allFaults();
std::string toText(fault Fault);

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_STEPS_H
