// Compresses large news of a feed, so that they reach all entries over slow
// links. A configuration is repetitive text and compresses well.
//
//   wire::feed_news Packed = packNews(News);
//   if (std::optional<wire::feed_news> Unpacked = unpackNews(Packed)) ...

#ifndef ROUTING_FEED_PACKING_H
#define ROUTING_FEED_PACKING_H

#include <optional>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// News with less content than this, in bytes, are sent uncompressed, because
// the gain does not justify the processor time.
constexpr size_t min_packed_bytes = size_t{1} << 10;

// Returns the number of bytes of keys and values that the news hold.
size_t sizeOf(const wire::feed_news &News);

// Returns news with the same end offset and no records. A receiver that has not
// read up to this offset detects a gap and reads the store.
wire::feed_news gapNewsFor(const wire::feed_news &News);

// Returns the news in compressed form; small news are returned unchanged.
wire::feed_news packNews(wire::feed_news News);

// Returns nothing when the news are not compressed or are damaged.
std::optional<wire::feed_news> unpackNews(const wire::feed_news &News);

} // namespace monsoonreel

#endif // ROUTING_FEED_PACKING_H
