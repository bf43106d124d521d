// Compresses large news of a feed, so that they reach all entries over small
// links: a configuration is repetitive text.
//
//   wire::feed_news Told = packNews(News);
//   if (std::optional<wire::feed_news> Unpacked = unpackNews(Told)) ...

#ifndef ROUTING_FEED_PACKING_H
#define ROUTING_FEED_PACKING_H

#include <optional>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Smaller news are not worth the time, in bytes.
constexpr size_t least_packed_bytes = size_t{1} << 10;

// Bytes of keys and values that the news hold.
size_t sizeOf(const wire::feed_news &News);

// News that tell of the same end and hold nothing: whoever has not read so far
// reads the store.
wire::feed_news gapOf(const wire::feed_news &News);

// The same news in fewer bytes; small ones as they are.
wire::feed_news packNews(wire::feed_news News);

// Empty when the news are not packed, or are damaged.
std::optional<wire::feed_news> unpackNews(const wire::feed_news &News);

} // namespace monsoonreel

#endif // ROUTING_FEED_PACKING_H
