// Caller connections that have had one answer and stay open, and the memory
// of this process.
//
//   idle_callers callers(zone.EntryPort(), "/permits/x");
//   callers.Open(1000);
#ifndef MANGOSPAN_BENCH_ENTRY_IDLE_CALLERS_H
#define MANGOSPAN_BENCH_ENTRY_IDLE_CALLERS_H

#include <cstddef>
#include <string>
#include <vector>

namespace mangospan::bench {

// Plain blocking sockets, so that the callers' side takes next to no memory of
// the process.
class idle_callers
{
public:
  idle_callers(unsigned short aPort, std::string aTarget);
  ~idle_callers();
  idle_callers(const idle_callers&) = delete;
  idle_callers& operator=(const idle_callers&) = delete;

  // Opens connections up to `aCount` in all; each sends one request and reads
  // the answer. Returns how many are open.
  std::size_t Open(std::size_t aCount);

private:
  bool OpenOne();

  unsigned short mPort;
  std::string mRequest;
  std::vector<int> mSockets;
};

// `aWanted`, or as many connections with both ends in this process as the
// limit on open files admits.
std::size_t
AdmittedConnections(std::size_t aWanted);

// In bytes.
std::size_t
ResidentMemory();

} // namespace mangospan::bench

#endif // MANGOSPAN_BENCH_ENTRY_IDLE_CALLERS_H
