// Decides which owners are cut off from the other nodes, from the health checks
// of this node and from what the nodes that it reaches report of theirs. Pure:
// the caller passes the time.
//
//   peer_reachability peers;
//   peers.SetOwners(addresses, now);
//   peers.OnAnswer(address, report, sentAt); // of a health check
//   if (peers.IsCutOff(address, now)) { ... replace that owner ... }
//
// A node can not tell from its own checks alone whether an owner or itself is
// cut off. So an owner counts as cut off only if all other owners that this
// node reaches say the same, and one of them, or this node, is in touch with
// most of the nodes. At most one side of a partition has such a node.
#ifndef MANGOSPAN_NODE_PEER_REACHABILITY_H
#define MANGOSPAN_NODE_PEER_REACHABILITY_H

#include <map>
#include <set>
#include <string>

#include "mangospan/base/time.h"
#include "mangospan/node/peer_link.h"

namespace mangospan::node {

class peer_reachability
{
public:
  // Sets the addresses of the owners on other nodes, which this node checks.
  void SetOwners(const std::set<std::string>& aAddresses, time_point aNow);
  // Takes the answer to a health check of an owner that was sent at `aSentAt`.
  void OnAnswer(const std::string& aAddress,
                const health_report& aReport,
                time_point aSentAt);
  // Notes that the node at the address has checked this node's health.
  void OnChecked(const std::string& aBy, time_point aNow);

  // Returns whether the owner has answered none of this node's checks for a
  // while.
  bool IsUnreachable(const std::string& aAddress, time_point aNow) const;
  std::set<std::string> Unreachable(time_point aNow) const;
  // Returns whether more than half of the nodes that have checked this node's
  // health lately, this node included, still do.
  bool IsInMajority(time_point aNow) const;
  // Returns whether the owner is cut off from the other nodes.
  bool IsCutOff(const std::string& aAddress, time_point aNow) const;

private:
  struct owner
  {
    time_point mReachedAt{}; // or when the checks began
    bool mHasAnswered = false;
    health_report mReport; // the last one
  };

  std::map<std::string, owner> mOwners;        // by address
  std::map<std::string, time_point> mCheckers; // when each checked last
};

} // namespace mangospan::node

#endif // MANGOSPAN_NODE_PEER_REACHABILITY_H
