// Messages between the system's own processes and records of the log, with
// their codec.
//
//   std::string Frame = encodeMessage(wire::peer_message(Ask));
//   tl::expected<wire::peer_message, wire_error> Back = decodeMessage(Frame);
//
// A frame is one byte with the message number, followed by the message in
// Thrift's compact protocol. Input is not trusted: its size is checked before
// decoding, and any bytes decode to either a message or a `wire_error`.

#ifndef MONSOONREEL_WIRE_H
#define MONSOONREEL_WIRE_H

#include <cstddef>
#include <string>
#include <variant>

#include <tl/expected.hpp>

#include "wire/gen/routing_types.h"
#include "wire/gen/wire_types.h"

namespace monsoonreel {

namespace wire {

// A message's number on the wire is its index in this list, so new types are
// added at the end.
using peer_message = std::variant<
    heartbeat, heartbeat_ack, probe_request, state_pull, state_push, claim_ask,
    claim_answer, claim_settle, claim_settled, usage_offer, usage_accepted,
    usage_hold, usage_held, usage_release, slot_ask, slot_grant, slot_refuse,
    slot_release, slot_cancel, slot_preempt, slot_renew, slot_queued,
    entry_report, feed_news, usage_report, relay_report, placement_ask,
    placement_grant, figure_request, figure_reply>;

} // namespace wire

// Largest encoded message or record that is accepted, in bytes.
constexpr size_t max_frame_bytes = size_t{4} << 20;

struct wire_error {
  std::string Message;
};

// The type name in wire.thrift of the message with this number, such as
// "slot_ask", for metrics. Number is an index of wire::peer_message.
const char *messageName(size_t Number);

std::string encodeMessage(const wire::peer_message &Message);
tl::expected<wire::peer_message, wire_error>
decodeMessage(const std::string &Frame);

std::string encodeRecord(const wire::log_record &Record);
tl::expected<wire::log_record, wire_error>
decodeRecord(const std::string &Bytes);

// Records of the duty log, see routing/duty_log.h.
std::string encodeDutyRecord(const wire::duty_record &Record);
tl::expected<wire::duty_record, wire_error>
decodeDutyRecord(const std::string &Bytes);

// A feed_news struct without the message number, see routing/feed_packing.h.
std::string encodeFeedNews(const wire::feed_news &News);
tl::expected<wire::feed_news, wire_error>
decodeFeedNews(const std::string &Bytes);

// Snapshots of a replayed stream.
std::string encodeState(const wire::ledger_state &State);
std::string encodeState(const wire::claims_state &State);
tl::expected<wire::ledger_state, wire_error>
decodeLedgerState(const std::string &Bytes);
tl::expected<wire::claims_state, wire_error>
decodeClaimsState(const std::string &Bytes);

} // namespace monsoonreel

#endif // MONSOONREEL_WIRE_H
