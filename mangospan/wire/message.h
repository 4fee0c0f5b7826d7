// The messages between the system's own processes.
//
// Each is one CBOR map on a websocket, with an envelope that says who sent it.
// Unknown fields are ignored, so that versions can be mixed during a roll-out;
// a message of an unknown type is dropped and logged.
#ifndef MANGOSPAN_WIRE_MESSAGE_H
#define MANGOSPAN_WIRE_MESSAGE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mangospan/base/error.h"
#include "mangospan/base/identity.h"
#include "mangospan/view/zone_view.h"

namespace mangospan::wire {

inline constexpr int kProtocolVersion = 1;
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 2 } * 1024 * 1024;

enum class process_role
{
  kEntry,
  kFleet,
};

// Who sent a message. `mTerm` is non-zero only for an acting fleet process.
struct sender
{
  process_role mRole = process_role::kEntry;
  host_name mHost;
  zone_name mZone;
  boot_id mBoot;
  std::uint64_t mTerm = 0;
};

// The slots an entry holds at one endpoint, from the last view it adopted.
struct held_share
{
  host_name mHost;
  std::uint64_t mEpoch = 0;
  std::size_t mSlots = 0;
};

// The first message of an entry or a fleet process on every connection.
struct hello
{
  std::string mPeerAddress; // "ip:port" of the sender's link listener
  view::version mView;      // what the sender holds
  std::uint64_t mConfigRevision = 0;
  std::vector<held_share> mShares;
  // The highest term heard; the sender adopts no view of a lower one.
  std::uint64_t mTermHeard = 0;
};

// From the acting fleet process to every process of its zone, twice a second.
// `mRegistered` is true once the receiving entry is in the zone's membership.
struct heartbeat
{
  view::version mView;
  std::uint64_t mConfigRevision = 0;
  bool mRegistered = false;
};

// The whole view of a zone, from the acting process, or from any process of
// the zone in answer to a `state_request`.
struct view_push
{
  view::zone_view mView;
};

// A configuration: `mText` is the whole document if `mBaseRevision` is 0, else
// a JSON patch (RFC 6902) to the document of that revision.
struct config_push
{
  std::uint64_t mRevision = 0;
  std::uint64_t mBaseRevision = 0;
  std::string mText;
};

// Asks any process of the zone for the view and the configuration it holds.
struct state_request
{};

// One class's demand at one entry since the last report.
struct class_demand
{
  class_name mClass;
  std::uint64_t mArrivals = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0;
  std::chrono::microseconds mBusy{ 0 }; // slot time used
  std::size_t mQueued = 0;              // now
};

// The entry has no request in flight at the draining host.
struct emptied_host
{
  host_name mHost;
  std::uint64_t mEpoch = 0;
};

// From an entry to the acting process, once a second and at once after it has
// adopted a view or drained a host. Acknowledges both revisions.
struct entry_report
{
  view::version mView;
  std::uint64_t mConfigRevision = 0;
  std::vector<class_demand> mDemand;
  std::vector<emptied_host> mEmptied;
  std::vector<host_name> mEjected; // endpoints the entry holds to be failing
};

// A process that stops for good; it has nothing in flight any more.
struct goodbye
{};

// Asks the ticket's issuer whether this attempt may run.
struct grant_request
{
  std::string mTicket;
  std::string mAttempt; // unique per request received, stable over repeats
  std::uint64_t mFingerprint = 0; // of method, target and body
};

enum class grant_verdict
{
  kGranted,
  kInProgress,     // another attempt holds it
  kCompleted,      // ran; the kept answer follows if there is one
  kOutcomeUnknown, // granted earlier; whether it ran is not known
  kExpired,        // never granted, and never will be
  kNotIssued,      // this process did not issue it (or has restarted)
  kMismatch,       // used before for a different request
};

struct grant_reply
{
  std::string mTicket;
  std::string mAttempt;
  grant_verdict mVerdict = grant_verdict::kNotIssued;
  int mStatus = 0; // of the kept answer; 0: none kept
  std::string mContentType;
  std::string mBody;
};

enum class ticket_outcome
{
  kAnswered,
  kNotRun, // may be granted again
  kUnknown,
};

// Tells the issuer how a granted attempt ended.
struct ticket_report
{
  std::string mTicket;
  std::string mAttempt;
  ticket_outcome mOutcome = ticket_outcome::kUnknown;
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

using message = std::variant<hello,
                             heartbeat,
                             view_push,
                             config_push,
                             state_request,
                             entry_report,
                             goodbye,
                             grant_request,
                             grant_reply,
                             ticket_report>;

struct envelope
{
  sender mSender;
  message mMessage;
};

// The message's type as it appears on the wire and in logs ("view_push").
const char*
TypeName(const message& aMessage);

// CBOR bytes of the envelope.
std::string
Encode(const envelope& aEnvelope);

// Errors: kInvalidArgument for anything that is not a whole, well-formed
// envelope of a known type and version, kTooLarge over kMaxMessageBytes.
result<envelope>
Decode(const std::string& aBytes);

} // namespace mangospan::wire

#endif // MANGOSPAN_WIRE_MESSAGE_H
