#include "mangospan/request/pipeline.h"

#include "mangospan/request/internal/pipeline_impl.h"

namespace mangospan::request {

pipeline::pipeline(const pipeline_options& aOptions, std::uint64_t aSeed)
  : mImpl(std::make_unique<impl>(aOptions, aSeed))
{
}

pipeline::~pipeline() = default;
pipeline::pipeline(pipeline&&) noexcept = default;
pipeline&
pipeline::operator=(pipeline&&) noexcept = default;

actions
pipeline::OnConfiguration(const config::document& aDocument, time_point aNow)
{
  mImpl->Configure(aDocument, aNow);
  return mImpl->TakeActions();
}

actions
pipeline::OnView(const view::zone_view& aView,
                 const view::entry_id& aOwn,
                 time_point aNow)
{
  mImpl->AdoptView(aView, aOwn, aNow);
  return mImpl->TakeActions();
}

actions
pipeline::OnArrival(const arrival& aArrival, time_point aNow)
{
  mImpl->HandleArrival(aArrival, aNow);
  return mImpl->TakeActions();
}

actions
pipeline::OnCallerGone(request_id aRequest, time_point aNow)
{
  mImpl->HandleCallerGone(aRequest, aNow);
  return mImpl->TakeActions();
}

actions
pipeline::OnAttemptEnded(request_id aRequest,
                         std::uint32_t aAttempt,
                         const attempt_end& aEnd,
                         time_point aNow)
{
  mImpl->HandleAttemptEnd(aRequest, aAttempt, aEnd, aNow);
  return mImpl->TakeActions();
}

actions
pipeline::OnTick(time_point aNow)
{
  mImpl->Tick(aNow);
  return mImpl->TakeActions();
}

actions
pipeline::SetDispatching(bool aDispatching, time_point aNow)
{
  mImpl->UpdateDispatching(aDispatching, aNow);
  return mImpl->TakeActions();
}

void
pipeline::SetAccepting(bool aAccepting)
{
  mImpl->mAccepting = aAccepting;
}

std::optional<time_point>
pipeline::NextWake() const
{
  return mImpl->NextWake();
}

bool
pipeline::Idle() const
{
  return mImpl->Idle();
}

std::vector<class_demand>
pipeline::TakeDemand()
{
  return mImpl->TakeDemand();
}

std::vector<host_name>
pipeline::EjectedHosts() const
{
  return mImpl->Router().Ejected();
}

std::vector<drained_host>
pipeline::DrainedHosts() const
{
  return mImpl->Router().DrainedHosts();
}

std::vector<reserved_slots>
pipeline::ReservedSlots() const
{
  return mImpl->Router().ReservedSlots();
}

view::version
pipeline::AppliedView() const
{
  return mImpl->Router().AppliedVersion();
}

pipeline_snapshot
pipeline::Snapshot() const
{
  return mImpl->Snapshot();
}

} // namespace mangospan::request
