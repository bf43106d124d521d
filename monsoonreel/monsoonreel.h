// The library of monsoonreel: every decision of the system's nodes, without
// I/O, clocks or threads.
//
// A program that embeds it reads its settings, builds a node, and then passes
// events to the node and executes the effects that it returns:
//
//   auto Settings = parseSettings(Text, "entry-1.yaml");
//   if (!Settings)
//     return printFindings(Settings.error());
//   std::unique_ptr<node> Node = entry_node_builder(identityOf(*Settings))
//                                    .seeds(Settings->Seeds)
//                                    .policy(Settings->Policy)
//                                    .build();
//   for (;;) {
//     event Event = waitForEvent(); // a request, a message, a tick, ...
//     effect_list Effects;
//     Node->handle(Event, Effects);
//     for (const effect &Effect : Effects)
//       carryOut(Effect);           // dispatch, send, answer, append, ...
//   }
//
// Public headers:
//
//   types.h          names, times, incarnations and offsets
//   event.h          the inputs of a node
//   effect.h         the actions that a node can request
//   node.h           the node itself
//   node_builder.h   how an entry and a steward are built
//   settings.h       the settings of one process, validated
//   configuration.h  the configuration that operators change at run time,
//                    validated
//   configuration_page.h  the reference page of all keys, with yaml_field.h
//   questionnaire.h  the answers that a configuration is generated from
//   document_difference.h  edits of the configuration
//   burn_report.h    service-level burn, with burn_sample.h and burn_counter.h
//   finding.h        errors in an input, with their positions
//   address.h        validates and parses addresses
//   incarnation.h    the number that distinguishes two runs of a process
//   ledger.h         the replay of the log, for programs that read it
//   wire.h           codec of the messages and log records
//
// A node must not be used by two threads at once. Nodes share no state. All
// other headers of this folder are internal.

#ifndef MONSOONREEL_MONSOONREEL_H
#define MONSOONREEL_MONSOONREEL_H

#include "monsoonreel/address.h"
#include "monsoonreel/burn_counter.h"
#include "monsoonreel/burn_report.h"
#include "monsoonreel/burn_sample.h"
#include "monsoonreel/configuration.h"
#include "monsoonreel/configuration_page.h"
#include "monsoonreel/document_difference.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/finding.h"
#include "monsoonreel/incarnation.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/node.h"
#include "monsoonreel/node_builder.h"
#include "monsoonreel/questionnaire.h"
#include "monsoonreel/settings.h"
#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

#endif // MONSOONREEL_MONSOONREEL_H
