// What entries that route by host and path tell each other, and the records of
// their duty log. Style and rules of change: see wire.thrift.

namespace cpp monsoonreel.wire

// What one entry has under way at one upstream.
struct upstream_use {
  1: string Upstream
  2: i32 Running
  3: i64 UnreadTokens          // of prompts whose first token has not come
  4: i32 PacedStreams          // streams that mind pauses between events
}

struct organisation_count {
  1: string Organisation
  2: i64 Requests
}

// Requests that began to run in one usage window.
struct window_counts {
  1: i64 Window
  2: list<organisation_count> Counts
}

// One run of an upstream's process.
struct upstream_run {
  1: string Upstream
  2: i64 StartedAtMillis       // since 1970, as the platform lists it
}

// A request rate that an upstream has stated in an answer, or that its answers
// do not state any more.
struct upstream_limit {
  1: string Upstream
  2: optional double PerSecond // from all entries together; unset: no limit
  3: i64 AgeMicros             // since the answer was received
}

// A part of a prompt that was open at an upstream when the upstream crashed.
struct crashed_part {
  1: i64 Part
  2: i32 Place                 // in its prompt; 0 is the first part
}

// The end of one run of an upstream's process, as seen by requests that broke.
struct upstream_crash {
  1: upstream_run Run
  2: i64 AgeMicros             // since the first of the requests broke
  3: list<crashed_part> Parts  // of requests whose answer had hardly begun
  4: bool Refuted              // the run has answered a later request
}

// A part of a prompt to which an upstream has answered.
struct sound_part {
  1: i64 Part
  2: i64 AgeMicros             // since the answer began
}

// A part of a prompt that crashes upstreams.
struct held_part {
  1: i64 Part
  2: i64 SinceMicros           // true time
  3: i64 UntilMicros           // true time
  4: i32 Round                 // 1, and one more for each try that crashed
}

// What is known of prompt parts that crash upstreams.
struct part_report {
  1: list<upstream_crash> Crashes
  2: list<sound_part> Sound
  3: list<held_part> Held
}

// How far a feed is known.
struct feed_mark {
  1: string Feed
  2: i64 News                  // end of the last records that said anything new
  3: i64 End                   // known to here; from News on they only repeat
  4: i64 AgeMicros             // since the store was read to End
  5: i64 Reads                 // grows with each read by a reader
  6: i64 Era                   // of News and End; 0: unknown
}

// Told by every entry to every other one, several times a second.
struct entry_report {
  1: i64 Incarnation
  2: i64 Sequence
  3: list<upstream_use> Uses
  4: list<window_counts> Windows // those that may still be reported
  5: i64 WallMicros              // the sender's time of day
  6: string DutyHolder           // set by the holder itself only
  7: i64 DutyFence
  8: i64 DutyClaimOffset         // newest claim that the sender knows; -1: none
  9: i64 LastFiguredWindow       // newest window whose figures are written
  10: i64 DutyIncarnation
  11: list<upstream_run> Leaving // by their own answers, heard not long ago
  12: list<feed_mark> Feeds      // where relays pass them on
  13: list<upstream_limit> Limits // in answers that the sender received recently
  14: part_report Parts
  15: i64 StoreEra               // newest era of the store that is known; 0: unknown
  16: i64 DutyClaimEra           // of DutyClaimOffset; 0: unknown
  17: list<window_counts> Figures // only from older builds, see figure_request
  18: i64 ConfigVersion          // in force at the sender; 0: none or unknown
}

// Told to whoever has the duties, where entries do not hear of each other
// directly.
struct usage_report {
  1: i64 Incarnation
  2: list<window_counts> Windows
  3: list<window_counts> Figures // only from older builds
}

// What the entries of a zone have under way together.
struct zone_uses {
  1: string Zone
  2: list<upstream_use> Uses
  3: i64 AgeMicros             // since the zone's own relay told it
}

