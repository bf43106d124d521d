// A configuration document as the difference to another one.
//
//   wire::config_edit Edit = makeEdit(Base, BaseDocument, Document, Author);
//   std::optional<std::string> Document =
//       applyDifference(BaseDocument, Edit.Difference);
//
// An edit names the version that it was made from and is void when another one
// is in force. So whoever replays a valid edit has its base, and the log, the
// followers and the nodes between them carry only what has changed. A
// difference names the hash of its result: one that leads to other bytes makes
// nothing.

#ifndef MONSOONREEL_DOCUMENT_DIFFERENCE_H
#define MONSOONREEL_DOCUMENT_DIFFERENCE_H

#include <cstddef>
#include <optional>
#include <string>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

// More pieces than this are not applied.
constexpr size_t max_document_pieces = 4096;

// Copies whole lines of Base where it can.
wire::document_difference differenceBetween(const std::string &Base,
                                            const std::string &Document);

// The document that Difference makes from Base. Nothing when a piece lies
// outside of Base, the result is larger than a record may be, or its hash is
// not the one that is named.
std::optional<std::string>
applyDifference(const std::string &Base,
                const wire::document_difference &Difference);

// The edit that replaces BaseDocument, which is in force at Base, by Document:
// as a difference when that is shorter, otherwise with the whole document.
wire::config_edit makeEdit(log_offset Base, const std::string &BaseDocument,
                           const std::string &Document,
                           const std::string &Author);

} // namespace monsoonreel

#endif // MONSOONREEL_DOCUMENT_DIFFERENCE_H
