#include "monsoonreel/wire.h"

#include <array>
#include <cstdint>
#include <exception>
#include <memory>
#include <utility>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace monsoonreel {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// No valid message is nested this deeply.
constexpr int max_nesting = 16;

template <typename T> std::string encodeStruct(const T &Value) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

template <typename T>
tl::expected<T, wire_error> decodeStruct(const char *Data, size_t Size) {
  if (Size > max_frame_bytes)
    return tl::unexpected(wire_error{"frame of " + std::to_string(Size) +
                                     " bytes exceeds the limit"});
  auto Limits = std::make_shared<TConfiguration>(
      static_cast<int>(max_frame_bytes), static_cast<int>(max_frame_bytes),
      max_nesting);
  // The buffer only reads the bytes, but Thrift's interface requires a mutable
  // pointer.
  auto *Bytes = reinterpret_cast<uint8_t *>(const_cast<char *>(Data));
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Bytes, static_cast<uint32_t>(Size), TMemoryBuffer::OBSERVE, Limits);
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer, static_cast<int32_t>(Size),
                                            static_cast<int32_t>(Size));
  try {
    T Value;
    Value.read(&Protocol);
    return Value;
  } catch (const std::exception &E) {
    return tl::unexpected(wire_error{E.what()});
  }
}

template <size_t Index>
tl::expected<wire::peer_message, wire_error> decodeAs(const char *Data,
                                                      size_t Size) {
  using message = std::variant_alternative_t<Index, wire::peer_message>;
  auto Decoded = decodeStruct<message>(Data, Size);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  return wire::peer_message(std::in_place_index<Index>, std::move(*Decoded));
}

using decoder = tl::expected<wire::peer_message, wire_error> (*)(const char *,
                                                                 size_t);

template <size_t... Indices>
constexpr auto makeDecoders(std::index_sequence<Indices...>) {
  return std::array<decoder, sizeof...(Indices)>{&decodeAs<Indices>...};
}

constexpr auto Decoders = makeDecoders(
    std::make_index_sequence<std::variant_size_v<wire::peer_message>>());

// Thrift's generated types don't contain their names, so the names are listed
// here in the order of the variant. The static_assert detects a missing one.
constexpr std::array MessageNames = {
    "heartbeat",      "heartbeat_ack", "probe_request",  "state_pull",
    "state_push",     "claim_ask",     "claim_answer",   "claim_settle",
    "claim_settled",  "usage_offer",   "usage_accepted", "usage_hold",
    "usage_held",     "usage_release", "slot_ask",       "slot_grant",
    "slot_refuse",    "slot_release",  "slot_cancel",    "slot_preempt",
    "slot_renew",     "slot_queued",   "entry_report",   "feed_news",
    "usage_report",   "relay_report",  "placement_ask",  "placement_grant",
    "figure_request", "figure_reply"};
static_assert(MessageNames.size() == std::variant_size_v<wire::peer_message>);

} // namespace

const char *messageName(size_t Number) { return MessageNames.at(Number); }

std::string encodeMessage(const wire::peer_message &Message) {
  std::string Frame(1, static_cast<char>(Message.index()));
  std::visit([&](const auto &M) { Frame += encodeStruct(M); }, Message);
  return Frame;
}

tl::expected<wire::peer_message, wire_error>
decodeMessage(const std::string &Frame) {
  if (Frame.empty())
    return tl::unexpected(wire_error{"empty frame"});
  size_t Number = static_cast<uint8_t>(Frame[0]);
  if (Number >= Decoders.size())
    return tl::unexpected(
        wire_error{"unknown message number " + std::to_string(Number)});
  return Decoders[Number](Frame.data() + 1, Frame.size() - 1);
}

std::string encodeRecord(const wire::log_record &Record) {
  return encodeStruct(Record);
}

tl::expected<wire::log_record, wire_error>
decodeRecord(const std::string &Bytes) {
  return decodeStruct<wire::log_record>(Bytes.data(), Bytes.size());
}

std::string encodeDutyRecord(const wire::duty_record &Record) {
  return encodeStruct(Record);
}

tl::expected<wire::duty_record, wire_error>
decodeDutyRecord(const std::string &Bytes) {
  return decodeStruct<wire::duty_record>(Bytes.data(), Bytes.size());
}

std::string encodeFeedNews(const wire::feed_news &News) {
  return encodeStruct(News);
}

tl::expected<wire::feed_news, wire_error>
decodeFeedNews(const std::string &Bytes) {
  return decodeStruct<wire::feed_news>(Bytes.data(), Bytes.size());
}

std::string encodeState(const wire::ledger_state &State) {
  return encodeStruct(State);
}

std::string encodeState(const wire::claims_state &State) {
  return encodeStruct(State);
}

tl::expected<wire::ledger_state, wire_error>
decodeLedgerState(const std::string &Bytes) {
  return decodeStruct<wire::ledger_state>(Bytes.data(), Bytes.size());
}

tl::expected<wire::claims_state, wire_error>
decodeClaimsState(const std::string &Bytes) {
  return decodeStruct<wire::claims_state>(Bytes.data(), Bytes.size());
}

} // namespace monsoonreel
