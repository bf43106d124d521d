#include "monsoonreel/document_difference.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "monsoonreel/hash128.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Maximum number of occurrences of a line in the base that are tried as the
// start of a copy.
constexpr size_t max_tried_occurrences = 16;
// Approximate size in bytes of a piece without its text, in the compact
// encoding.
constexpr size_t piece_overhead_bytes = 12;

// Splits Text into lines. Each line includes its line break, so that joining
// them yields Text again.
std::vector<std::string_view> linesOf(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    size_t Size = std::min(Text.find('\n'), Text.size() - 1) + 1;
    Lines.push_back(Text.substr(0, Size));
    Text.remove_prefix(Size);
  }
  return Lines;
}

// An index of the base's lines for finding runs of equal lines.
class line_index {
public:
  struct run {
    size_t First = 0;
    size_t Count = 0;
  };

  explicit line_index(std::string_view Base) : Lines(linesOf(Base)) {
    size_t Start = 0;
    Starts.reserve(Lines.size() + 1);
    for (size_t Place = 0; Place < Lines.size(); ++Place) {
      Starts.push_back(Start);
      Start += Lines[Place].size();
      std::vector<size_t> &Places = PlacesOf[Lines[Place]];
      if (Places.size() < max_tried_occurrences)
        Places.push_back(Place);
    }
    Starts.push_back(Start);
  }

  // The longest run of lines in the base that are equal to the lines of Wanted
  // from index From on. Among runs of equal length, the one at Expected is
  // preferred, because it continues the previous copy.
  run longestRun(const std::vector<std::string_view> &Wanted, size_t From,
                 size_t Expected) const {
    run Best{Expected, lengthOfRun(Wanted, From, Expected)};
    auto Places = PlacesOf.find(Wanted[From]);
    if (Places == PlacesOf.end())
      return Best;
    for (size_t Place : Places->second) {
      size_t Count = lengthOfRun(Wanted, From, Place);
      if (Count > Best.Count)
        Best = {Place, Count};
    }
    return Best;
  }

  size_t startOf(size_t Place) const { return Starts[Place]; }

private:
  size_t lengthOfRun(const std::vector<std::string_view> &Wanted, size_t From,
                     size_t Place) const {
    size_t Count = 0;
    while (From + Count < Wanted.size() && Place + Count < Lines.size() &&
           Wanted[From + Count] == Lines[Place + Count])
      ++Count;
    return Count;
  }

  std::vector<std::string_view> Lines;
  std::vector<size_t> Starts;
  absl::flat_hash_map<std::string_view, std::vector<size_t>> PlacesOf;
};

bool isWithin(const wire::document_piece &Piece, size_t Size) {
  if (Piece.Start < 0 || Piece.Length < 0)
    return false;
  auto Start = static_cast<size_t>(Piece.Start);
  return Start <= Size && static_cast<size_t>(Piece.Length) <= Size - Start;
}

size_t encodedBytes(const wire::document_difference &Difference) {
  size_t Bytes = 0;
  for (const wire::document_piece &Piece : Difference.Pieces)
    Bytes += piece_overhead_bytes + Piece.Text.size();
  return Bytes;
}

} // namespace

wire::document_difference differenceBetween(const std::string &Base,
                                            const std::string &Document) {
  wire::document_difference Difference;
  Difference.ResultHash = hash128(Document);
  line_index Index(Base);
  std::vector<std::string_view> Wanted = linesOf(Document);
  size_t Expected = 0;
  for (size_t Line = 0; Line < Wanted.size();) {
    line_index::run Run = Index.longestRun(Wanted, Line, Expected);
    if (Run.Count == 0) {
      if (Difference.Pieces.empty())
        Difference.Pieces.emplace_back();
      Difference.Pieces.back().Text += Wanted[Line];
      ++Line;
      ++Expected; // a new line usually replaces one of the base
      continue;
    }
    size_t Start = Index.startOf(Run.First);
    size_t End = Index.startOf(Run.First + Run.Count);
    wire::document_piece Piece;
    Piece.Start = static_cast<int32_t>(Start);
    Piece.Length = static_cast<int32_t>(End - Start);
    Difference.Pieces.push_back(std::move(Piece));
    Expected = Run.First + Run.Count;
    Line += Run.Count;
  }
  return Difference;
}

std::optional<std::string>
applyDifference(const std::string &Base,
                const wire::document_difference &Difference) {
  if (Difference.Pieces.size() > max_document_pieces)
    return std::nullopt;
  std::string Document;
  for (const wire::document_piece &Piece : Difference.Pieces) {
    if (!isWithin(Piece, Base.size()))
      return std::nullopt;
    auto Length = static_cast<size_t>(Piece.Length);
    if (Document.size() + Length + Piece.Text.size() > max_frame_bytes)
      return std::nullopt;
    Document.append(Base, static_cast<size_t>(Piece.Start), Length);
    Document += Piece.Text;
  }
  if (hash128(Document) != Difference.ResultHash &&
      isEnabled(mechanism::DifferenceHash))
    return std::nullopt;
  return Document;
}

wire::config_edit makeEdit(log_offset Base, const std::string &BaseDocument,
                           const std::string &Document,
                           const std::string &Author) {
  wire::config_edit Edit;
  Edit.Base = Base.Value;
  Edit.Author = Author;
  wire::document_difference Difference =
      differenceBetween(BaseDocument, Document);
  bool Shorter = encodedBytes(Difference) < Document.size() &&
                 Difference.Pieces.size() <= max_document_pieces;
  if (Shorter)
    Edit.__set_Difference(Difference);
  else
    Edit.Document = Document;
  return Edit;
}

} // namespace monsoonreel
