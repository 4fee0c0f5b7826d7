// What this entry holds of its zone: view, configuration, registration.
//
// Decides what to adopt from the messages of the zone's processes and whether
// requests may be dispatched; does no I/O and reads no clock:
//
//   const membership_effects effects = membership.OnView(sender, push);
//   if (effects.mViewChanged) { pipeline.OnView(...); }
#ifndef MANGOSPAN_ENTRY_MEMBERSHIP_H
#define MANGOSPAN_ENTRY_MEMBERSHIP_H

#include <cstdint>

#include "mangospan/base/identity.h"
#include "mangospan/config/document.h"
#include "mangospan/view/zone_view.h"
#include "mangospan/wire/message.h"

namespace mangospan::entry {

// What the daemon has to do after a message.
struct membership_effects
{
  bool mSayHello = false; // to the sender: it acts under a new term
  bool mAskState = false; // send the sender a `state_request`
  bool mViewChanged = false;
  bool mConfigChanged = false;
};

class zone_membership
{
public:
  zone_membership(view::entry_id aOwn, zone_name aZone);

  membership_effects OnHello(const wire::sender& aSender,
                             const wire::hello& aHello);
  membership_effects OnHeartbeat(const wire::sender& aSender,
                                 const wire::heartbeat& aHeartbeat);
  // Adopts only newer views, of terms not lower than the highest heard.
  membership_effects OnView(const wire::sender& aSender,
                            const wire::view_push& aPush);
  // Adopts only higher revisions, whole or as a patch to the held one.
  membership_effects OnConfig(const wire::sender& aSender,
                              const wire::config_push& aPush);

  // The process was suspended: what it holds may be out of date, until a
  // message of a connection made since then shows the newest view.
  void OnSuspended();

  // Registered by the acting process, with a fresh view and a configuration.
  bool MayDispatch() const;

  // Whether the held view may be passed on to others.
  bool HasFreshView() const;

  bool IsRegistered() const { return mIsRegistered; }
  bool IsFresh() const { return mIsFresh; }
  std::uint64_t TermHeard() const { return mTermHeard; }
  const view::zone_view& View() const { return mView; }
  const config::revisioned_document& Configuration() const { return mConfig; }

private:
  bool IsOwnZone(const wire::sender& aSender) const;
  bool Lists(const view::zone_view& aView) const;
  // True if the sender acts under a higher term than any before.
  bool HearTerm(const wire::sender& aSender);
  bool Behind(const view::version& aView, std::uint64_t aRevision) const;

  view::entry_id mOwn;
  zone_name mZone;
  view::zone_view mView;
  config::revisioned_document mConfig;
  std::uint64_t mRefusedRevision = 0; // the newest that could not be adopted
  std::uint64_t mTermHeard = 0;
  bool mIsRegistered = false;
  bool mIsFresh = true;
};

} // namespace mangospan::entry

#endif // MANGOSPAN_ENTRY_MEMBERSHIP_H
