// The library of monsoonreel: every decision of the system's nodes, without
// I/O, clocks or threads.
//
// A program that embeds it reads its settings, builds a node, and from then on
// hands it events and carries out the effects that come back:
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
// What stands where:
//
//   types.h          names, times, incarnations and offsets
//   event.h          everything that a node can be told
//   effect.h         everything that a node can ask for
//   node.h           the node itself
//   node_builder.h   how an entry and a steward are built
//   settings.h       a process' own settings, checked
//   configuration.h  what operators apply while traffic runs, checked
//   configuration_page.h  the page of all keys, with yaml_field.h
//   questionnaire.h  the answers that a configuration is generated from
//   document_difference.h  edits of the configuration
//   burn_report.h    service-level burn, with burn_sample.h and burn_counter.h
//   finding.h        faults of an input, with their places
//   address.h        addresses
//   incarnation.h    the number that tells two runs of a process apart
//   ledger.h         the replay of the log, for programs that read it
//   wire.h           codec of the messages and log records
//
// A node is used by one thread at a time. Two nodes share nothing. All other
// headers of this folder are internal.

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
