#include "io/chunk_decoder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace monsoonreel {

size_t chunk_decoder::read(std::string_view Bytes,
                           absl::FunctionRef<void(std::string_view)> OnData) {
  size_t Given = Bytes.size();
  while (!Bytes.empty() && Step != step::Complete && Step != step::Failed) {
    if (Step == step::Data) {
      std::string_view Data =
          Bytes.substr(0, std::min<uint64_t>(Left, Bytes.size()));
      Bytes.remove_prefix(Data.size());
      Left -= Data.size();
      if (Left == 0)
        Step = step::DataEnd;
      OnData(Data);
      continue;
    }
    line_status Status = Line.read(Bytes);
    if (Status == line_status::Invalid)
      fail("malformed line between chunks");
    else if (Step == step::DataEnd && !Line.text().empty())
      fail("bytes behind a chunk");
    else if (Status == line_status::Complete)
      onLine();
  }
  return Given - Bytes.size();
}

void chunk_decoder::onLine() {
  if (Step == step::Size)
    onSize(Line.text());
  else if (Step == step::Trailer)
    onTrailer(Line.text());
  else
    Step = step::Size;
  Line.clear();
}

void chunk_decoder::onSize(std::string_view Text) {
  constexpr int hexadecimal = 16;
  const char *End = Text.data() + Text.size();
  auto [Stop, Status] = std::from_chars(Text.data(), End, Left, hexadecimal);
  std::string_view Rest(Stop, static_cast<size_t>(End - Stop));
  Rest.remove_prefix(std::min(Rest.find_first_not_of(" \t"), Rest.size()));
  if (Status != std::errc() || !(Stop == End || Rest.starts_with(';')))
    return fail("malformed chunk size");
  Step = Left > 0 ? step::Data : step::Trailer;
}

void chunk_decoder::onTrailer(std::string_view Text) {
  if (Text.empty()) {
    Step = step::Complete;
    return;
  }
  TrailerBytes += Text.size();
  if (TrailerBytes > max_trailer_bytes)
    return fail("trailers too large");
  if (auto Field = parseField(Text); !Field)
    fail("in a trailer: " + Field.error());
}

void chunk_decoder::fail(std::string Why) {
  Step = step::Failed;
  Error = std::move(Why);
}

} // namespace monsoonreel
