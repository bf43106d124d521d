// Encodes a configuration document as the difference from another one.
//
//   wire::config_edit Edit = makeEdit(Base, BaseDocument, Document, Author);
//   std::optional<std::string> Document =
//       applyDifference(BaseDocument, Edit.Difference);
//
// An edit names the version that it was made from, and is void when another
// version is in force. Every node that replays a valid edit therefore has its
// base document, so that the log and the messages that distribute it only carry
// the changes. A difference contains the hash of its result and is rejected
// when the result has another hash.

#ifndef MONSOONREEL_DOCUMENT_DIFFERENCE_H
#define MONSOONREEL_DOCUMENT_DIFFERENCE_H

#include <cstddef>
#include <optional>
#include <string>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// Differences with more pieces than this are rejected.
constexpr size_t max_document_pieces = 4096;

// The difference that turns Base into Document. It copies whole lines of Base
// where possible.
wire::document_difference differenceBetween(const std::string &Base,
                                            const std::string &Document);

// Applies Difference to Base. Returns nullopt when Difference has too many
// pieces, a piece lies outside of Base, the result is larger than a record may
// be, or the hash of the result is not the expected one.
std::optional<std::string>
applyDifference(const std::string &Base,
                const wire::document_difference &Difference);

// Makes the edit that replaces BaseDocument, the version of offset Base, by
// Document. The edit contains the difference when that is shorter, and
// otherwise the whole document.
wire::config_edit makeEdit(log_offset Base, const std::string &BaseDocument,
                           const std::string &Document,
                           const std::string &Author);

} // namespace monsoonreel

#endif // MONSOONREEL_DOCUMENT_DIFFERENCE_H
