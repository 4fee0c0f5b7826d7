// One parsed command line of mangospanctl.
#ifndef MANGOSPAN_CTL_INTERNAL_INVOCATION_H
#define MANGOSPAN_CTL_INTERNAL_INVOCATION_H

#include <chrono>
#include <string>
#include <variant>

#include "mangospan/base/identity.h"

namespace mangospan::ctl {

struct validate_command
{
  std::string mFile;
};

struct diff_command
{
  std::string mFile;
};

struct apply_command
{
  std::string mFile;
  bool mWait = false;
  bool mForce = false; // over a held record that can not be read
  std::string mAuthor;
};

struct status_command
{};

struct drain_command
{
  host_name mHost;
};

struct undrain_command
{
  host_name mHost;
};

struct wave_start_command
{
  pool_name mPool; // empty: every pool
  bool mReplace = false;
};

struct wave_pause_command
{};

struct wave_resume_command
{};

struct wave_status_command
{};

struct dump_command
{
  std::string mAddress;
};

using command = std::variant<validate_command,
                             diff_command,
                             apply_command,
                             status_command,
                             drain_command,
                             undrain_command,
                             wave_start_command,
                             wave_pause_command,
                             wave_resume_command,
                             wave_status_command,
                             dump_command>;

enum class output_format
{
  kText,
  kJson,
};

struct invocation
{
  command mCommand;
  std::string mPlatformAddress;
  output_format mOutput = output_format::kText;
  std::chrono::milliseconds mTimeout{ 0 }; // for the whole command
};

} // namespace mangospan::ctl

#endif // MANGOSPAN_CTL_INTERNAL_INVOCATION_H