// Told by a relay to the entries of its zone and to other zones' relays.
struct relay_report {
  1: list<zone_uses> Zones
  2: list<feed_mark> Feeds
  3: string DutyHolder         // of the newest claim that is known
  4: i64 DutyIncarnation
  5: i64 DutyFence
  6: i64 DutyClaimOffset       // -1: none
  7: i64 LastFiguredWindow
  8: i64 TrueMicros           // time of day, by the clocks of the zone
  9: list<upstream_run> Leaving
  10: list<upstream_limit> Limits
  11: part_report Parts
  12: i64 StoreEra             // as in entry_report
  13: i64 DutyClaimEra
  14: i64 ConfigVersion
  15: list<string> ShortOfRoom // services whose most urgent requests the sender
                               // has had to refuse recently
}

// One record of a keyed feed of the platform's store.
struct feed_record {
  1: i64 Offset
  2: string Key
  3: optional binary Value       // unset: the key is removed
  4: optional i64 AgeMicros    // of an unconfirmed evacuation order: since it
                               // became unconfirmed
}

// What a reader of a feed passes on to the other entries.
struct feed_news {
  1: string Feed
  2: i64 From                    // Records are the news from here to End; what they
                                 // leave out only repeats what was known
  3: i64 End
  4: list<feed_record> Records
  5: bool Whole                  // Records are the newest of every key
  6: bool AfterOutage            // the reader's read before this one had failed
  7: optional binary Packed      // The news, encoded and compressed. The other
                                 // fields then tell of a gap, for an entry that
                                 // does not unpack them.
  8: i64 Era                     // of From, End and the records; 0: unknown
}

// A record of the duty log: exactly one field is set.
struct duty_claim {
  1: string Holder
  2: i64 Incarnation
  3: i64 Fence                   // offset of the first claim of an unbroken run
  4: bool Released
  5: i64 Era                     // era of the store as known to the holder; a
                                 // claim that is read in a later one lets
                                 // nobody act. 0: unknown
}

struct duty_record {
  1: optional duty_claim Claim
  2: optional window_counts Figures
}

// A part of a prompt, see prompt_part in routing/routing_event.h.
struct prompt_piece {
  1: i64 Id
  2: i32 Tokens
}

// Asks a relay to place a request at an engine.
struct placement_ask {
  1: i64 Ask
  2: string Service
  3: i32 PromptTokens
  4: i32 MaxOutputTokens
  5: list<prompt_piece> Pieces
  6: list<string> Tried        // engines that the request was sent to before
  7: list<string> Failing      // engines that the sender cannot use at present
  8: bool Urgent               // no other route of the service is more urgent
  9: i64 TargetMicros          // for the first event
  10: i64 PauseMicros          // longest pause between events; 0: none
  11: bool Final               // to be answered with an engine of the receiver's
                               // zone, or with a refusal
  12: string Zone              // of the sender
  13: string Holder            // engine that has the beginning of the prompt
                               // cached, as an earlier answer named; empty:
                               // not known
}

struct placement_grant {
  1: i64 Ask
  2: string Upstream           // empty: none
  3: i64 UnreadTokens          // of the request at that engine
  4: i64 RetryMicros           // above 0: no engine can serve it in time; the
                               // caller may come back after this time
  5: i64 PredictedMicros       // until the first event
  6: string Zone               // whose relay is to be asked instead; empty: none
  7: string FetchFrom          // engine from which Upstream fetches what it lacks
                               // of the prompt; empty: none
}

// Sent by the holder of the duties. Figures are written to the duty log, and the
// receiver keeps them; the holder reports a window when enough entries do.
struct figure_request {
  1: i64 Era                     // of the store
  2: i64 Fence                   // of the holder's lease
  3: list<window_counts> Figures
  4: bool Asks                   // for the figures that the receiver knows, which
                                 // the log may have lost
  5: i64 First                   // oldest window that is asked for
}

// Figures of a window, as known to the sender.
struct figure_copy {
  1: i64 Window
  2: i64 Digest                  // of the encoded figures
}

struct figure_reply {
  1: i64 Era                     // as in the request
  2: i64 Fence
  3: list<figure_copy> Kept      // those of the request
  4: bool Answers                // Figures are all that was asked for
  5: list<window_counts> Figures
  // With Answers:
  6: optional i64 UpMicros       // how long the sender's process has run
  7: optional i64 EraMicros      // how long it has known the store to be in Era
}
