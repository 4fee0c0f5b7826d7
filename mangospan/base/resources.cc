#include "mangospan/base/resources.h"

namespace mangospan {

bool
resources::FitsIn(const resources& aFree) const
{
  return mCpu <= aFree.mCpu && mMemoryMb <= aFree.mMemoryMb &&
         mGpus <= aFree.mGpus;
}

resources&
resources::operator+=(const resources& aOther)
{
  mCpu += aOther.mCpu;
  mMemoryMb += aOther.mMemoryMb;
  mGpus += aOther.mGpus;
  return *this;
}

resources&
resources::operator-=(const resources& aOther)
{
  mCpu -= aOther.mCpu;
  mMemoryMb -= aOther.mMemoryMb;
  mGpus -= aOther.mGpus;
  return *this;
}

} // namespace mangospan
